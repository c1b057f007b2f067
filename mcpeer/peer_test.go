package mcpeer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcpeer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// countingMember is a member that counts the exchange calls it receives.
type countingMember struct {
	*mcmember.Member
	calls atomic.Int64
}

func (c *countingMember) Exchange(ctx context.Context, r *mcmessage.ExchangeRequest) (*mcmessage.ExchangeResponse, error) {
	c.calls.Add(1)
	return c.Member.Exchange(ctx, r)
}

// node is one instance with a server on a loopback port and a connection pool.
type node struct {
	address string
	member  *countingMember
	pool    *mcpeer.Pool
	faults  *mcpeer.PartitionInjector
	// serverBytes counts the bytes sent and received by the server.
	serverBytes *mcpeer.ByteCounter
}

func identity(deployment, centre, name string) marigoldcroft.Identity {
	return marigoldcroft.NewIdentity(deployment, "south", centre, name, time.Now(), 1)
}

// startNode runs a node until the test ends. The node does not start exchanges by itself.
func startNode(t testing.TB, id marigoldcroft.Identity, credentials *mcpeer.Credentials, tracer *trace.TracerProvider) *node {
	t.Helper()
	n := &node{member: &countingMember{Member: &mcmember.Member{}}, faults: &mcpeer.PartitionInjector{}}
	server := &mcpeer.Server{Address: "127.0.0.1:0", Identity: id, Member: n.member, Credentials: credentials, Faults: n.faults}
	n.pool = &mcpeer.Pool{Identity: id, Credentials: credentials, Faults: n.faults}
	if tracer != nil {
		server.TracerProvider, n.pool.TracerProvider = tracer, tracer
	}
	address, err := server.Listen()
	require.NoError(t, err)
	n.address, n.pool.PeerAddress, n.serverBytes = address, address, server.ByteCounter()
	n.member.Self = mcmember.Self{Identity: id, PeerAddress: address}
	n.member.Transport = n.pool
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		n.pool.Close()
		cancel()
		require.NoError(t, <-done)
	})
	return n
}

// newExchangeRequest returns an exchange request as sent by a new member with the identity.
func newExchangeRequest(id marigoldcroft.Identity) *mcmessage.ExchangeRequest {
	table := mcmember.NewTable(mcmember.Self{Identity: id, PeerAddress: "127.0.0.1:1"}, time.Now(), 1)
	return table.Request(time.Now(), false).Request
}

func (n *node) contact() mcmember.Contact {
	return mcmember.Contact{Instance: n.member.Self.Identity.Instance(), Address: n.address}
}

// Guards against calls that are accepted from other deployments or from the wrong data
// centre, and against a PartitionInjector that lets blocked calls through.
func TestExchangeOverLoopback(t *testing.T) {
	ownCentre := identity("copo", "lima", "a")
	cases := map[string]struct {
		caller marigoldcroft.Identity
		// block sets the faults of the caller and the receiver.
		block func(caller, receiver *node)
		relay bool
		want  codes.Code
		// wantCalls is the expected number of exchange calls that reach the service.
		wantCalls int64
	}{
		"same data centre":             {caller: ownCentre, want: codes.OK, wantCalls: 1},
		"other data centre":            {caller: identity("copo", "cusco", "a"), want: codes.PermissionDenied},
		"other deployment":             {caller: identity("brunnholzer", "lima", "a"), want: codes.PermissionDenied},
		"relay from other data centre": {caller: identity("copo", "cusco", "a"), relay: true, want: codes.OK},
		"relay within a data centre":   {caller: ownCentre, relay: true, want: codes.PermissionDenied},
		"blocked at the caller": {
			caller: ownCentre, want: codes.DeadlineExceeded,
			block: func(caller, receiver *node) { caller.faults.SetBlocked([]string{receiver.address}, nil) },
		},
		"blocked at the receiver": {
			caller: ownCentre, want: codes.DeadlineExceeded,
			block: func(caller, receiver *node) { receiver.faults.SetBlocked(nil, []string{caller.address}) },
		},
		"blocked in the other direction": {
			caller: ownCentre, want: codes.OK, wantCalls: 1,
			block: func(caller, receiver *node) {
				caller.faults.SetBlocked(nil, []string{receiver.address})
				receiver.faults.SetBlocked([]string{caller.address}, nil)
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			receiver := startNode(t, identity("copo", "lima", "b"), nil, nil)
			caller := startNode(t, c.caller, nil, nil)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.block != nil {
				c.block(caller, receiver)
				ctx, cancel = context.WithTimeout(ctx, 50*time.Millisecond)
				defer cancel()
				if c.want == codes.OK {
					ctx = t.Context()
				}
			}
			var err error
			if c.relay {
				_, err = caller.pool.Relay(ctx, receiver.contact(), &mcmessage.RelayRequest{Sender: newExchangeRequest(c.caller).Sender})
			} else {
				_, err = caller.pool.Exchange(ctx, receiver.contact(), newExchangeRequest(c.caller))
			}
			require.Equal(t, c.want, status.Code(err), "%v", err)
			require.Equal(t, c.wantCalls, receiver.member.calls.Load())
		})
	}
}

