package mcsocket

import (
	"errors"
	"net/http"
)

// ErrSwitched is the error of an answer that switches the connection to another protocol. No request
// asks for that. net/http hands the connection over as the body of such an answer: neither the end of
// the request's context nor a limit of its transport ends a read of it.
var ErrSwitched = errors.New("the answer switches to another protocol")

// errStatus is the error of an answer whose status is below 100. net/http accepts it from a server, but
// no answer to a caller can have it.
var errStatus = errors.New("the status of the answer does not exist")

// plainTransport is a transport that refuses answers which switch protocols or have an invalid status.
type plainTransport struct{ base http.RoundTripper }

// NewClient returns a client for other processes, whose addresses come from a list or from settings.
// It refuses answers that switch protocols and those whose status does not exist. It returns a redirect as the response: following it would
// send the request, which may run only once, to an address that nobody has listed.
func NewClient(base http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     plainTransport{base},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RefuseSwitch returns ErrSwitched and closes the connection if the answer switches protocols.
func RefuseSwitch(response *http.Response) error {
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil
	}
	// The error is ignored: the connection is not used again.
	_ = response.Body.Close()
	return ErrSwitched
}

// RoundTrip calls the base.
func (t plainTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := RefuseSwitch(response); err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusContinue {
		_ = response.Body.Close()
		return nil, errStatus
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base, as http.Client expects of a transport.
func (t plainTransport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
