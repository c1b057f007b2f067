package mcforward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// maxEventBytes limits the size of one event, and of the comments between two events.
	maxEventBytes = 1 << 20
	// eventsPerProgressReport is the number of events after which the scheduler is told the
	// shortest time between two events, a measure of the decode speed.
	eventsPerProgressReport = 5
	mediaTypeOfEvents       = "text/event-stream"
)

// relayStream relays each event once it is complete, with the comments before it. An event that
// was received only in part when the stream broke is dropped.
func (a *attempt) relayStream(ctx context.Context, response *http.Response, id marigoldcroft.StreamID) (*callResult, error) {
	c := a.call
	if media := mediaType(response.Header); c.responseStarted && media != mediaTypeOfEvents && media != mediaType(c.w.Header()) {
		return nil, failure("stream of "+a.endpoint, KindInvalidResponse,
			errors.Newf("it continues a stream as %q", response.Header.Get("Content-Type")))
	}
	reader := bufio.NewReaderSize(response.Body, bufferBytes)
	flusher := http.NewResponseController(c.w)
	delivered, shortestGap := 0, time.Duration(math.MaxInt64)
	var comments []byte
	for {
		event, err := readEvent(reader)
		switch {
		case errors.Is(err, io.EOF) && a.isWholeStream(delivered, event):
			if err := a.confirmWhole(ctx); err != nil {
				return nil, err
			}
			if _, err := c.w.Write(append(comments, event...)); err != nil {
				return nil, failure("write to the caller", KindCallerLeft, err)
			}
			a.recordCompletion()
			return &callResult{status: http.StatusOK, outcome: outcomeAnswered}, nil
		case marigoldcroft.FailureKind[Kind](err) == KindOversized:
			return nil, err
		case err != nil:
			return nil, a.exchangeError(ctx, errors.Wrapf(err, "after %d events", delivered))
		}
		if isComment(event) {
			if comments = append(comments, event...); len(comments) > maxEventBytes {
				return nil, failure("stream of "+a.endpoint, KindOversized, errors.Newf("no event in %d bytes", len(comments)))
			}
			continue
		}
		relay, err := c.shouldRelay(event)
		if err != nil {
			return nil, failure("stream of "+a.endpoint, KindStreamGap, err)
		}
		if !relay {
			comments = nil
			continue
		}
		if delivered == 0 {
			c.recordFirstOutput(id, a)
		} else {
			a.observeOutput(time.Now(), id)
		}
		if !c.responseStarted {
			c.responseStarted = true
			c.copyHeader(response.Header, true)
			c.w.WriteHeader(response.StatusCode)
		}
		if len(comments) > 0 {
			event, comments = append(comments, event...), nil
		}
		if _, err := c.w.Write(event); err != nil {
			return nil, failure("write to the caller", KindCallerLeft, err)
		}
		if err := flusher.Flush(); err != nil {
			return nil, failure("write to the caller", KindCallerLeft, err)
		}
		delivered++
		gap := c.recordRelayed(event)
		if delivered > 1 {
			shortestGap = min(shortestGap, gap)
		}
		if delivered%eventsPerProgressReport == 0 {
			c.forwarder.Dispatcher.Scheduler.ObservePassTime(time.Now(), id, shortestGap)
		}
	}
}

// mediaType returns the media type of a body without its parameters.
func mediaType(header http.Header) string {
	media, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(media))
}

// isWholeStream reports whether a stream is complete that ended after this attempt delivered
// the given number of events, with rest after the last one. A stream whose body ended with its
// connection must have delivered an event: without one, nothing shows that the endpoint did
// not end before it began. It must also have ended its last line. Any other stream may be the
// empty rest of a resumed one.
func (a *attempt) isWholeStream(delivered int, rest []byte) bool {
	switch {
	case !isComment(rest):
		return false
	case a.endedWithConnection:
		return delivered > 0 && (len(rest) == 0 || bytes.HasSuffix(rest, []byte("\n")))
	}
	return delivered > 0 || a.call.lastEventNumber > 0
}

// endsWithConnection reports whether the response states neither a length nor chunks, so that
// the end of its connection is the end of its body.
func endsWithConnection(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// recordCompletion records the success of the attempt, with its token counts and duration,
// for the scheduler.
func (a *attempt) recordCompletion() {
	a.completion.Succeeded = true
	a.completion.PromptTokens = a.work.PromptTokens
	a.completion.OutputTokens = a.work.OutputTokens
	a.completion.Total = time.Since(a.sentAt)
}

// shouldRelay reports whether the event is to be relayed. An event that the caller already
// has is skipped; a missing event is an error.
func (c *call) shouldRelay(event []byte) (bool, error) {
	text, found := eventID(event)
	if !found {
		return true, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || c.lastEventID == "" {
		return true, nil
	}
	switch {
	case number <= c.lastEventNumber:
		return false, nil
	case number > c.lastEventNumber+1:
		return false, errors.Newf("event %d follows event %d", number, c.lastEventNumber)
	}
	return true, nil
}

// recordRelayed records an event that was relayed to the caller and returns the time since
// the previous one.
func (c *call) recordRelayed(event []byte) time.Duration {
	now := time.Now()
	gap := now.Sub(c.lastOutputAt)
	c.relayedEvents++
	c.longestPause = max(c.longestPause, gap)
	c.lastOutputAt = now
	text, found := eventID(event)
	if !found {
		return gap
	}
	c.lastEventID = text
	if number, err := strconv.ParseInt(text, 10, 64); err == nil {
		c.lastEventNumber = number
	}
	return gap
}

// readEvent returns the next event including the blank line that ends it. With an error it
// returns the part that was read.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	hasContent := false
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if len(event) > maxEventBytes {
			return event, failure("read of a stream", KindOversized, errors.Newf("an event is larger than %d bytes", maxEventBytes))
		}
		blank := len(bytes.TrimRight(line, "\r\n")) == 0
		if err == nil && blank && hasContent {
			return event, nil
		}
		hasContent = hasContent || !blank
	}
}

// isComment reports whether the event consists of comments and blank lines only. Comments are no
// progress of a stream: they wait for the next event, so that a stream of comments alone neither
// counts as begun nor looks complete.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the value of the event's id field.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
