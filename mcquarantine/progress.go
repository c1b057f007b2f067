package mcquarantine

import "time"

// Progress follows the output of one answer to tell whether it went on for longer than
// BlameWindow. Its zero value is an answer that has not begun. It is not safe for concurrent use.
type Progress struct {
	// beganAt and beganRunning are the time and the running time of the first output.
	beganAt      time.Time
	beganRunning time.Duration
	continued    bool
}

// Output records that output was read. It returns true once: when the answer has gone on for
// longer than BlameWindow. running returns the time in which the instance ran, without its pauses:
// output that the endpoint sent before a pause is read after it and does not show that the endpoint
// survived. It is not called for each output.
func (p *Progress) Output(now time.Time, running func() time.Duration) bool {
	switch {
	case p.continued:
		return false
	case p.beganAt.IsZero():
		p.beganAt, p.beganRunning = now, running()
	case now.Sub(p.beganAt) > BlameWindow:
		p.continued = running()-p.beganRunning > BlameWindow
	}
	return p.continued
}

// Continued reports whether the answer has gone on for longer than BlameWindow, so that a crash of
// the endpoint is not attributed to the prompt.
func (p *Progress) Continued() bool { return p.continued }
