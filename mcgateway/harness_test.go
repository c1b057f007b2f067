package mcgateway_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/goleak"

	"marigoldcroft"
	"marigoldcroft/mcengine"
	"marigoldcroft/mcgateway"
	"marigoldcroft/mcobserve"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcsetting"
)

const callerKey = "secret-key-of-the-studio"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// config is a configuration snapshot with one team and the templates of the tests.
type config struct {
	templates map[string]marigoldcroft.Template
}

func (config) Revision() uint64                        { return 3 }
func (config) Stale() bool                             { return false }
func (c config) Current() marigoldcroft.ConfigSnapshot { return c }
func (c config) Team(string) (marigoldcroft.Team, bool) {
	return c.TeamByKeyHash(mcgateway.KeyHash(callerKey))
}

func (c config) TeamByKeyHash(hash string) (marigoldcroft.Team, bool) {
	names := []string{"caption", "print", "dossier", "orders", "booking"}
	team := marigoldcroft.TeamSpec{Name: "studio", Templates: names, Concurrency: 100, TokensPerSecond: 1000, BurstTokens: 100_000}
	return marigoldcroft.NewTeam(team), hash == mcgateway.KeyHash(callerKey)
}

func (c config) Template(name string) (marigoldcroft.Template, bool) {
	spec := marigoldcroft.TemplateSpec{
		Name: name, Model: "m", Urgency: "interactive", Repeat: marigoldcroft.RepeatIdempotent,
		DeadlineMs: 60_000, MaxPromptTokens: 50_000, MaxOutputTokens: 100,
	}
	switch name {
	case "caption":
	case "print":
		spec.Repeat = marigoldcroft.RepeatAtMostOnce
	case "dossier":
		spec.Oversize, spec.CombinePrompt = marigoldcroft.OversizeSplit, "Combine."
	case "orders":
		spec.Model, spec.Service = "", "desk"
	case "booking":
		spec.Model, spec.Service, spec.Repeat = "", "desk", marigoldcroft.RepeatAtMostOnce
	default:
		return marigoldcroft.Template{}, false
	}
	return marigoldcroft.NewTemplate(spec), true
}

// scheduler is a fake that dispatches to the first endpoint that is up and not excluded.
type scheduler struct {
	marigoldcroft.Scheduler

	mu        sync.Mutex
	endpoints []string
	// held maps the work that was accepted and has not finished to its endpoint; maxHeld
	// is the largest number of such work so far.
	held    map[marigoldcroft.StreamID]string
	maxHeld int
	// isolated counts the submissions of work that must run isolated.
	isolated int
	// predictedFirstToken is the predicted time to first token in all decisions.
	predictedFirstToken time.Duration
	// due holds the decisions that the next poll returns.
	due []marigoldcroft.Decision
	// queue makes Submit queue work instead of dispatching it.
	queue bool
	// hang, if it is not nil, blocks Submit until it is closed.
	hang chan struct{}
	// refusals is the number of submissions that are still to be refused.
	refusals int
	// refusalReason is their reason; empty means that there is no endpoint.
	refusalReason marigoldcroft.Reason
}

func (s *scheduler) Submit(_ time.Time, work marigoldcroft.Work) marigoldcroft.Decision {
	if s.hang != nil {
		<-s.hang
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := marigoldcroft.Decision{ID: work.ID, Action: marigoldcroft.ActionRefuse, Reason: marigoldcroft.ReasonNoEndpoint, RetryAfter: time.Second}
	if s.refusals > 0 {
		s.refusals--
		decision.Reason = cmp.Or(s.refusalReason, decision.Reason)
		return decision
	}
	if work.IsolateSuspect {
		s.isolated++
	}
	for _, name := range s.endpoints {
		if slices.Contains(work.Exclude, name) {
			continue
		}
		decision.Action, decision.Endpoint, decision.PredictedFirstToken = marigoldcroft.ActionDispatch, name, s.predictedFirstToken
		if s.queue {
			decision.Action = marigoldcroft.ActionWait
		}
		s.held[work.ID] = name
		s.maxHeld = max(s.maxHeld, len(s.held))
		break
	}
	return decision
}

func (s *scheduler) Finish(_ time.Time, id marigoldcroft.StreamID, _ marigoldcroft.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, id)
}

