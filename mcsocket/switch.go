package mcsocket

import (
	"errors"
	"net/http"
)

// ErrSwitched is the error of an answer that switches the connection to another protocol. No request
// asks for that. net/http hands the connection over as the body of such an answer: neither the end of
// the request's context nor a limit of its transport ends a read of it.
var ErrSwitched = errors.New("the answer switches to another protocol")

// PlainTransport is a transport that refuses answers which switch protocols.
type PlainTransport struct{ Base http.RoundTripper }

// RefuseSwitch returns ErrSwitched and closes the connection if the answer switches protocols.
func RefuseSwitch(response *http.Response) error {
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil
	}
	// The error is ignored: the connection is not used again.
	_ = response.Body.Close()
	return ErrSwitched
}

// RoundTrip calls Base.
func (t PlainTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := RefuseSwitch(response); err != nil {
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Base, as http.Client expects of a transport.
func (t PlainTransport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
