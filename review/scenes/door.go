package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marigoldcroft/mcstandin"
)

const (
	// stable is stable-ms of the site: a machine is in touch once its process has run for so long, and the
	// rule allows it to take no new channel for so long.
	stable = 4 * time.Second
	// doorCrowd is the size of the crowd, doorConsumers the number of ordinary consumers.
	doorCrowd     = 1700
	crowdSpacing  = time.Millisecond
	doorConsumers = 8
	// doorHold is how long the ordinary consumers try.
	doorHold = 10 * time.Second
	// busyTimeout is the time limit of the crowd's requests and of their route, that of the longest route of the
	// site.
	busyTimeout = 15 * time.Second
	// abandon is how long a consumer waits until its request has been read.
	abandon = time.Second
	// consumerPause is the pause of a consumer between two requests.
	consumerPause = 200 * time.Millisecond
)

// door is what has been seen of new channels.
type door struct {
	mu            sync.Mutex
	asked, served int
	// lastTaken is when a request on a new channel was last answered, of a consumer or of the crowd, and
	// longestWithout the longest time without that since the begin.
	lastTaken      time.Time
	longestWithout time.Duration
}

// begin begins the time in which new channels must be taken.
func (d *door) begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastTaken = now
	d.longestWithout = 0
}

// taken records that the first request on a new channel was answered.
func (d *door) taken(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.longestWithout = max(d.longestWithout, now.Sub(d.lastTaken))
	d.lastTaken = now
}

// asks records the result of a request of an ordinary consumer.
func (d *door) asks(now time.Time, served bool) {
	if served {
		d.taken(now)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked++
	if served {
		d.served++
	}
}

// playDoor lets a crowd send bodies of legal size, many at once, each in one piece and on a channel of its own,
// to a service that cannot serve all of them at once. Ordinary consumers send requests to another service, which
// is idle, on new channels.
func playDoor(w *world, trouble bool) (bool, error) {
	e, idle, err := startServices(w)
	if err != nil {
		return false, err
	}
	time.Sleep(stable)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var crowd, consumers sync.WaitGroup
	defer crowd.Wait()
	defer cancel()
	var open, answered, refused atomic.Int64
	d := &door{}
	if trouble {
		w.note("%d callers send POST /puxa403/2f with a body of 10 bytes, again and again", doorCrowd)
		for i := range doorCrowd {
			crowd.Go(func() { sendBodies(ctx, e.callers, i, d, &open, &answered, &refused) })
			time.Sleep(crowdSpacing)
		}
		time.Sleep(time.Second)
	}
	d.begin(time.Now())
	end := time.Now().Add(doorHold)
	for i := range doorConsumers {
		consumers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("ordinary-%d-%d", i, n)
				status := get(ctx, e.callers, "/cufi504/2f", id, abandon)
				d.asks(time.Now(), status == http.StatusOK)
				w.note("%s: %d", id, status)
				time.Sleep(consumerPause)
			}
		})
	}
	notReady := 0
	for ; time.Now().Before(end); time.Sleep(time.Second) {
		status := 0
		if response, err := http.Get("http://" + e.ready + "/ready"); err == nil {
			status = response.StatusCode
			response.Body.Close()
		}
		if status != http.StatusOK {
			notReady++
		}
		w.note("ready: %d. The crowd has %d channels that were taken, %d answers 200, %d others", status, open.Load(), answered.Load(), refused.Load())
	}
	d.taken(end)
	longest := d.longestWithout
	consumers.Wait()
	w.say("%d of %d requests of %d consumers on new channels were answered, %d ran; the longest time in which no new channel was answered was %.1f s, the bound is %.0f s; the machine was not ready in %d of the checks",
		d.served, d.asked, doorConsumers, len(idle.Runs()), longest.Seconds(), stable.Seconds(), notReady)
	return longest > stable && notReady == 0, nil
}

// startServices starts one process before two plain services of one server each. It returns the server of the
// second one.
func startServices(w *world) (*entry, *mcstandin.PlatformServer, error) {
	busy, idle := &mcstandin.PlatformServer{ID: "i-1", CallTime: 60 * time.Millisecond}, &mcstandin.PlatformServer{ID: "i-2", CallTime: 60 * time.Millisecond}
	var routes, services []map[string]any
	for _, route := range []struct {
		server          *mcstandin.PlatformServer
		service, prefix string
		timeout         time.Duration
	}{{busy, "gopu72b", "/puxa403/", busyTimeout}, {idle, "wuno96b", "/cufi504/", 4 * time.Second}} {
		address, err := w.listen(route.server)
		if err != nil {
			return nil, nil, err
		}
		w.putServer(route.server.ID, route.service, address, 6)
		services = append(services, map[string]any{"name": route.service, "health-path": "/health", "max-conns": 96})
		routes = append(routes, map[string]any{
			"name": "r-" + route.service, "host": host, "path-prefix": route.prefix, "type": "idempotent", "timeout-ms": route.timeout.Milliseconds(), "goal-ms": 300,
			"priority": 2, "service": route.service, "max-attempts": 2,
		})
	}
	if err := w.putConfig(7, routes, services); err != nil {
		return nil, nil, err
	}
	e, err := w.newEntry("edge-1")
	if err == nil {
		err = w.start(e)
	}
	if err == nil {
		err = w.awaitReady(e)
	}
	return e, idle, err
}

// sendBodies sends complete requests with a body, one after the other, and reads each answer. The first request on
// a channel is one to a path without a route, whose answer shows that the channel has been taken.
func sendBodies(ctx context.Context, address string, caller int, d *door, open, answered, refused *atomic.Int64) {
	const body = "0123456789"
	dialer := net.Dialer{Timeout: 5 * time.Second}
	for n := 0; ctx.Err() == nil; {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		undo := context.AfterFunc(ctx, func() { _ = conn.Close() })
		reader := bufio.NewReader(conn)
		path, taken := "/none/2f", false
		for ; ctx.Err() == nil; n++ {
			if _, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: c-%d-%d\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
				path, host, caller, n, apiKey, busyTimeout.Milliseconds(), len(body), body); err != nil {
				break
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, response.Body)
			switch {
			case !taken:
				taken, path = true, "/puxa403/2f"
				open.Add(1)
				d.taken(time.Now())
			case response.StatusCode == http.StatusOK:
				answered.Add(1)
			default:
				refused.Add(1)
			}
			if err != nil || response.Close {
				break
			}
		}
		undo()
		_ = conn.Close()
		if taken {
			open.Add(-1)
		}
	}
}