func (s *scheduler) EndpointDown(_ time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = slices.DeleteFunc(slices.Clone(s.endpoints), func(n string) bool { return n == name })
}

func (s *scheduler) Poll(_ time.Time, decisions []marigoldcroft.Decision) []marigoldcroft.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	decisions, s.due = append(decisions, s.due...), nil
	return decisions
}

// decide adds a later decision for all work that is held.
func (s *scheduler) decide(action marigoldcroft.Action, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.held {
		s.due = append(s.due, marigoldcroft.Decision{ID: id, Action: action, Endpoint: endpoint, Reason: marigoldcroft.ReasonDeadline})
	}
}

// StopBy expires the work that waits, as if none of it could end in time.
func (s *scheduler) StopBy(time.Time, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue {
		return
	}
	for id := range s.held {
		s.due = append(s.due, marigoldcroft.Decision{
			ID: id, Action: marigoldcroft.ActionExpire, Reason: marigoldcroft.ReasonStopping, RetryAfter: time.Second,
		})
	}
}

func (*scheduler) FirstToken(time.Time, marigoldcroft.StreamID) {}

// engine is a fake that answers by script: each call of Generate or Resume takes the next
// entry of its endpoint; the last one repeats. An entry is a list of words: "!!kind" at
// the start fails the call with that mcengine.Kind, "!kind" fails the stream, "~" waits a
// second, "..." hangs until the context ends, and all others are tokens. Underscores in a
// kind stand for spaces. The answer ends after the last word.
type engine struct {
	marigoldcroft.Engine

	mu            sync.Mutex
	script        map[string][]string
	calls         []string
	sent          []marigoldcroft.GenerateRequest
	closedStreams int
	load          error
}

type engineStream struct {
	ctx    context.Context
	words  []string
	next   uint64
	closed func()
}

func (e *engine) open(ctx context.Context, call, endpoint string, from uint64) (marigoldcroft.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, call+" "+endpoint)
	words := strings.Fields(e.script[endpoint][0])
	if len(e.script[endpoint]) > 1 {
		e.script[endpoint] = e.script[endpoint][1:]
	}
	if len(words) > 0 && strings.HasPrefix(words[0], "!!") {
		return nil, marigoldcroft.NewFailure(call, mcengine.Kind(strings.ReplaceAll(words[0][2:], "_", " ")), nil)
	}
	return &engineStream{ctx: ctx, words: words, next: from, closed: func() { e.mu.Lock(); e.closedStreams++; e.mu.Unlock() }}, nil
}

// count returns the number of calls so far.
func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

func (e *engine) Generate(ctx context.Context, endpoint marigoldcroft.Endpoint, request marigoldcroft.GenerateRequest) (marigoldcroft.TokenStream, error) {
	e.mu.Lock()
	e.sent = append(e.sent, request)
	e.mu.Unlock()
	return e.open(ctx, "generate", endpoint.Name(), 0)
}

func (e *engine) Resume(ctx context.Context, endpoint marigoldcroft.Endpoint, _ marigoldcroft.StreamID, from uint64) (marigoldcroft.TokenStream, error) {
	return e.open(ctx, fmt.Sprintf("resume%d", from), endpoint.Name(), from)
}

func (e *engine) Cancel(context.Context, marigoldcroft.Endpoint, marigoldcroft.StreamID) error {
	return nil
}

func (e *engine) Load(context.Context, marigoldcroft.Endpoint) (marigoldcroft.LoadReport, error) {
	return marigoldcroft.LoadReport{Incarnation: 1}, e.load
}

func (s *engineStream) Close() error { s.closed(); return nil }

