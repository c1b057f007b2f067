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
	first = `data: {"id":"r/1","sequence":0,"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	last  = `data: {"id":"r/1","sequence":1,"choices":[{"delta":{"content":"b"},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2}}` + "\n\n"
	mark  = "data: [DONE]\n\n"
)

// answer is a transport that returns the same response to every request.
type answer struct {
	status int
	body   string
}

func (a answer) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a.status, Body: io.NopCloser(strings.NewReader(a.body))}, nil
}

// read returns the text of a stream and the kind of the error that ended it, "" for a
// complete stream.
func read(status int, body string) (string, mcengine.Kind) {
	client := &mcengine.Client{HTTP: &http.Client{Transport: answer{status, body}}}
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
// repeated an event, or had events of another request or attempt.
func TestStream(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		text   string
		kind   mcengine.Kind
	}{
		{"complete", 200, first + last + mark, "ab", ""},
		{"comments and blank lines", 200, ": hello\n\n" + first + "event: x\n" + last + mark, "ab", ""},
		{"no end marker", 200, first + last, "ab", mcengine.KindBroken},
		{"end marker without a finish reason", 200, first + mark, "a", mcengine.KindBroken},
		{"empty", 200, "", "", mcengine.KindBroken},
		{"another request", 200, first + strings.ReplaceAll(last, `"r/1"`, `"s/1"`) + mark, "a", mcengine.KindMismatch},
		{"an earlier attempt", 200, strings.ReplaceAll(first, `"r/1"`, `"r/0"`) + last + mark, "", mcengine.KindMismatch},
		{"a skipped event", 200, last + mark, "", mcengine.KindMismatch},
		{"a repeated event", 200, first + first + last + mark, "a", mcengine.KindMismatch},
		{"malformed", 200, "data: {\n\n", "", mcengine.KindBroken},
		{"refused", 503, "busy", "", mcengine.KindRefused},
		{"invalid", 400, "too long", "", mcengine.KindInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text, kind := read(c.status, c.body)
			require.Equal(t, c.kind, kind)
			require.Equal(t, c.text, text)
		})
	}
}

// Guards against a decoder that panics on malformed input or accepts a stream without its end
// marker as complete.
func FuzzStream(f *testing.F) {
	f.Add(first + last + mark)
	f.Add(first + "data: {\"id\":1}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		if _, kind := read(http.StatusOK, body); kind == "" {
			require.Contains(t, body, "[DONE]")
		}
	})
}
