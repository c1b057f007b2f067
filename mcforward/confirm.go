package mcforward

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcsocket"
)

const (
	// confirmTimeout limits one health check of an endpoint whose record has returned. The check
	// waits for a slot of the endpoint like a request.
	confirmTimeout = time.Second
	// confirmInterval is the pause between two checks, and maxConfirmChecks their number. After that
	// the fleet decides by the record alone.
	confirmInterval  = time.Second
	maxConfirmChecks = 3
	// maxConfirming limits the endpoints that are checked at the same time.
	maxConfirming = 16
)

// ConfirmReturned checks an endpoint whose record has returned and puts it into use if it is healthy
// and the process that the record names. It returns at once.
func (f *Forwarder) ConfirmReturned(endpoint marigoldcroft.Endpoint, incarnation uint64) {
	f.init()
	go func() {
		f.confirming <- struct{}{}
		defer func() { <-f.confirming }()
		for range maxConfirmChecks {
			err := f.checkHealth(endpoint)
			f.Logger.Info().Str("endpoint", endpoint.Name()).Uint64("incarnation", incarnation).AnErr("error", err).Msg("endpointChecked")
			if err == nil {
				f.Fleet.Confirm(endpoint.Name(), incarnation)
				return
			}
			mcclock.Sleep(context.Background(), confirmInterval)
			if f.Fleet.Incarnation(endpoint.Name()) != incarnation {
				return
			}
		}
	}()
}

// checkHealth returns nil if the endpoint states under its own name that it is healthy and does not
// leave.
func (f *Forwarder) checkHealth(endpoint marigoldcroft.Endpoint) error {
	operation := "health check of " + endpoint.Name()
	table := f.Router.Table()
	if table == nil {
		return failure(operation, KindUnreachable, errors.New("no routing was read yet"))
	}
	service, known := table.Service(endpoint.Pool())
	if !known || service.HealthPath == "" {
		return failure(operation, KindUnreachable, errors.New("its service has no health check"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	f.awaitEvacuations(ctx)
	if _, evacuated := f.Fleet.EvacuatedSince(endpoint.Name()); evacuated {
		return failure(operation, KindEvacuated, nil)
	}
	if !f.acquireCheck(ctx, endpoint) {
		return failure(operation, KindLimited, errors.New("the endpoint is cold and no check was granted"))
	}
	conn, err := f.pool.get(ctx, endpoint)
	if err != nil {
		return err
	}
	sentAt := time.Now()
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: endpoint.Address(), Path: service.HealthPath}, Header: http.Header{"User-Agent": {""}}}
	response, err := conn.conn.RoundTrip(r.WithContext(ctx))
	if err != nil {
		conn.close()
		return failure(operation, KindConnectionBroken, err)
	}
	if err := mcsocket.RefuseSwitch(response); err != nil {
		conn.close()
		return failure(operation, KindInvalidResponse, err)
	}
	defer response.Body.Close()
	info := f.Codec.DecodeResponse(response.Header)
	if response.Close || !bodyConsumed(response.Body) {
		conn.close()
	} else {
		f.pool.put(conn, info.KeepAliveTimeout)
	}
	if info.HasColdTime && info.Endpoint == endpoint.Name() {
		f.Fleet.ObserveCold(endpoint.Name(), sentAt, time.Now(), info.ColdTime)
	}
	switch {
	case info.Endpoint != endpoint.Name():
		return failure(operation, KindAddressReused, errors.Newf("the answer is that of %q", info.Endpoint))
	case info.Leaving:
		f.Fleet.MarkLeaving(endpoint.Name())
		return failure(operation, KindLeft, errors.New("it states that it is leaving"))
	case response.StatusCode != http.StatusOK:
		return failure(operation, KindFailed, errors.Newf("status %d", response.StatusCode))
	}
	return nil
}
