package mcsocket

import (
	"net/http"
	"time"
)

// writeGrace extends the write deadline beyond the request's deadline, so that a caller that reads
// gets the error of a passed deadline.
const writeGrace = time.Second

// LimitWrite lets writes of a response fail some time after the deadline, as a caller that stops
// reading would block them without end. net/http removes the limit once it has sent the response.
func LimitWrite(w http.ResponseWriter, deadline time.Time) {
	// The error is ignored: only response writers of tests do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
}
