package mcforward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// progressEvents is the number of events between two reports of the decode speed to the
	// scheduler.
	progressEvents = 5
)

// relayStream relays events as they arrive, only complete ones. An event that was received
// in part is dropped when the stream breaks.
func (a *attempt) relayStream(ctx context.Context, response *http.Response, id marigoldcroft.StreamID) (*ending, error) {
	c := a.call
	reader := bufio.NewReaderSize(response.Body, bufferBytes)
	flusher := http.NewResponseController(c.w)
	delivered, shortest := 0, time.Duration(math.MaxInt64)
	for {
		event, err := readEvent(reader)
		switch {
		case errors.Is(err, io.EOF) && len(event) == 0 && delivered+int(c.lastNumber) > 0 && framed(response):
			a.complete()
			return &ending{status: http.StatusOK, outcome: outcomeAnswered}, nil
		case err != nil:
			return nil, a.broken(ctx, errors.Wrapf(err, "after %d events", delivered))
		}
		pass, err := c.inOrder(event)
		if err != nil {
			return nil, failure("stream of "+a.endpoint, KindGap, err)
		}
		if !pass {
			continue
		}
		if delivered == 0 {
			c.answered(id, a)
		}
		if !c.began {
			c.began = true
			c.copyHeader(response.Header, true)
			c.w.WriteHeader(response.StatusCode)
		}
		if _, err := c.w.Write(event); err != nil {
			return nil, failure("write to the caller", KindCaller, err)
		}
		if err := flusher.Flush(); err != nil {
			return nil, failure("write to the caller", KindCaller, err)
		}
		delivered++
		gap := c.passed(event)
		if delivered > 1 {
			shortest = min(shortest, gap)
		}
		if delivered%progressEvents == 0 {
			c.forwarder.Dispatcher.Scheduler.Progress(time.Now(), id, shortest)
		}
	}
}

// framed reports whether the response marks the end of its body. A body that ends with its
// connection may have been cut off after any event.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// complete fills in the measurements that the scheduler takes from a successful attempt.
func (a *attempt) complete() {
	a.completion.Succeeded = true
	a.completion.PromptTokens = a.work.PromptTokens
	a.completion.OutputTokens = a.work.OutputTokens
	a.completion.Total = time.Since(a.sentAt)
}

// inOrder reports whether the event is to be relayed. An event that the caller already has
// is skipped; a missing event is an error.
func (c *call) inOrder(event []byte) (bool, error) {
	text, found := eventID(event)
	if !found {
		return true, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || c.lastEvent == "" {
		return true, nil
	}
	switch {
	case number <= c.lastNumber:
		return false, nil
	case number > c.lastNumber+1:
		return false, errors.Newf("event %d follows event %d", number, c.lastNumber)
	}
	return true, nil
}

// passed records an event that was relayed to the caller and returns the time since the
// previous one.
func (c *call) passed(event []byte) time.Duration {
	now := time.Now()
	gap := now.Sub(c.lastAt)
	c.longestPause = max(c.longestPause, gap)
	c.lastAt = now
	text, found := eventID(event)
	if !found {
		return gap
	}
	c.lastEvent = text
	if number, err := strconv.ParseInt(text, 10, 64); err == nil {
		c.lastNumber = number
	}
	return gap
}

// readEvent returns the next event including the blank line that ends it. With an error it
// returns the part that was read.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if len(event) > maxEventBytes {
			return event, errors.Newf("an event is larger than %d bytes", maxEventBytes)
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(event)) > 0 {
			return event, nil
		}
	}
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
