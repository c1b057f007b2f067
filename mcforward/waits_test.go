package mcforward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcadmin"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcengine"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcload"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcpeer"
	"marigoldcroft/mcplatform"
	"marigoldcroft/mcservice"
	"marigoldcroft/mcsocket"
	"marigoldcroft/mcstore"
	"marigoldcroft/platform"
)

const (
	// waitLimit is the time limit that the calls of the table are given where they take one.
	waitLimit = 500 * time.Millisecond
	// waitSlack is the time after its limit by which a wait must have ended on a busy machine.
	waitSlack = 3 * time.Second
	// mostSent limits what a sender without end gets rid of, socket buffers included.
	mostSent = 64 << 20
)

// sender answers each connection with start and then rest, again and again with a pause, until the
// other side closes it.
type sender struct {
	name  string
	start func(r *http.Request) string
	rest  string
	pause time.Duration
	// whole is true if start is a complete answer, after which the connection may stay open.
	whole bool
}

// senders are the ways in which the other side of a wait goes on without end.
var senders = []sender{
	{name: "nothing"},
	{name: "no answer, without end", rest: strings.Repeat("these bytes are no answer ", 100)},
	{name: "a byte at times in the head", start: func(*http.Request) string { return "HTTP/1.1 200 OK\r\nX-A: " }, rest: "x", pause: 100 * time.Millisecond},
	{name: "a head without end", start: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }, rest: strings.Repeat("X-A: b\r\n", 500)},
	{name: "interim answers at times", rest: "HTTP/1.1 103 Early Hints\r\n\r\n", pause: 100 * time.Millisecond},
	{name: "interim answers without end", rest: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)},
	{name: "a byte at times in the body", start: func(r *http.Request) string { return endlessHead(r, "Content-Length: 1073741824\r\n") }, rest: " ", pause: 100 * time.Millisecond},
	{name: "a body without end", start: func(r *http.Request) string { return endlessHead(r, "") }, rest: strings.Repeat(" ", 4096)},
	{name: "a stream that stalls", start: func(r *http.Request) string { return endlessHead(r, "Content-Type: text/event-stream\r\n") }, rest: ":\n", pause: 100 * time.Millisecond},
	{name: "status 101, a byte at times", start: switchingHead, rest: "x", pause: 100 * time.Millisecond},
	{name: "status 101, without end", start: switchingHead, rest: strings.Repeat("x", 4096)},
	{name: "status 101, nothing more", start: switchingHead},
	{name: "redirect", whole: true, start: func(r *http.Request) string {
		return strings.Replace(endlessHead(r, "Location: /elsewhere\r\nContent-Length: 0\r\n"), "200 OK", "307 Temporary Redirect", 1)
	}},
}

// endlessPeer is a listener whose connections a sender serves.
type endlessPeer struct {
	sender
	listener net.Listener

	mu             sync.Mutex
	accepted, open int
	sent           int64
	paths          []string
}

// lastPeer counts the peers.
var lastPeer atomic.Int64

func newEndlessPeer(t *testing.T, s sender) *endlessPeer {
	t.Helper()
	// Each peer has an address of its own: a health tracker of an earlier case goes on connecting to
	// its endpoint, whose port could be that of this peer.
	n := lastPeer.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n/250, 1+n%250))
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &endlessPeer{sender: s, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.count(1, 0, "")
			go p.serve(conn)
		}
	}()
	return p
}

// String describes the connections for a failed test.
func (p *endlessPeer) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%d of %d connections are still open, requests for %v were read", p.open, p.accepted, p.paths)
}

func (p *endlessPeer) address() string { return p.listener.Addr().String() }

// count adds to the open connections and the sent bytes, and records the path of a request.
func (p *endlessPeer) count(open int, sent int64, path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted += max(0, open)
	p.open += open
	p.sent += sent
	if path != "" {
		p.paths = append(p.paths, path)
	}
}

func (p *endlessPeer) serve(conn net.Conn) {
	defer p.count(-1, 0, "")
	defer conn.Close()
	closed := make(chan struct{})
	requests := make(chan *http.Request, 1)
	go func() {
		defer close(closed)
		reader := bufio.NewReader(conn)
		if r, err := http.ReadRequest(reader); err == nil {
			p.count(0, 0, r.URL.Path)
			requests <- r
		}
		_, _ = io.Copy(io.Discard, reader)
	}()
	if p.start != nil {
		select {
		case r := <-requests:
			if _, err := io.WriteString(conn, p.start(r)); err != nil {
				return
			}
		case <-closed:
			return
		}
	}
	for p.rest != "" {
		n, err := io.WriteString(conn, p.rest)
		p.count(0, int64(n), "")
		if err != nil {
			return
		}
		select {
		case <-closed:
			return
		case <-time.After(p.pause):
		}
	}
	<-closed
}

