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
	// engineStepInterval is the interval between batch steps.
	engineStepInterval = 2 * time.Millisecond
	// bytesPerToken replaces a tokenizer: tokens are counted from the size of the text.
	bytesPerToken = 4
	// cacheBlockBytes is the size of a block of the prefix cache.
	cacheBlockBytes  = 1024
	maxEngineBody    = 64 << 20
	defaultMaxTokens = 64
	// detachedTTL is how long a stream without readers is kept, so that it can be resumed.
	detachedTTL = 5 * time.Second
)

type (
	// EngineSettings configures an Engine.
	EngineSettings struct {
		Name  string
		Model string
		// PrefillRate is in tokens per second, shared by all prompts in the batch.
		PrefillRate float64
		// TokenTime is the decode time of each output token of a stream.
		TokenTime time.Duration
		// KVCapacity and CacheCapacity are in tokens.
		KVCapacity    int64
		CacheCapacity int64
		// ReportLag is the age of the load reports that the engine returns.
		ReportLag time.Duration
		// ChecksFencing rejects orders whose fencing token is older than the last one's.
		ChecksFencing bool
	}

	// EngineFaults are the faults that POST /control/faults sets. Each request replaces all
	// of them; fields that it leaves out are cleared.
	EngineFaults struct {
		// CrashOn crashes the engine when a prompt contains the text; "" means never.
		CrashOn string `json:"crashOn"`
		// BreakAfter closes the connection of a stream instead of sending an event with
		// this sequence number or a higher one; 0 means never.
		BreakAfter int `json:"breakAfter"`
		// PauseMs suspends the batch steps once for this time.
		PauseMs int `json:"pauseMs"`
		// SlowFactor divides the engine's speed; 0 means 1.
		SlowFactor float64 `json:"slowFactor"`
		// StaleLoad stops the updates of the load report, except for its leaving flag.
		StaleLoad bool `json:"staleLoad"`
		// WrongStreamID sends the events of each stream with the ID of another stream.
		WrongStreamID bool `json:"crossed"`
		// RefuseAll answers new requests with status 503.
		RefuseAll bool `json:"refuseAll"`
		// CacheLagMs delays the cache events, and CacheGap omits every n-th one; 0 means
		// no delay and no omission.
		CacheLagMs int `json:"cacheLagMs"`
		CacheGap   int `json:"cacheGap"`
		// Leaving sets the leaving flag of the load report.
		Leaving bool `json:"leaving"`
	}

	// Engine is a stand-in of a model engine. It has continuous batching with priorities, a
	// prefix cache, limited KV memory, and streams that can be resumed and cancelled.
	Engine struct {
		Settings EngineSettings
		// Crash is called when a prompt contains EngineFaults.CrashOn. A stand-in that runs
		// as a process of its own exits here.
		Crash func()

		mu      sync.Mutex
		faults  EngineFaults
		started time.Time
		waiting []*engineStream
		running []*engineStream
		// reports holds recent load reports, oldest first; callers get the oldest one.
		reports []marigoldcroft.LoadReport
		cache   prefixCache
		order   marigoldcroft.Order
		// accepted counts the requests that the engine accepted.
		accepted    int
		pausedUntil time.Time
	}

	// engineStream is one request, waiting or in the batch.
	engineStream struct {
		id           string
		attempt      int
		owner        string
		priority     int
		arrived      time.Time
		promptTokens int64
		cachedTokens int64
		// prefillLeft is the number of prompt tokens that are not computed yet.
		prefillLeft  float64
		outputTokens int64
		emitted      int64
		nextToken    time.Time
		// mark is the first token of the answer; see PromptHashToken.
		mark string
		// events holds all events so far, so that a reader can resume from any of them.
		events []string
		// changed is closed and replaced when an event is added or the stream ends.
		changed chan struct{}
		ended   bool
		// readerCount is the number of callers that read the stream, and readersChanged the
		// time at which it last changed.
		readerCount    int
		readersChanged time.Time
	}
)

// Run executes batch steps until ctx is cancelled.
func (e *Engine) Run(ctx context.Context) {
	e.mu.Lock()
	e.started = time.Now()
	e.cache.capacity = e.Settings.CacheCapacity
	e.mu.Unlock()
	ticker := time.NewTicker(engineStepInterval)
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
	if now.Before(e.pausedUntil) {
		return
	}
	speed := 1.0
	if e.faults.SlowFactor > 0 {
		speed = 1 / e.faults.SlowFactor
	}
	e.removeDetached(now)
	e.admitWaiting(now)
	e.prefill(now, elapsed.Seconds()*e.Settings.PrefillRate*speed)
	e.decode(now, time.Duration(float64(e.Settings.TokenTime)/speed))
	e.recordLoad(now)
}

