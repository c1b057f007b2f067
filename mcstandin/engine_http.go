package mcstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"marigoldcroft"
)

type (
	engineChunk struct {
		ID       string         `json:"id"`
		Sequence uint64         `json:"sequence"`
		Choices  []engineChoice `json:"choices"`
		Usage    *engineUsage   `json:"usage,omitempty"`
	}
	engineChoice struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason,omitempty"`
	}
	engineUsage struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		CachedTokens     int64 `json:"cached_tokens"`
	}
	engineRequest struct {
		Model     string                  `json:"model"`
		Messages  []marigoldcroft.Message `json:"messages"`
		MaxTokens int64                   `json:"max_tokens"`
		Priority  int                     `json:"priority"`
	}
)

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request engineRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBody)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s, status := e.enqueue(request, r.Header)
	if s == nil {
		http.Error(w, http.StatusText(status), status)
		return
	}
	e.sendEvents(w, r, s, 0)
}

// enqueue adds the request to the waiting streams, or returns nil and the status of its refusal.
func (e *Engine) enqueue(request engineRequest, header http.Header) (*engineStream, int) {
	text := promptText(request.Messages)
	mark := PromptHashToken(request.Messages)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CrashOn != "" && strings.Contains(text, e.faults.CrashOn) {
		e.Crash()
		// A crashed process sends no response.
		panic(http.ErrAbortHandler)
	}
	if e.faults.RefuseAll {
		return nil, http.StatusServiceUnavailable
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	prompt := int64(len(text)/bytesPerToken + 1)
	if request.Model != e.Settings.Model || prompt+request.MaxTokens > e.Settings.KVCapacity {
		return nil, http.StatusBadRequest
	}
	attempt, err := strconv.Atoi(header.Get("X-Attempt"))
	if err != nil {
		return nil, http.StatusBadRequest
	}
	cached := e.cache.lookupAndAdd(text)
	s := &engineStream{
		id: header.Get("X-Request-Id"), attempt: attempt, owner: header.Get("X-Owner"),
		priority: request.Priority, arrived: time.Now(), promptTokens: prompt, cachedTokens: cached,
		prefillLeft: float64(prompt - cached), outputTokens: request.MaxTokens,
		mark: mark, changed: make(chan struct{}),
	}
	e.waiting = append(e.waiting, s)
	e.accepted++
	return s, http.StatusOK
}

// sendEvents sends the events of a stream from the given sequence number on, until the stream ends
// or the caller disconnects.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *engineStream, from int) {
	e.addReaders(s, 1)
	defer e.addReaders(s, -1)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, ok := w.(http.Flusher)
	if !ok {
		http.Error(w, "streaming is not possible", http.StatusInternalServerError)
		return
	}
	flusher.Flush()
	for {
		events, ended, changed, breakAfter := e.eventsFrom(s, from)
		for _, event := range events {
			if breakAfter > 0 && from >= breakAfter {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "data: %s\n\n", event)
			from++
		}
		if ended {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) eventsFrom(s *engineStream, from int) (events []string, ended bool, changed <-chan struct{}, breakAfter int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from < len(s.events) {
		events = s.events[from:]
	}
	return events, s.ended, s.changed, e.faults.BreakAfter
}

func (e *Engine) addReaders(s *engineStream, readers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readerCount += readers
	s.readersChanged = time.Now()
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.loadReport(time.Now())
	if len(e.reports) > 0 {
		report = e.reports[0]
		report.Leaving = e.faults.Leaving
	}
	e.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) serveStreams(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	streams := make([]marigoldcroft.EngineStream, 0, len(e.running)+len(e.waiting))
	for _, s := range append(append([]*engineStream(nil), e.running...), e.waiting...) {
		streams = append(streams, marigoldcroft.EngineStream{
			ID: s.id, Attempt: s.attempt, Owner: s.owner, AgeMs: time.Since(s.arrived).Milliseconds(),
			KVTokens: s.promptTokens + s.outputTokens, Delivered: uint64(len(s.events)),
		})
	}
	e.mu.Unlock()
	writeJSON(w, map[string]any{"streams": streams})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var target struct {
		ID      string `json:"id"`
		Attempt int    `json:"attempt"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBody)).Decode(&target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	matches := func(s *engineStream) bool { return s.id == target.ID && s.attempt == target.Attempt }
	before := len(e.waiting) + len(e.running)
	e.waiting = removeStreams(e.waiting, matches)
	e.running = removeStreams(e.running, matches)
	if len(e.waiting)+len(e.running) == before {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{})
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "malformed from", http.StatusBadRequest)
		return
	}
	s := e.findStream(r.URL.Query().Get("id"), r.URL.Query().Get("attempt"))
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.sendEvents(w, r, s, from)
}

func (e *Engine) findStream(id, attempt string) *engineStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range append(append([]*engineStream(nil), e.running...), e.waiting...) {
		if s.id == id && strconv.Itoa(s.attempt) == attempt {
			return s
		}
	}
	return nil
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(after, time.Duration(e.faults.CacheLagMs)*time.Millisecond, e.faults.CacheGap)
	e.mu.Unlock()
	writeJSON(w, map[string]any{"events": events})
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	order := e.order
	e.mu.Unlock()
	writeJSON(w, order)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order marigoldcroft.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBody)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Settings.ChecksFencing && order.FencingToken < e.order.FencingToken {
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	e.order = order
	writeJSON(w, order)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBody)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
	writeJSON(w, faults)
}

// SetFaults replaces the injected faults. Faults without PauseMs do not end a pause that has
// begun.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	if faults.PauseMs > 0 {
		e.pausedUntil = time.Now().Add(time.Duration(faults.PauseMs) * time.Millisecond)
	}
}

// Accepted returns the number of requests that the engine accepted.
func (e *Engine) Accepted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted
}

// KVUsed returns the KV memory in use, in tokens.
func (e *Engine) KVUsed() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.kvUsed()
}

func sortStreams(streams []*engineStream) {
	sort.SliceStable(streams, func(i, j int) bool {
		if streams[i].priority != streams[j].priority {
			return streams[i].priority > streams[j].priority
		}
		return streams[i].arrived.Before(streams[j].arrived)
	})
}

func removeStreams(streams []*engineStream, drop func(*engineStream) bool) []*engineStream {
	kept := streams[:0]
	for _, s := range streams {
		if !drop(s) {
			kept = append(kept, s)
		}
	}
	clear(streams[len(kept):])
	return kept
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