// outgoing are the places that wait for an answer. call makes one call with a context that ends after
// limit, if that is not 0, and otherwise relies on the limit of the place, which is at most ownLimit.
var outgoing = []struct {
	name     string
	limit    time.Duration
	ownLimit time.Duration
	call     func(ctx context.Context, t *testing.T, address string)
}{
	{name: "endpoint: call", ownLimit: waitLimit, call: callEndpoint("/once/x", http.MethodPost)},
	{name: "endpoint: repeatable call", ownLimit: waitLimit, call: callEndpoint("/again/x", http.MethodGet)},
	{name: "endpoint: HEAD", ownLimit: waitLimit, call: callEndpoint("/once/x", http.MethodHead)},
	{name: "endpoint: CONNECT", ownLimit: waitLimit, call: callEndpoint("/once/x", http.MethodConnect)},
	{name: "endpoint: stream", ownLimit: waitLimit, call: callEndpoint("/solo/stream/x", http.MethodPost)},
	{name: "endpoint: resumable stream", ownLimit: waitLimit, call: callEndpoint("/stream/x", http.MethodPost)},
	// Three checks of a second each, with a pause of a second after each.
	{name: "endpoint: health check", ownLimit: 6 * time.Second, call: checkReturned},
	{name: "endpoint: reservation of memory", limit: waitLimit, call: func(ctx context.Context, _ *testing.T, address string) {
		_ = platform.NewReservationClient().Reserve(ctx, address, "r", 1, time.Second)
	}},
	{name: "store: list", ownLimit: time.Second, call: func(ctx context.Context, t *testing.T, address string) {
		_, _, err := platform.Endpoints(platform.NewStore(address)).List(ctx)
		require.Error(t, err)
	}},
	{name: "store: watch", ownLimit: 1200 * time.Millisecond, call: func(ctx context.Context, t *testing.T, address string) {
		_, _, err := platform.Routing(platform.NewStore(address)).Changes(ctx, 1, 200*time.Millisecond)
		require.Error(t, err)
	}},
	{name: "store: write", ownLimit: 2 * time.Second, call: func(ctx context.Context, t *testing.T, address string) {
		require.Error(t, platform.NewStore(address).Announce(ctx, marigoldcroft.ListedInstance{Name: "i"}))
	}},
	{name: "peer: call", limit: waitLimit, call: func(ctx context.Context, t *testing.T, address string) {
		pool := &mcpeer.Pool{Identity: marigoldcroft.NewIdentity("d", "r", "z", "i", time.Now(), 1), PeerAddress: "127.0.0.1:1"}
		defer pool.Close()
		conn, err := pool.Conn(address)
		require.NoError(t, err)
		_, err = mcmessage.NewConfigServiceClient(conn).FetchHead(ctx, &mcmessage.FetchHeadRequest{Deployment: "d"})
		require.Error(t, err)
	}},
	{name: "object store: get", ownLimit: 2 * waitLimit, call: func(ctx context.Context, t *testing.T, address string) {
		// A read is tried again once.
		_, err := objectStore(address).Get(ctx, "k")
		require.Error(t, err)
	}},
	{name: "object store: put", limit: waitLimit, call: func(ctx context.Context, t *testing.T, address string) {
		_, err := objectStore(address).Put(ctx, "k", []byte("v"), "", "w")
		require.Error(t, err)
	}},
	{name: "object store: watch", limit: waitLimit, call: func(ctx context.Context, t *testing.T, address string) {
		_, err := objectStore(address).Watch(ctx, "k", "1", 100*time.Millisecond)
		require.Error(t, err)
	}},
	{name: "engine: stream", limit: waitLimit, call: func(ctx context.Context, _ *testing.T, address string) {
		stream, err := engineClient().Generate(ctx, engine(address), marigoldcroft.GenerateRequest{Model: "m"})
		if err != nil {
			return
		}
		for err == nil {
			_, err = stream.Next()
		}
		_ = stream.Close()
	}},
	{name: "engine: load report", ownLimit: 2 * time.Second, call: func(ctx context.Context, t *testing.T, address string) {
		_, err := engineClient().Load(ctx, engine(address))
		require.Error(t, err)
	}},
	{name: "service: call", ownLimit: waitLimit, call: func(ctx context.Context, _ *testing.T, address string) {
		client := mcservice.NewClient(mcservice.Config{CallTimeout: waitLimit})
		defer client.CloseIdle()
		_, _ = client.Call(ctx, engine(address), marigoldcroft.ServiceCall{RequestID: "r", Method: http.MethodPost, Path: "/x"})
	}},
	{name: "instance list", ownLimit: 2 * time.Second, call: func(ctx context.Context, t *testing.T, address string) {
		list := &mcplatform.InstanceList{BaseURL: "http://" + address, HTTP: engineClient().HTTP}
		_, err := list.Instances(ctx)
		require.Error(t, err)
	}},
	{name: "operators: command", limit: waitLimit, call: func(ctx context.Context, t *testing.T, address string) {
		require.Error(t, mcadmin.NewClient(address, nil).Command(ctx, "instances/i/drain"))
	}},
	{name: "operators: query", limit: waitLimit, call: func(ctx context.Context, t *testing.T, address string) {
		_, err := mcadmin.NewClient(address, nil).Get(ctx, mcconfig.ObjectName{Kind: "team", Name: "t"})
		require.Error(t, err)
	}},
	{name: "load generator: readiness", ownLimit: time.Second, call: func(ctx context.Context, _ *testing.T, address string) {
		mcload.IsReady(ctx, "http://"+address+"/readyz")
	}},
}