// Guards against missing spans, and against client and server spans in different traces.
func TestExchangeHasSpansOnBothSides(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	tracer := trace.NewTracerProvider(trace.WithSpanProcessor(spans))
	receiver := startNode(t, identity("copo", "lima", "b"), nil, tracer)
	id := identity("copo", "lima", "a")
	caller := startNode(t, id, nil, tracer)
	_, err := caller.pool.Exchange(t.Context(), receiver.contact(), newExchangeRequest(id))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(spans.Ended()) == 2 }, 10*time.Second, time.Millisecond)
	require.Equal(t, spans.Ended()[0].SpanContext().TraceID(), spans.Ended()[1].SpanContext().TraceID())
}

// authority is a certificate authority.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{t: t, key: key, cert: cert}
}

// issue creates a certificate for the address and writes it, its key and the authority to
// files in dir.
func (a *authority) issue(dir string, address string) mcpeer.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(address)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	files := mcpeer.TLSFiles{
		CertificateFile: filepath.Join(dir, "own.pem"), KeyFile: filepath.Join(dir, "own.key"), AuthorityFile: filepath.Join(dir, "authority.pem"),
	}
	for name, block := range map[string]*pem.Block{
		files.CertificateFile: {Type: "CERTIFICATE", Bytes: der},
		files.KeyFile:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.AuthorityFile:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		require.NoError(a.t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

// Guards against peers that connect without a trusted certificate, and against replaced
// certificate files that take effect only after a restart.
func TestMutualTLS(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	cases := map[string]struct {
		caller *authority
		plain  bool
		// trusted is the authority that the caller trusts. Nil means its own.
		trusted *authority
		// replaced replaces the receiver's files by those of the second authority.
		replaced bool
		want     codes.Code
	}{
		"same authority":                           {caller: first, want: codes.OK},
		"foreign authority":                        {caller: second, want: codes.Unavailable},
		"only the caller's certificate is foreign": {caller: second, trusted: first, want: codes.Unavailable},
		"no TLS at the caller":                     {plain: true, want: codes.Unavailable},
		"authority replaced at receiver":           {caller: second, replaced: true, want: codes.OK},
		"old authority after a replacement":        {caller: first, replaced: true, want: codes.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			credentials, err := mcpeer.NewCredentials(first.issue(dir, "127.0.0.1"))
			require.NoError(t, err)
			receiver := startNode(t, identity("copo", "lima", "b"), credentials, nil)
			if c.replaced {
				second.issue(dir, "127.0.0.1")
				mcpeer.ForceFileCheck(credentials)
			}
			var own *mcpeer.Credentials
			if !c.plain {
				files := c.caller.issue(t.TempDir(), "127.0.0.1")
				if c.trusted != nil {
					files.AuthorityFile = c.trusted.issue(t.TempDir(), "127.0.0.1").AuthorityFile
				}
				own, err = mcpeer.NewCredentials(files)
				require.NoError(t, err)
			}
			id := identity("copo", "lima", "a")
			caller := startNode(t, id, own, nil)
			_, err = caller.pool.Exchange(t.Context(), receiver.contact(), newExchangeRequest(id))
			require.Equal(t, c.want, status.Code(err), "%v", err)
			require.NoError(t, credentials.ReloadError())
		})
	}
}

// Guards against an outage of an instance while only some of its TLS files are replaced.
func TestUnusableFilesKeepLastConfiguration(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	files := a.issue(dir, "127.0.0.1")
	credentials, err := mcpeer.NewCredentials(files)
	require.NoError(t, err)
	receiver := startNode(t, identity("copo", "lima", "b"), credentials, nil)
	require.NoError(t, os.WriteFile(files.KeyFile, []byte("not a key"), 0o600))
	mcpeer.ForceFileCheck(credentials)
	own, err := mcpeer.NewCredentials(a.issue(t.TempDir(), "127.0.0.1"))
	require.NoError(t, err)
	id := identity("copo", "lima", "a")
	caller := startNode(t, id, own, nil)
	_, err = caller.pool.Exchange(t.Context(), receiver.contact(), newExchangeRequest(id))
	require.NoError(t, err)
	require.ErrorContains(t, credentials.ReloadError(), "own.key")
}

// panickingMember is a member whose exchange fails unexpectedly.
type panickingMember struct{ *mcmember.Member }

func (panickingMember) Exchange(context.Context, *mcmessage.ExchangeRequest) (*mcmessage.ExchangeResponse, error) {
	var none map[string]int
	none["x"] = 1
	return nil, nil
}

// A message that makes a handler panic must fail its own call only. It must not end the process,
// which would end all other requests of the instance.
func TestPanicInAHandlerFailsOneCall(t *testing.T) {
	id := identity("d", "dc", "a")
	server := &mcpeer.Server{Address: "127.0.0.1:0", Identity: id, Member: panickingMember{&mcmember.Member{Self: mcmember.Self{Identity: id}}}}
	address, err := server.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	caller := identity("d", "dc", "b")
	pool := &mcpeer.Pool{Identity: caller}
	for range 2 {
		_, err = pool.Exchange(t.Context(), mcmember.Contact{Instance: "a", Address: address}, &mcmessage.ExchangeRequest{
			Sender: &mcmessage.Sender{Deployment: "d", DataCentre: "dc", Instance: "b", Incarnation: caller.Incarnation()},
			Vector: &mcmessage.Vector{},
		})
		require.Equal(t, codes.Internal, status.Code(err), "%v", err)
	}
	pool.Close()
	cancel()
	require.NoError(t, <-done)
}

// Connections of probes and to replaced instances must be closed when idle, as each takes
// memory on both sides. One with a stream in progress must stay open however long the stream
// lasts: closing it would break off a relayed answer.
func TestIdleConnectionsAreClosed(t *testing.T) {
	later := time.Now().Add(time.Hour)
	server := startNode(t, identity("d", "dc", "a"), nil, nil)
	caller := startNode(t, identity("d", "dc", "b"), nil, nil)
	conn, err := caller.pool.Conn(server.address)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	stream, err := mcmessage.NewStreamServiceClient(conn).Join(ctx, &mcmessage.JoinRequest{Deployment: "d"})
	if err == nil {
		_, _ = stream.Header()
	}
	caller.pool.CloseIdleAt(later)
	require.Equal(t, 1, caller.pool.OpenConns(), "a stream is in progress")
	cancel()
	require.Eventually(t, func() bool {
		caller.pool.CloseIdleAt(later.Add(time.Hour))
		return caller.pool.OpenConns() == 0
	}, 5*time.Second, time.Millisecond)
}
