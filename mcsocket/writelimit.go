package mcsocket

import (
	"net/http"
	"time"
)

// writeGrace extends the write deadline beyond the request's deadline, so that a caller that reads
// gets the error of a passed deadline.
const writeGrace = time.Second

// LimitWrite lets writes of a response fail some time after the deadline, as a caller that stops
// reading would block them without end. The function that it returns must be called at the end
// of the handler. It does not remove the limit, which net/http does once it has sent the rest of
// the response, but leaves time for this.
func LimitWrite(w http.ResponseWriter, deadline time.Time) (end func()) {
	control := http.NewResponseController(w)
	limit := deadline.Add(writeGrace)
	// Errors are ignored: only response writers of tests do not support deadlines.
	_ = control.SetWriteDeadline(limit)
	return func() {
		if least := time.Now().Add(writeGrace); least.After(limit) {
			_ = control.SetWriteDeadline(least)
		}
	}
}
