package mcengine_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcengine"
)

const (
	firstEvent = `data: {"id":"r/1","sequence":0,"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	lastEvent  = `data: {"id":"r/1","sequence":1,"choices":[{"delta":{"content":"b"},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2}}` + "\n\n"
	endMarker  = "data: [DONE]\n\n"
)

// fixedResponse is a transport that returns the same response to every request.
type fixedResponse struct {
	status int
	body   string
}

func (a fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a.status, Body: io.NopCloser(strings.NewReader(a.body))}, nil
}

// readStream returns the text of a stream and the kind of the error that ended it, "" for a
// complete stream.
func readStream(status int, body string) (string, mcengine.Kind) {
	client := &mcengine.Client{HTTP: &http.Client{Transport: fixedResponse{status, body}}}
	endpoint := marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "e", Address: "http://127.0.0.1:1"})
	stream, err := client.Generate(context.Background(), endpoint, marigoldcroft.GenerateRequest{Stream: marigoldcroft.NewStreamID("r", 1)})
	if err != nil {
		return "", marigoldcroft.FailureKind[mcengine.Kind](err)
	}
	defer stream.Close()
	var text strings.Builder
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), ""
		}
		if err != nil {
			return text.String(), marigoldcroft.FailureKind[mcengine.Kind](err)
		}
		text.WriteString(event.Text)
	}
}

// Guards against a stream that is accepted as complete although it was cut off, skipped or
// repeated an event, or had events of another request or attempt, and against an error status
// that is taken for a rejection although the work may have started.
func TestStream(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		text   string
		kind   mcengine.Kind
	}{
		{"complete", 200, firstEvent + lastEvent + endMarker, "ab", ""},
		{"comments and blank lines", 200, ": hello\n\n" + firstEvent + "event: x\n" + lastEvent + endMarker, "ab", ""},
		{"no end marker", 200, firstEvent + lastEvent, "ab", mcengine.KindStreamBroken},
		{"end marker without a finish reason", 200, firstEvent + endMarker, "a", mcengine.KindStreamBroken},
		{"empty", 200, "", "", mcengine.KindStreamBroken},
		{"another request", 200, firstEvent + strings.ReplaceAll(lastEvent, `"r/1"`, `"s/1"`) + endMarker, "a", mcengine.KindWrongEvent},
		{"an earlier attempt", 200, strings.ReplaceAll(firstEvent, `"r/1"`, `"r/0"`) + lastEvent + endMarker, "", mcengine.KindWrongEvent},
		{"a skipped event", 200, lastEvent + endMarker, "", mcengine.KindWrongEvent},
		{"a repeated event", 200, firstEvent + firstEvent + lastEvent + endMarker, "a", mcengine.KindWrongEvent},
		{"malformed", 200, "data: {\n\n", "", mcengine.KindStreamBroken},
		{"refused", 503, "busy", "", mcengine.KindRefused},
		{"refused by a rate limit", 429, "busy", "", mcengine.KindRefused},
		{"internal error", 500, "oops", "", mcengine.KindFailed},
		{"error of a proxy in front of the engine", 502, "no answer", "", mcengine.KindFailed},
		{"redirect", 307, "", "", mcengine.KindFailed},
		{"invalid", 400, "too long", "", mcengine.KindInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text, kind := readStream(c.status, c.body)
			require.Equal(t, c.kind, kind)
			require.Equal(t, c.text, text)
		})
	}
}

// endlessLines is a body that repeats a line without end.
type endlessLines struct{ line string }

func (b endlessLines) Read(p []byte) (int, error) {
	n := 0
	for n+len(b.line) <= len(p) {
		n += copy(p[n:], b.line)
	}
	return n, nil
}

// A stream that sends comments or blank lines without end makes no progress. It must end with an
// error instead of keeping the request and a processor busy until the deadline.
func TestEndlessLinesBreakTheStream(t *testing.T) {
	for _, line := range []string{"\n", ": x\n", "event: x\n"} {
		client := &mcengine.Client{HTTP: &http.Client{Transport: roundTrip(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(endlessLines{line})}, nil
		})}}
		stream, err := client.Generate(t.Context(), marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "e", Address: "http://127.0.0.1:1"}),
			marigoldcroft.GenerateRequest{Stream: marigoldcroft.NewStreamID("r", 1)})
		require.NoError(t, err)
		_, err = stream.Next()
		require.Equal(t, mcengine.KindStreamBroken, marigoldcroft.FailureKind[mcengine.Kind](err))
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a decoder that panics on malformed input or accepts a stream without its end
// marker as complete.
func FuzzStream(f *testing.F) {
	f.Add(firstEvent + lastEvent + endMarker)
	f.Add(firstEvent + "data: {\"id\":1}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		if _, kind := readStream(http.StatusOK, body); kind == "" {
			require.Contains(t, body, "[DONE]")
		}
	})
}
