package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marigoldcroft/mcstandin"
)

const (
	// headCallers and trailerCallers are the sizes of the crowds. headBytes is the length of the field with very
	// many entries; the head stays under the max-header-bytes of the site.
	headCallers    = 1500
	trailerCallers = 1000
	headBytes      = 16_000
	// firstTrailer is the number of the first trailer field, whose name has three letters in base 36.
	firstTrailer = 36 * 36
	// crowdHold is how long ordinary requests are sent beside the crowd, and ordinaryConsumers by how many.
	crowdHold         = 8 * time.Second
	ordinaryConsumers = 8
	// sampleInterval is the time between two readings of the memory of the process.
	sampleInterval = 5 * time.Millisecond
)

// crowd is a number of callers that send one request each, without its last byte, stay connected, and come back
// when they are turned away.
type crowd struct {
	callers int
	// what describes the requests.
	what string
	// request returns what the caller sends with its n-th request.
	request func(caller, n int) string
}

// playHeads lets a crowd with a key send heads of legal size whose Prefix-Hash has very many short entries, and
// bodies that stop just short of their end.
func playHeads(w *world, trouble bool) (bool, error) {
	entries := strings.Repeat("a,", headBytes/2) + "b:1"
	what := fmt.Sprintf("POST /puxa403/2f with a key, a Prefix-Hash of %d bytes and 9 of 10 bytes of the body", len(entries))
	return playMemory(w, trouble, crowd{callers: headCallers, what: what, request: func(caller, n int) string {
		return fmt.Sprintf("POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: c-%d-%d\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 15000\r\nPrefix-Hash: %s\r\nContent-Length: 10\r\n\r\n123456789",
			host, caller, n, apiKey, entries)
	}})
}

// playTrailers lets a crowd without a key send heads of legal size to a path without a route, which announce very
// many trailer fields, and bodies in chunks that stop just short of their end.
func playTrailers(w *world, trouble bool) (bool, error) {
	var names strings.Builder
	for i := firstTrailer; names.Len() < headBytes; i++ {
		names.WriteString(strconv.FormatInt(int64(i), 36) + ",")
	}
	list := strings.TrimSuffix(names.String(), ",")
	what := fmt.Sprintf("POST /none/2f without a key, a Trailer of %d bytes and one chunk of the body", len(list))
	return playMemory(w, trouble, crowd{callers: trailerCallers, what: what, request: func(caller, n int) string {
		return fmt.Sprintf("POST /none/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: c-%d-%d\r\nTransfer-Encoding: chunked\r\nTrailer: %s\r\n\r\n1\r\nx", host, caller, n, list)
	}})
}

