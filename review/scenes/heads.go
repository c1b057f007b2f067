package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marigoldcroft/mcstandin"
)

const (
	// crowdCallers is the size of the crowd. headBytes is just under the max-header-bytes of the site.
	crowdCallers = 1500
	headBytes    = 16_000
	// crowdHold is how long ordinary requests are sent beside the crowd.
	crowdHold = 8 * time.Second
	// sampleInterval is the time between two readings of the memory of the process.
	sampleInterval = 5 * time.Millisecond
)

// playHeads lets a crowd of callers send heads of legal size whose Prefix-Hash has very many short entries,
// and bodies that stop just short of their end. The memory of the process is watched.
func playHeads(w *world, trouble bool) (bool, error) {
	e, err := startService(w)
	if err != nil {
		return false, err
	}
	w.say("before: %.0f MB of anonymous memory, %.0f MB resident", e.memoryOf("RssAnon"), e.memoryOf("VmRSS"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var crowd sync.WaitGroup
	defer crowd.Wait()
	defer cancel()

	peak := watchMemory(ctx, e)
	var waiting, refused atomic.Int64
	if trouble {
		entries := strings.Repeat("a,", headBytes/2) + "b:1"
		w.note("%d callers send POST /puxa403/2f with a Prefix-Hash of %d bytes and 9 of 10 bytes of the body", crowdCallers, len(entries))
		for i := range crowdCallers {
			crowd.Go(func() { stall(ctx, e.callers, i, entries, &waiting, &refused) })
			time.Sleep(time.Millisecond)
		}
	}
	served, asked := 0, 0
	for limit := time.Now().Add(crowdHold); time.Now().Before(limit) && !e.hasEnded(); time.Sleep(200 * time.Millisecond) {
		asked++
		status := get(ctx, e.callers, "/puxa403/2f", fmt.Sprintf("ordinary-%d", asked), 4*time.Second)
		if status == http.StatusOK {
			served++
		}
		w.note("ordinary request: %d. Of the crowd %d wait, %d were refused. %.0f MB anonymous, %.0f MB resident, %s",
			status, waiting.Load(), refused.Load(), e.memoryOf("RssAnon"), e.memoryOf("VmRSS"), heldBytes(e))
	}
	cancel()
	most := <-peak
	w.say("at most %.0f MB of anonymous memory, the machine has %d MB; %d of %d ordinary requests were served; the process has ended: %t",
		most, memoryMB, served, asked, e.hasEnded())
	return most > memoryMB || e.hasEnded(), nil
}

// watchMemory samples the anonymous memory of the process until ctx or the process ends, and then sends the most
// that it has seen.
func watchMemory(ctx context.Context, e *entry) <-chan float64 {
	peak := make(chan float64, 1)
	go func() {
		most := 0.0
		for ; ctx.Err() == nil && !e.hasEnded(); time.Sleep(sampleInterval) {
			most = max(most, e.memoryOf("RssAnon"))
		}
		peak <- most
	}()
	return peak
}

// startService starts one process before one server of a plain service.
func startService(w *world) (*entry, error) {
	address, err := w.listen(&mcstandin.PlatformServer{ID: "i-1", CallTime: 60 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	w.putServer("i-1", "gopu72b", address, 6)
	routes := []map[string]any{{
		"name": "r-1", "host": host, "path-prefix": "/puxa403/", "type": "idempotent", "timeout-ms": 15000, "goal-ms": 300,
		"priority": 2, "service": "gopu72b", "max-attempts": 2,
	}}
	if err := w.putConfig(7, routes, []map[string]any{{"name": "gopu72b", "health-path": "/health", "max-conns": 96}}); err != nil {
		return nil, err
	}
	e, err := w.newEntry("edge-1")
	if err == nil {
		err = w.start(e)
	}
	if err == nil {
		err = w.awaitReady(e)
	}
	return e, err
}

// stall sends a request without the last byte of its body and stays connected.
func stall(ctx context.Context, address string, n int, entries string, waiting, refused *atomic.Int64) {
	dialer := net.Dialer{Timeout: 2 * time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		refused.Add(1)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	const body = "0123456789"
	head := fmt.Sprintf("POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: c-%d\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 15000\r\nPrefix-Hash: %s\r\nContent-Length: %d\r\n\r\n",
		host, n, apiKey, entries, len(body))
	if _, err := io.WriteString(conn, head+body[:len(body)-1]); err != nil {
		refused.Add(1)
		return
	}
	waiting.Add(1)
	_, _ = io.Copy(io.Discard, conn)
	waiting.Add(-1)
	if ctx.Err() == nil {
		refused.Add(1)
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
