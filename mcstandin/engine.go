package mcstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
)

const (
	// engineTick is the length of one batch step.
	engineTick = 2 * time.Millisecond
	// bytesPerToken is the stand-in's tokenizer.
	bytesPerToken = 4
	// cacheBlockBytes is the size of a cached prefix block.
	cacheBlockBytes  = 1024
	maxEngineBody    = 64 << 20
	defaultMaxTokens = 64
	// streamLinger is how long a stream whose caller is gone can be resumed.
	streamLinger = 5 * time.Second
)

type (
	// EngineSettings sizes the stand-in of a model engine.
	EngineSettings struct {
		Name  string
		Model string
		// PrefillRate is in tokens a second, shared by all prompts in the batch.
		PrefillRate float64
		// TokenTime is the time between two tokens of one stream.
		TokenTime time.Duration
		// KVCapacity and CacheCapacity are in tokens.
		KVCapacity    int64
		CacheCapacity int64
		// ReportLag is the age of the load reports.
		ReportLag     time.Duration
		ChecksFencing bool
	}

	// EngineFaults are set at run time by POST /control/faults.
	EngineFaults struct {
		// CrashOn ends the process when a prompt contains the text.
		CrashOn string `json:"crashOn"`
		// BreakAfter cuts each stream after so many events; 0 means never.
		BreakAfter int `json:"breakAfter"`
		// PauseMs stops the engine for so long, once.
		PauseMs int `json:"pauseMs"`
		// SlowFactor divides the engine's speed; 0 means 1.
		SlowFactor float64 `json:"slowFactor"`
		// StaleLoad freezes the load report.
		StaleLoad bool `json:"staleLoad"`
		// Crossed sends the events of each stream under another stream's id.
		Crossed bool `json:"crossed"`
		// RefuseAll answers 503 to new work.
		RefuseAll bool `json:"refuseAll"`
		// CacheLagMs publishes cache events so much later, and CacheGap drops every n-th
		// one; 0 means none.
		CacheLagMs int `json:"cacheLagMs"`
		CacheGap   int `json:"cacheGap"`
		// Leaving sets the leaving mark in the load report.
		Leaving bool `json:"leaving"`
	}

	// Engine is a stand-in of a model engine: continuous batching with priorities,
	// prefix cache, bounded KV memory, streams that can be resumed and cancelled.
	Engine struct {
		Settings EngineSettings
		// Crash is called on a prompt that crashes the engine; a process exits.
		Crash func()

		mu      sync.Mutex
		faults  EngineFaults
		start   time.Time
		waiting []*engineStream
		running []*engineStream
		// reports holds recent load reports, oldest first, to answer with a lag.
		reports []marigoldcroft.LoadReport
		cache   prefixCache
		order   marigoldcroft.Order
		// served counts work that the engine accepted.
		served int
		pause  time.Time
	}

	// engineStream is one request in the batch.
	engineStream struct {
		id       string
		attempt  int
		owner    string
		priority int
		arrived  time.Time
		prompt   int64
		cached   int64
		// prefillLeft is the part of the prompt that is not computed yet.
		prefillLeft float64
		output      int64
		made        int64
		nextToken   time.Time
		answer      string
		// events holds all events so far, for resume.
		events []string
		// changed is closed and replaced when events grow or the stream ends.
		changed chan struct{}
		ended   bool
		// readers counts callers that read the stream; detached is set at zero.
		readers  int
		detached time.Time
	}
)

// Run computes batch steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	e.mu.Lock()
	e.start = time.Now()
	e.cache.capacity = e.Settings.CacheCapacity
	e.mu.Unlock()
	ticker := time.NewTicker(engineTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.step(now, now.Sub(last))
			last = now
		}
	}
}

// step advances the batch by elapsed.
func (e *Engine) step(now time.Time, elapsed time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.pause) {
		return
	}
	speed := 1.0
	if e.faults.SlowFactor > 0 {
		speed = 1 / e.faults.SlowFactor
	}
	e.dropDetached(now)
	e.startWaiting(now)
	e.prefill(now, elapsed.Seconds()*e.Settings.PrefillRate*speed)
	e.decode(now, time.Duration(float64(e.Settings.TokenTime)/speed))
	e.record(now)
}

// startWaiting moves streams into the batch by priority, then arrival, while memory lasts.
func (e *Engine) startWaiting(time.Time) {
	sortStreams(e.waiting)
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		if e.kvUsed()+s.prompt+s.output > e.Settings.KVCapacity {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
	}
}