// playMemory watches the memory of the process while the crowd is connected and ordinary consumers send requests.
// As the platform does, the stand-in kills a process that exceeds the memory of its machine.
func playMemory(w *world, trouble bool, c crowd) (bool, error) {
	e, server, err := startService(w)
	if err != nil {
		return false, err
	}
	w.say("before: %.0f MB of anonymous memory, %.0f MB resident", e.memoryOf("RssAnon"), e.memoryOf("VmRSS"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers, consumers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	watching, stop := context.WithCancel(ctx)
	defer stop()
	watched := make(chan memoryWatch, 1)
	go func() { watched <- w.watchMemory(watching, e) }()
	var waiting, sent atomic.Int64
	if trouble {
		w.note("the crowd: %d callers, %s", c.callers, c.what)
		callers.Go(func() {
			for i := range c.callers {
				callers.Go(func() { stall(ctx, e, func(n int) string { return c.request(i, n) }, &waiting, &sent) })
				time.Sleep(time.Millisecond)
			}
		})
	}
	var mu sync.Mutex
	served, unanswered := 0, make(map[string]bool)
	end := time.Now().Add(crowdHold)
	for i := range ordinaryConsumers {
		consumers.Go(func() {
			for n := 0; time.Now().Before(end) && !e.hasEnded(); n++ {
				id := fmt.Sprintf("ordinary-%d-%d", i, n)
				status := get(ctx, e.callers, "/puxa403/2f", id, 4*time.Second)
				mu.Lock()
				switch status {
				case http.StatusOK:
					served++
				case 0:
					unanswered[id] = true
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for ; time.Now().Before(end) && !e.hasEnded(); time.Sleep(100 * time.Millisecond) {
		w.note("of the crowd %d wait, %d requests were sent; %.0f MB anonymous, %.0f MB resident, %s",
			waiting.Load(), sent.Load(), e.memoryOf("RssAnon"), e.memoryOf("VmRSS"), heldBytes(e))
	}
	consumers.Wait()
	stop()
	memory := <-watched
	lost := 0
	for _, run := range server.Runs() {
		if unanswered[run.ID] {
			w.note("%s has run and has no answer", run.ID)
			lost++
		}
	}
	w.say("at most %.0f MB of anonymous memory, the machine has %d MB; killed: %t; %d ordinary requests were served, %d ran without an answer",
		memory.most, memoryMB, memory.killed, served, lost)
	return memory.killed || e.hasEnded(), nil
}

// memoryWatch is the result of watchMemory.
type memoryWatch struct {
	most   float64
	killed bool
}

// watchMemory samples the anonymous memory of the process until ctx or the process ends. It kills the process if
// that exceeds the memory of the machine.
func (w *world) watchMemory(ctx context.Context, e *entry) memoryWatch {
	watch := memoryWatch{}
	for ; ctx.Err() == nil && !e.hasEnded(); time.Sleep(sampleInterval) {
		watch.most = max(watch.most, e.memoryOf("RssAnon"))
		if watch.most > memoryMB {
			w.note("%s: %.0f MB, the platform kills it", e.name, watch.most)
			watch.killed = true
			w.signal(e, syscall.SIGKILL)
			<-e.ended
		}
	}
	return watch
}

// startService starts one process before one server of a plain service.
func startService(w *world) (*entry, *mcstandin.PlatformServer, error) {
	server := &mcstandin.PlatformServer{ID: "i-1", CallTime: 60 * time.Millisecond}
	address, err := w.listen(server)
	if err != nil {
		return nil, nil, err
	}
	w.putServer("i-1", "gopu72b", address, 6)
	routes := []map[string]any{{
		"name": "r-1", "host": host, "path-prefix": "/puxa403/", "type": "idempotent", "timeout-ms": 15000, "goal-ms": 300,
		"priority": 2, "service": "gopu72b", "max-attempts": 2,
	}}
	if err := w.putConfig(7, routes, []map[string]any{{"name": "gopu72b", "health-path": "/health", "max-conns": 96}}); err != nil {
		return nil, nil, err
	}
	e, err := w.newEntry("edge-1")
	if err == nil {
		err = w.start(e)
	}
	if err == nil {
		err = w.awaitReady(e)
	}
	return e, server, err
}

// stall sends requests without their last byte, each on a channel of its own that stays open until the process
// closes it.
func stall(ctx context.Context, e *entry, request func(n int) string, waiting, sent *atomic.Int64) {
	dialer := net.Dialer{Timeout: 2 * time.Second}
	for n := 0; ctx.Err() == nil && !e.hasEnded(); n++ {
		conn, err := dialer.DialContext(ctx, "tcp", e.callers)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		undo := context.AfterFunc(ctx, func() { _ = conn.Close() })
		if _, err := io.WriteString(conn, request(n)); err == nil {
			sent.Add(1)
			waiting.Add(1)
			_, _ = io.Copy(io.Discard, conn)
			waiting.Add(-1)
		}
		undo()
		_ = conn.Close()
	}
}

// heldBytes returns the line of the process's metrics that tells what its budget has charged to callers.
func heldBytes(e *entry) string {
	response, err := http.Get("http://" + e.admin + "/metrics")
	if err != nil {
		return "no metrics"
	}
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "marigoldcroft_client_held_bytes ") {
			return lines.Text()
		}
	}
	return "no metric"
}