func (s *engineStream) Next() (marigoldcroft.TokenEvent, error) {
	for len(s.words) > 0 {
		word := s.words[0]
		s.words = s.words[1:]
		kind, broken := strings.CutPrefix(word, "!")
		switch {
		case broken:
			return marigoldcroft.TokenEvent{}, marigoldcroft.NewFailure("next", mcengine.Kind(strings.ReplaceAll(kind, "_", " ")), nil)
		case word == "~":
			time.Sleep(time.Second)
			continue
		case word == "...":
			<-s.ctx.Done()
			return marigoldcroft.TokenEvent{}, marigoldcroft.NewFailure("next", mcengine.KindStreamBroken, s.ctx.Err())
		}
		event := marigoldcroft.TokenEvent{Sequence: s.next, Text: word, PromptTokens: 7, OutputTokens: 3}
		s.next++
		if len(s.words) == 0 {
			event.Finish = "stop"
		}
		return event, nil
	}
	return marigoldcroft.TokenEvent{}, io.EOF
}

// testGateway is one gateway with its fakes and its log.
type testGateway struct {
	*mcgateway.Gateway

	scheduler *scheduler
	engine    *engine
	log       bytes.Buffer
}

func newTestGateway(script map[string][]string) *testGateway {
	g := &testGateway{engine: &engine{script: script}, scheduler: &scheduler{held: map[marigoldcroft.StreamID]string{}}}
	for _, name := range []string{"a", "b", "c", "d"} {
		if script[name] != nil {
			g.scheduler.endpoints = append(g.scheduler.endpoints, name)
		}
	}
	limits := mcsetting.Default().Limits
	limits.MaxBodyBytes, limits.BodyReadTimeout = 1<<20, 200*time.Millisecond
	g.Gateway = &mcgateway.Gateway{
		Config: config{}, Engine: g.engine, Dispatcher: &mcgateway.Dispatcher{Scheduler: g.scheduler}, Limits: limits,
		Identity: marigoldcroft.NewIdentity("test", "r", "dc", "i", time.Unix(1, 0), 0),
		Endpoint: func(name string) (marigoldcroft.Endpoint, bool) {
			return marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: name}), true
		},
		Metrics: mcobserve.NewMetrics(), Tracer: noop.NewTracerProvider().Tracer("test"),
		Logger: mcobserve.NewLogger(zerolog.SyncWriter(&g.log), "debug"), Quarantine: &mcquarantine.Guard{},
	}
	return g
}

// bubble runs the test in a synctest bubble; run starts the dispatcher of a gateway.
func bubble(t *testing.T, test func(t *testing.T, run func(*testGateway) *testGateway)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(t, func(g *testGateway) *testGateway { go g.Dispatcher.Run(ctx); return g })
		cancel()
	})
}

// chat sends a chat request; header is a list of name and value pairs.
func (g *testGateway) chat(ctx context.Context, body string, header ...string) *httptest.ResponseRecorder {
	return g.request(ctx, http.MethodPost, "/v1/chat/completions", body, header...)
}

func (g *testGateway) request(ctx context.Context, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	g.Handler().ServeHTTP(w, r)
	return w
}

// body returns a request body for a template, with the fields in extra.
func body(template, extra string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}]%s}`, template, extra)
}

// text joins the tokens of a complete or streamed answer.
func text(w *httptest.ResponseRecorder) string {
	var b strings.Builder
	for _, part := range strings.Split(w.Body.String(), `"content":"`)[1:] {
		content, _, _ := strings.Cut(part, `"`)
		b.WriteString(content)
	}
	return b.String()
}

// makeSuspect records the crash of an endpoint while it ran the request that was sent to
// an engine.
func makeSuspect(g *testGateway, sent marigoldcroft.GenerateRequest) {
	canonical := fmt.Sprintf(`{"model":"caption","messages":[{"role":"user","content":%q}],"max_tokens":100,"max_completion_tokens":0,"stream":false,"temperature":null,"seed":null}`,
		sent.Messages[0].Content)
	id := marigoldcroft.NewStreamID("earlier", 1)
	g.Quarantine.Begin(time.Now(), "dead", id, mcquarantine.FingerprintOf("studio", []byte(canonical)), nil)
	g.Quarantine.StreamBroken(time.Now(), "dead", id)
	g.Quarantine.ConnectionRefused(time.Now(), "dead")
}

// Queued counts all held work, so that the dispatcher keeps polling.
func (s *scheduler) Queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held) + len(s.due)
}