func engineClient() *mcengine.Client {
	return &mcengine.Client{HTTP: mcsocket.NewClient(mcengine.NewTransport())}
}

func engine(address string) marigoldcroft.Endpoint {
	return marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "e", Address: "http://" + address})
}

func objectStore(address string) *mcstore.Client {
	return mcstore.NewClient(mcstore.ClientConfig{Store: &mcstore.HTTP{BaseURL: "http://" + address}, CallTimeout: waitLimit})
}

// callEndpoint sends a request through a forwarder whose only endpoint is at the address.
func callEndpoint(path, method string) func(ctx context.Context, t *testing.T, address string) {
	return func(ctx context.Context, t *testing.T, address string) {
		b := newTestBed(t, 0)
		b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Snapshot: true, Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{{
			Name: "i-x", Value: &marigoldcroft.EndpointRecord{Name: "i-x", Service: "s", Address: address, Slots: 4, Incarnation: 1},
		}}})
		conn, err := net.Dial("tcp", b.frontServer.Listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: r\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
			method, path, waitLimit.Milliseconds(), testKey)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		require.NoError(t, ctx.Err(), "no answer")
		require.True(t, err != nil || response.StatusCode >= 300 || method == http.MethodHead, "a success: %v", response)
		require.Eventually(t, func() bool { return b.forwarder.InFlight() == 0 }, waitSlack, time.Millisecond)
	}
}

// checkReturned lets an endpoint's record return, so that its health is checked, and waits for the end
// of the checks.
func checkReturned(ctx context.Context, t *testing.T, address string) {
	b := newTestBed(t, 0)
	record := marigoldcroft.Record[marigoldcroft.EndpointRecord]{
		Name: "i-x", Value: &marigoldcroft.EndpointRecord{Name: "i-x", Service: "s", Address: address, Slots: 4, Incarnation: 1},
	}
	for _, r := range []marigoldcroft.Record[marigoldcroft.EndpointRecord]{record, {Name: "i-x", Deleted: true}, record} {
		b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{r}})
	}
	require.Eventually(t, func() bool { return b.forwarder.Confirming() > 0 }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return b.forwarder.Confirming() == 0 || ctx.Err() != nil }, time.Minute, time.Millisecond)
}

// Guards against a wait for an answer without a limit in time or in bytes, wherever an instance or a
// tool waits for an endpoint, the store, a peer or an instance: the other side may send nothing, a byte
// now and then, bytes without end, an answer that switches protocols, or a redirect to an address that
// nobody has listed.
func TestEveryWaitForAnAnswerEnds(t *testing.T) {
	for _, place := range outgoing {
		for _, s := range senders {
			t.Run(place.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				p := newEndlessPeer(t, s)
				limit := place.ownLimit
				ctx, cancel := context.WithTimeout(t.Context(), limit+place.limit+waitSlack)
				if place.limit > 0 {
					cancel()
					limit = place.limit
					ctx, cancel = context.WithTimeout(t.Context(), limit)
				}
				defer cancel()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					place.call(ctx, t, p.address())
				}()
				select {
				case <-ended:
				case <-time.After(limit + waitSlack):
					t.Fatal("the wait has not ended")
				}
				p.mu.Lock()
				require.Positive(t, p.accepted)
				require.NotContains(t, p.paths, "/elsewhere", "the redirect was followed")
				require.Less(t, p.sent, int64(mostSent))
				p.mu.Unlock()
				require.Eventually(t, func() bool {
					p.mu.Lock()
					defer p.mu.Unlock()
					return s.whole || p.open == 0
				}, waitSlack, 5*time.Millisecond, "%s", p)
			})
		}
	}
}
