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
	host       = "svc.example"
	team       = "team"
	steadyKey  = "steady-key"
	callerTime = 3 * time.Second
	// callerPause is the mean of the exponentially distributed pause between two requests of a
	// caller.
	callerPause = 40 * time.Millisecond
	// changingShare is the fraction of requests sent with the rotating key.
	changingShare = 0.2
	// promptTokens and outputTokens are the token counts that streaming requests declare.
	promptTokens, outputTokens = 400, 100
)

type (
	// kind describes the requests of one route.
	kind struct {
		prefix, service string
		streaming       bool
		// once is true when a request must run at most once.
		once bool
	}

	// outcome is a request and its result as the caller saw it.
	outcome struct {
		id, path, body, key string
		kind                kind
		instance            *instance
		sentAt, endedAt     time.Time
		// status is 0 when no response header arrived.
		status int
		// sealed is true when the response has the receipt of a server.
		sealed bool
		answer string
		// whole is true when the response body was complete according to its HTTP framing.
		whole bool
	}
)

// kinds are the requests that callers send. mcstandin.PlatformServer answers with a stream of
// events when the path contains /stream/.
var kinds = []kind{
	{prefix: "/read/", service: "plain"},
	{prefix: "/order/", service: "plain", once: true},
	{prefix: "/again/stream/", service: "pool", streaming: true},
	{prefix: "/once/stream/", service: "pool", streaming: true, once: true},
}

// transport serves the readiness and recovery probes; each uses a new connection.
var transport = &http.Transport{DisableCompression: true, DisableKeepAlives: true}

// call runs one caller: it sends requests one after another until ctx ends and checks each
// outcome. Connections are reused between requests.
func (s *Soak) call(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(caller)))
	transport := &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		i := s.instances[random.IntN(len(s.instances))]
		key := steadyKey
		if random.Float64() < changingShare {
			key = s.changingKey()
		}
		o := &outcome{id: fmt.Sprintf("c%d-%d", caller, n), kind: kinds[random.IntN(len(kinds))], instance: i, key: key}
		o.path = fmt.Sprintf("%sp%d?q=%d", o.kind.prefix, n, random.IntN(100))
		o.body = strings.Repeat("x", random.IntN(2000))
		o.send(ctx, transport)
		if ctx.Err() == nil {
			s.judge(o)
		}
		s.pause(time.Duration(random.ExpFloat64() * float64(callerPause)))
	}
}

// send sends the request and reads the response to its end. Its time-out is a second longer
// than the latest end that the checks allow, so that a late response is still measured.
func (o *outcome) send(ctx context.Context, transport http.RoundTripper) {
	ctx, cancel := context.WithTimeout(ctx, callerTime+lateLimit+time.Second)
	defer cancel()
	c := mcstandin.PlatformCall{ID: o.id, Key: o.key, Host: host, Path: o.path, Body: o.body, TimeLimit: callerTime}
	if o.kind.streaming {
		c.PromptTokens, c.OutputTokens = promptTokens, outputTokens
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
	o.status, o.sealed = answer.StatusCode, mcstandin.PlatformSealed(answer.Header)
	body, err := io.ReadAll(answer.Body)
	o.answer, o.whole = string(body), err == nil
}

// events returns the IDs of the complete events of a streamed response. It returns false when
// the body differs from what a server sends.
func (o *outcome) events() ([]int, bool) {
	var ids []int
	lines := bufio.NewScanner(strings.NewReader(o.answer))
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
			return ids, !o.whole && strings.HasPrefix(want, lines.Text()) && !lines.Scan()
		}
		ids = append(ids, id)
	}
	return ids, true
}

// callers runs all callers until ctx ends and waits for them.
func (s *Soak) callers(ctx context.Context) {
	var all sync.WaitGroup
	for caller := range s.Callers {
		all.Go(func() { s.call(ctx, caller) })
	}
	all.Wait()
}
