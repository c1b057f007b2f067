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
	// callerPause is the mean pause of a caller between two requests.
	callerPause = 40 * time.Millisecond
	// changingShare is the part of the requests with the key that configurations change.
	changingShare = 0.2
	// promptTokens and outputTokens are those of streams.
	promptTokens, outputTokens = 400, 100
)

type (
	// kind is a kind of request.
	kind struct {
		prefix, service string
		streaming       bool
		// once is true when a request may run once at most.
		once bool
	}

	// outcome is what became of a request, as its caller saw it.
	outcome struct {
		id, path, body, key string
		kind                kind
		instance            *instance
		sentAt, endedAt     time.Time
		// status is 0 when the connection ended without an answer.
		status     int
		hasReceipt bool
		answer     string
		// whole is true when the answer ended as its framing promised.
		whole bool
	}
)

// kinds are the kinds of request that callers send. PlatformServer streams below /stream/.
var kinds = []kind{
	{prefix: "/read/", service: "plain"},
	{prefix: "/order/", service: "plain", once: true},
	{prefix: "/again/stream/", service: "pool", streaming: true},
	{prefix: "/once/stream/", service: "pool", streaming: true, once: true},
}

// transport is for single requests of the soak itself.
var transport = &http.Transport{DisableCompression: true, DisableKeepAlives: true}

// call sends requests one after another, on connections that stay open while they are
// answered, until ctx ends.
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

// send makes the request and reads the whole answer.
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
	o.status, o.hasReceipt = answer.StatusCode, mcstandin.HasReceipt(answer.Header)
	body, err := io.ReadAll(answer.Body)
	o.answer, o.whole = string(body), err == nil
}

// events returns the ids of the whole events of a stream; false means that bytes are not
// those that a server sends.
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
			// Only the last line of a stream that was cut off may be a part.
			return ids, !o.whole && strings.HasPrefix(want, lines.Text()) && !lines.Scan()
		}
		ids = append(ids, id)
	}
	return ids, true
}

// callers runs the callers until ctx ends.
func (s *Soak) callers(ctx context.Context) {
	var all sync.WaitGroup
	for caller := range s.Callers {
		all.Go(func() { s.call(ctx, caller) })
	}
	all.Wait()
}