// admitWaiting moves waiting streams into the batch by priority, then arrival, and stops at the
// first one that does not fit into the KV memory.
func (e *Engine) admitWaiting(time.Time) {
	sortStreams(e.waiting)
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		if e.kvUsed()+s.promptTokens+s.outputTokens > e.Settings.KVCapacity {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
	}
}

// prefill spends the token budget on prompts by priority, then arrival.
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

// decode emits the tokens that are due and removes finished streams from the batch.
func (e *Engine) decode(now time.Time, tokenTime time.Duration) {
	kept := e.running[:0]
	for _, s := range e.running {
		for s.prefillLeft <= 0 && s.emitted < s.outputTokens && !s.nextToken.After(now) {
			s.emit(e.faults.WrongStreamID)
			s.nextToken = s.nextToken.Add(tokenTime)
		}
		if s.emitted < s.outputTokens {
			kept = append(kept, s)
			continue
		}
		s.ended = true
		s.notify()
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// removeDetached removes streams that have had no reader for longer than detachedTTL.
func (e *Engine) removeDetached(now time.Time) {
	detached := func(s *engineStream) bool {
		return s.readerCount == 0 && !s.readersChanged.IsZero() && now.Sub(s.readersChanged) > detachedTTL
	}
	e.waiting = removeStreams(e.waiting, detached)
	e.running = removeStreams(e.running, detached)
}

func (e *Engine) kvUsed() int64 {
	var used int64
	for _, s := range e.running {
		used += s.promptTokens + s.outputTokens
	}
	return used
}

// recordLoad adds a load report at most once each tenth of ReportLag, and discards reports until
// the first one is the newest that is at least ReportLag old.
func (e *Engine) recordLoad(now time.Time) {
	if e.faults.StaleLoad {
		return
	}
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].Time) < e.Settings.ReportLag/10 {
		return
	}
	e.reports = append(e.reports, e.loadReport(now))
	for len(e.reports) > 1 && now.Sub(e.reports[1].Time) >= e.Settings.ReportLag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) loadReport(now time.Time) marigoldcroft.LoadReport {
	var prefill float64
	for _, s := range e.running {
		prefill += s.prefillLeft
	}
	for _, s := range e.waiting {
		prefill += s.prefillLeft
	}
	return marigoldcroft.LoadReport{
		Endpoint: e.Settings.Name, Incarnation: uint64(e.started.UnixNano()), Time: now,
		Running: len(e.running), Waiting: len(e.waiting), PrefillTokens: int64(prefill),
		KVUsedTokens: e.kvUsed(), KVCapacityTokens: e.Settings.KVCapacity, Leaving: e.faults.Leaving,
	}
}

// emit adds the next event to the stream, with a wrong ID if wrongStreamID is true.
func (s *engineStream) emit(wrongStreamID bool) {
	c := engineChunk{ID: fmt.Sprintf("%s/%d", s.id, s.attempt), Sequence: uint64(s.emitted)}
	if wrongStreamID {
		c.ID = fmt.Sprintf("%s-other/%d", s.id, s.attempt)
	}
	choice := engineChoice{}
	choice.Delta.Content = tokenText(s.mark, s.emitted)
	s.emitted++
	if s.emitted == s.outputTokens {
		choice.FinishReason = "stop"
		c.Usage = &engineUsage{PromptTokens: s.promptTokens, CompletionTokens: s.outputTokens, CachedTokens: s.cachedTokens}
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

// tokenText returns token n of an answer: first the mark, then numbered words.
func tokenText(mark string, n int64) string {
	if n == 0 {
		return mark
	}
	return fmt.Sprintf(" w%d", n)
}

// PromptHashToken returns the first token of the answer to a prompt. It is a hash of the prompt, so
// that a caller can check that an answer belongs to its own prompt.
func PromptHashToken(messages []marigoldcroft.Message) string {
	h := xxhash.New()
	for _, m := range messages {
		h.WriteString(m.Role)
		h.WriteString(m.Content)
	}
	return fmt.Sprintf("a%016x", h.Sum64())
}

// promptText returns the concatenated messages, as tokenizer and prefix cache use them.
func promptText(messages []marigoldcroft.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(m.Content)
	}
	return b.String()
}

// Handler returns the engine's HTTP API with the fault controls.
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
