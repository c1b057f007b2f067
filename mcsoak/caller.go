package mcsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"marigoldcroft/mcstandin"
)

const (
	host            = "svc.example"
	team            = "team"
	steadyKey       = "steady-key"
	callerTimeLimit = 3 * time.Second
	// meanCallerPause is the mean of the exponentially distributed pause between two requests
	// of a caller.
	meanCallerPause = 40 * time.Millisecond
	// rotatingKeyShare is the fraction of requests sent with the rotating key.
	rotatingKeyShare = 0.2
	// promptTokens and outputTokens are the token counts that streaming requests declare.
	promptTokens, outputTokens = 400, 100
	// promptParts is the number of second parts of prompts.
	promptParts = 4
)

type (
	// requestKind describes the requests of one route.
	requestKind struct {
		prefix, service string
		streaming       bool
		// atMostOnce is true when a request must run at most once.
		atMostOnce bool
	}

	// outcome is a request and its result as the caller saw it.
	outcome struct {
		id, path, body, key string
		// parts are the parts of the prompt that other requests share.
		parts           []string
		kind            requestKind
		instance        *instance
		sentAt, endedAt time.Time
		// status is 0 when no response header arrived.
		status int
		// hasReceipt is true when the response has the receipt of a server.
		hasReceipt   bool
		responseBody string
		// complete is true when the response body was complete according to its HTTP framing.
		complete bool
	}
)

// requestKinds are the requests that callers send. mcstandin.PlatformServer answers with a
// stream of events when the path contains /stream/.
var requestKinds = []requestKind{
	{prefix: "/read/", service: "plain"},
	{prefix: "/order/", service: "plain", atMostOnce: true},
	{prefix: "/again/stream/", service: "pool", streaming: true},
	{prefix: "/once/stream/", service: "pool", streaming: true, atMostOnce: true},
}

// transport serves the readiness and recovery probes; each uses a new connection.
var transport = &http.Transport{DisableCompression: true, DisableKeepAlives: true}

// runCaller runs one caller: it sends requests one after another until ctx ends and checks each
// outcome. Connections are reused between requests.
func (s *Soak) runCaller(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(caller)))
	transport := &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		i := s.instances[random.IntN(len(s.instances))]
		key := steadyKey
		if random.Float64() < rotatingKeyShare {
			key = s.currentRotatingKey()
		}
		o := &outcome{id: fmt.Sprintf("c%d-%d", caller, n), kind: requestKinds[random.IntN(len(requestKinds))], instance: i, key: key}
		o.path = fmt.Sprintf("%sp%d?q=%d", o.kind.prefix, n, random.IntN(100))
		o.body = o.id + strings.Repeat("x", random.IntN(2000))
		o.parts = []string{firstPart, fmt.Sprintf("91bd3f%02x", random.IntN(promptParts))}
		if o.kind.streaming && random.Float64() < s.currentDeadlyShare(caller) {
			o.parts[1] = deadlyPart
		}
		o.send(ctx, transport)
		if ctx.Err() == nil {
			s.checkOutcome(o)
		}
		s.pause(time.Duration(random.ExpFloat64() * float64(meanCallerPause)))
	}
}

// send sends the request and reads the response to its end. Its time-out is a second longer
// than the latest end that the checks allow, so that a late response is still measured.
func (o *outcome) send(ctx context.Context, transport http.RoundTripper) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeLimit+timeLimitTolerance+time.Second)
	defer cancel()
	c := mcstandin.PlatformCall{ID: o.id, Key: o.key, Host: host, Path: o.path, Body: o.body, TimeLimit: callerTimeLimit}
	if o.kind.streaming {
		c.PromptTokens, c.OutputTokens, c.Parts = promptTokens, outputTokens, o.parts
	}
	r, err := c.Request(ctx, o.instance.address())
	if err != nil {
		return
	}
	o.sentAt = time.Now()
	defer func() { o.endedAt = time.Now() }()
	answer, err := transport.RoundTrip(r)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	o.status, o.hasReceipt = answer.StatusCode, mcstandin.HasReceipt(answer.Header)
	body, err := io.ReadAll(answer.Body)
	o.responseBody, o.complete = string(body), err == nil
}

// events returns the IDs of the complete events of a streamed response. It returns false when
// the body differs from what a server sends.
func (o *outcome) events() ([]int, bool) {
	var ids []int
	lines := bufio.NewScanner(strings.NewReader(o.responseBody))
	for lines.Scan() {
		text, isID := strings.CutPrefix(lines.Text(), "id: ")
		if !isID {
			continue
		}
		id, err := strconv.Atoi(text)
		if err != nil || !lines.Scan() {
			break
		}
		if want := fmt.Sprintf("data: token %d", id); lines.Text() != want {
			// Only the last line of an interrupted stream may be incomplete.
			return ids, !o.complete && strings.HasPrefix(want, lines.Text()) && !lines.Scan()
		}
		ids = append(ids, id)
	}
	return ids, true
}

// runCallers runs all callers until ctx ends and waits for them.
func (s *Soak) runCallers(ctx context.Context) {
	var all sync.WaitGroup
	for caller := range s.Callers {
		all.Go(func() { s.runCaller(ctx, caller) })
	}
	all.Wait()
}