// prefill spends the budget of tokens on prompts by priority, then arrival.
func (e *Engine) prefill(now time.Time, budget float64) {
	sortStreams(e.running)
	for _, s := range e.running {
		if s.prefillLeft <= 0 {
			continue
		}
		spent := min(budget, s.prefillLeft)
		s.prefillLeft -= spent
		budget -= spent
		if s.prefillLeft <= 0 {
			s.nextToken = now
		}
	}
}

// decode emits the tokens that are due and removes streams that are done.
func (e *Engine) decode(now time.Time, tokenTime time.Duration) {
	kept := e.running[:0]
	for _, s := range e.running {
		for s.prefillLeft <= 0 && s.made < s.output && !s.nextToken.After(now) {
			s.emit(e.faults.Crossed)
			s.nextToken = s.nextToken.Add(tokenTime)
		}
		if s.made < s.output {
			kept = append(kept, s)
			continue
		}
		s.ended = true
		s.notify()
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// dropDetached cancels streams whose reader has been gone for too long.
func (e *Engine) dropDetached(now time.Time) {
	drop := func(s *engineStream) bool {
		return s.readers == 0 && !s.detached.IsZero() && now.Sub(s.detached) > streamLinger
	}
	e.waiting = removeStreams(e.waiting, drop)
	e.running = removeStreams(e.running, drop)
}

func (e *Engine) kvUsed() int64 {
	var used int64
	for _, s := range e.running {
		used += s.prompt + s.output
	}
	return used
}

// record keeps a load report for each tenth of the lag.
func (e *Engine) record(now time.Time) {
	if e.faults.StaleLoad {
		return
	}
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].Time) < e.Settings.ReportLag/10 {
		return
	}
	e.reports = append(e.reports, e.report(now))
	for len(e.reports) > 1 && now.Sub(e.reports[1].Time) >= e.Settings.ReportLag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) report(now time.Time) marigoldcroft.LoadReport {
	var prefill float64
	for _, s := range e.running {
		prefill += s.prefillLeft
	}
	for _, s := range e.waiting {
		prefill += s.prefillLeft
	}
	return marigoldcroft.LoadReport{
		Endpoint: e.Settings.Name, Incarnation: uint64(e.start.UnixNano()), Time: now,
		Running: len(e.running), Waiting: len(e.waiting), PrefillTokens: int64(prefill),
		KVUsedTokens: e.kvUsed(), KVCapacityTokens: e.Settings.KVCapacity, Leaving: e.faults.Leaving,
	}
}

// emit makes the next event of the stream.
func (s *engineStream) emit(crossed bool) {
	c := engineChunk{ID: fmt.Sprintf("%s/%d", s.id, s.attempt), Sequence: uint64(s.made)}
	if crossed {
		c.ID = fmt.Sprintf("%s-other/%d", s.id, s.attempt)
	}
	choice := engineChoice{}
	choice.Delta.Content = tokenText(s.answer, s.made)
	s.made++
	if s.made == s.output {
		choice.FinishReason = "stop"
		c.Usage = &engineUsage{PromptTokens: s.prompt, CompletionTokens: s.output, CachedTokens: s.cached}
	}
	c.Choices = []engineChoice{choice}
	text, err := json.Marshal(c)
	if err != nil {
		return
	}
	s.events = append(s.events, string(text))
	s.notify()
}

func (s *engineStream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// tokenText returns token n of the answer: first its mark, then numbered words.
func tokenText(mark string, n int64) string {
	if n == 0 {
		return mark
	}
	return fmt.Sprintf(" w%d", n)
}

// AnswerMark returns the first token of the answer to a prompt, so that a caller can
// tell whether an answer belongs to its own prompt.
func AnswerMark(messages []marigoldcroft.Message) string {
	h := xxhash.New()
	for _, m := range messages {
		h.WriteString(m.Role)
		h.WriteString(m.Content)
	}
	return fmt.Sprintf("a%016x", h.Sum64())
}

// promptText joins the messages, as the prefix cache sees them.
func promptText(messages []marigoldcroft.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(m.Content)
	}
	return b.String()
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveGenerate)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/streams", e.serveStreams)
	mux.HandleFunc("POST /v1/streams/cancel", e.serveCancel)
	mux.HandleFunc("GET /v1/streams/resume", e.serveResume)
	mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	mux.HandleFunc("GET /v1/orders", e.serveOrders)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /control/faults", e.serveFaults)
	return mux
}
