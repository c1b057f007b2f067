package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"marigoldcroft/review/harness"
)

const (
	// serversPerService is such that one crashed server is 0.17 of them, the share of srv_crash.
	serversPerService = 6
	// crashTime is for_s of srv_crash.
	crashTime = 4500 * time.Millisecond

	streamEvents  = 38
	eventInterval = 100 * time.Millisecond
	bodyPieces    = 10
	pieceInterval = 60 * time.Millisecond
	piece         = "0123456789012345678901234567890123456789012345678901234567890123456789012345678\n"
)

// serverProcess is a server of the platform that runs as a process of its own.
type serverProcess struct {
	id, service, address string
	born                 int64
	command              *exec.Cmd
}

// start starts the process, which listens at the address.
func (s *serverProcess) start(c *harness.Cluster) error {
	s.command = exec.Command(os.Args[0], "server", s.id, s.address)
	output, err := s.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.command.Start(); err != nil {
		return err
	}
	c.OnClose(s.kill)
	s.born = time.Now().UnixMilli()
	listening := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(output)
		for first := true; lines.Scan(); first = false {
			if first {
				close(listening)
			}
			c.Record.Printf("server: %s %s", s.id, lines.Text())
		}
	}()
	select {
	case <-listening:
	case <-time.After(5 * time.Second):
		return fmt.Errorf("server %s does not listen", s.id)
	}
	c.PutEntry(s.id, s.service, s.address, "ready", 16, s.born)
	return nil
}

// kill ends the process as a crash does.
func (s *serverProcess) kill() {
	_ = s.command.Process.Kill()
	_ = s.command.Wait()
}

// runServer runs a server process. It answers streams and other requests with neither a length nor
// chunks: the end of the connection is the end of the answer.
func runServer(arguments []string) int {
	if len(arguments) != 2 {
		return exitNotRun
	}
	id, address := arguments[0], arguments[1]
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return notRun(err)
	}
	fmt.Println("listens at", address)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return notRun(err)
		}
		go answerUnframed(conn, id)
	}
}

// answerUnframed serves the one request of a connection.
func answerUnframed(conn net.Conn, id string) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	request := r.Header.Get("Request-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", request, id)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fmt.Printf("runs request %s, %s %s, from event %d\n", request, r.Method, r.RequestURI, from+1)
	stream := strings.HasPrefix(r.URL.Path, "/caption/")
	media := "text/plain"
	if stream {
		media = "text/event-stream"
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", request, id, media)
	if stream {
		for n := from + 1; n <= streamEvents; n++ {
			time.Sleep(eventInterval)
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: token %d\n\n", n, n); err != nil {
				return
			}
		}
	} else {
		for range bodyPieces {
			time.Sleep(pieceInterval)
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
		}
	}
	fmt.Printf("ended request %s\n", request)
}

// captionRoute is the route caption of the site copo-lima.
func captionRoute() harness.Route {
	return harness.Route{
		Name: "caption", Host: harness.Host, PathPrefix: "/caption/", Type: "streaming", Service: "pool", TimeoutMs: 10000, GoalMs: 300,
		Priority: 1, MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 250,
	}
}

// startProcesses starts the servers of a service.
func startProcesses(c *harness.Cluster, service string) ([]*serverProcess, error) {
	var servers []*serverProcess
	for i := range serversPerService {
		address, err := harness.FreeAddress()
		if err != nil {
			return servers, err
		}
		s := &serverProcess{id: fmt.Sprintf("i-%s-%d", service, i), service: service, address: address}
		if err := s.start(c); err != nil {
			return servers, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// playTruncated crashes one server of each service while they send answers without a length.
func playTruncated(c *harness.Cluster, trouble bool) (bool, error) {
	var all []*serverProcess
	for _, service := range []string{"pool", "api"} {
		servers, err := startProcesses(c, service)
		all = append(all, servers...)
		if err != nil {
			return false, err
		}
	}
	pool := harness.Service{Name: "pool", HealthPath: "/health", MaxConns: 354, Engine: harness.EngineFigures}
	c.PutConfig(harness.NewConfig(7, []harness.Route{captionRoute(), lookupRoute(false), grantRoute()},
		[]harness.Tenant{{Name: "hule930", APIKeys: []string{otherKey}}}, pool, apiService()))
	if err := c.StartEntries(3); err != nil {
		return false, err
	}
	time.Sleep(harness.StableTime)
	var wait sync.WaitGroup
	var mu sync.Mutex
	broken := 0
	send := func(e *harness.Entry, method, path, whole string) {
		answer, id := sendCaption(c, e, method, path)
		if answer.Status == 200 && answer.Body != whole {
			mu.Lock()
			defer mu.Unlock()
			broken++
			c.Record.Printf("caller: request %s %s got a complete success with %d of %d bytes, receipt %q",
				id, path, len(answer.Body), len(whole), answer.Header.Get("Response-Seal"))
		}
	}
	start := time.Now()
	for time.Since(start) < 6*time.Second {
		for _, e := range c.Entries {
			wait.Go(func() { send(e, "POST", "/caption/1", wholeStream()) })
			wait.Go(func() { send(e, "GET", "/lookup/1", strings.Repeat(piece, bodyPieces)) })
			wait.Go(func() { send(e, "POST", "/grant/1", strings.Repeat(piece, bodyPieces)) })
		}
		time.Sleep(250 * time.Millisecond)
	}
	for _, s := range []*serverProcess{all[0], all[serversPerService]} {
		if !trouble {
			break
		}
		// The crash of a server of a service lasts crashTime; its successor has a new id.
		s.kill()
		c.Record.Printf("server: %s crashed (SIGKILL)", s.id)
		wait.Go(func() {
			time.Sleep(3 * heartbeat)
			c.Store.RemoveEntry(s.id)
			time.Sleep(crashTime - 3*heartbeat)
			s.id += "-next"
			if err := s.start(c); err != nil {
				c.Record.Printf("server: %s did not start: %v", s.id, err)
			}
		})
	}
	wait.Wait()
	for _, e := range c.Entries {
		for line := range bytes.Lines(e.Log()) {
			if bytes.Contains(line, []byte("suspectChanged")) && bytes.Contains(line, []byte("crashes=1")) {
				c.Record.Printf("log of %s: %s", e.Name, bytes.TrimSpace(line))
			}
		}
	}
	c.Record.Printf("callers: %d complete successes with a part of the server's body", broken)
	return broken == 0, nil
}

func wholeStream() string {
	var b bytes.Buffer
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// sendCaption sends one request as a caller of the site does and records it.
func sendCaption(c *harness.Cluster, e *harness.Entry, method, path string) (harness.Answer, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	id := harness.NextID()
	header := map[string]string{"Host": harness.Host, "Request-Id": id, "Authorization": "Bearer " + otherKey, "Deadline-Ms": "4000"}
	if strings.HasPrefix(path, "/caption/") {
		header["Deadline-Ms"], header["Model"], header["Token-Counts"] = "10000", "m", "5000,1300"
		header["Prefix-Hash"] = "5c1e07a2:40," + fmt.Sprintf("%x", time.Now().UnixNano()) + ":4960"
	}
	answer := harness.Send(ctx, e.Caller, method, path, "", header)
	c.Record.Printf("caller: request %s, %s %s to %s: status %d, %d bytes, error %v", id, method, path, e.Name, answer.Status, len(answer.Body), answer.Err)
	return answer, id
}
