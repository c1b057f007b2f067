package mcpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

const (
	// idleTimeout is the time after its last use at which a connection is closed. It is many
	// times the interval in which a member exchanges with each of its partners, and removes
	// the connections of probes and those to addresses of replaced instances.
	idleTimeout = 30 * time.Second
	// bufferBytes is the size of the read and write buffers of a connection, about the size
	// of one exchange. The default of gRPC, 32 KB each, is most of the memory of a connection.
	bufferBytes = 4 << 10
	// maxReconnectDelay is the maximum delay between connection attempts, so that calls
	// succeed again within seconds after a partition heals.
	maxReconnectDelay = 2 * time.Second
	// maxConsecutiveTimeouts is the number of consecutive call timeouts after which the pool
	// replaces a connection. On the old one, TCP may wait up to two minutes after a
	// partition before it retransmits lost packets.
	maxConsecutiveTimeouts = 3
	// maxConns limits the number of open connections of one instance.
	maxConns = 1024
)

type (
	// Pool is a pool of gRPC client connections, one for each peer address. Set the
	// exported fields before the first call. It implements mcmember.Transport and is safe
	// for concurrent use.
	Pool struct {
		Identity marigoldcroft.Identity
		// PeerAddress is this instance's own address, which is sent to peers only if Faults
		// is set.
		PeerAddress string
		// Credentials enables mutual TLS. Nil means no TLS.
		Credentials *Credentials
		// TracerProvider creates the spans of calls. Nil means no spans.
		TracerProvider trace.TracerProvider
		// Faults is nil outside tests.
		Faults *PartitionInjector
		// MaxMessageBytes is the size limit for messages of services other than MemberService.
		// Zero means DefaultMaxMessageBytes.
		MaxMessageBytes int

		mu    sync.Mutex
		conns map[string]*peerConn
		// sweptAt is when idle connections were last closed.
		sweptAt time.Time
		closed  bool
		bytes   ByteCounter
	}

	peerConn struct {
		*grpc.ClientConn
		lastUsed time.Time
		// inUse is the number of calls and streams in progress.
		inUse               int
		consecutiveTimeouts int
	}
)

// ByteCounter returns the byte counters of the pool's connections.
func (p *Pool) ByteCounter() *ByteCounter { return &p.bytes }

// Conn returns the connection to the address for clients of any service. The first call on
// the connection dials. The pool may close a connection that Conn has not returned for
// idleTimeout.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, marigoldcroft.NewFailure("dial "+address, KindClosed, nil)
	}
	now := time.Now()
	if conn := p.conns[address]; conn != nil {
		conn.lastUsed = now
		p.closeIdle(now)
		return conn.ClientConn, nil
	}
	p.closeIdle(now)
	if len(p.conns) >= maxConns {
		return nil, marigoldcroft.NewFailure("dial "+address, KindDial, status.Errorf(codes.ResourceExhausted, "%d connections are open", maxConns))
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.options(address)...)
	if err != nil {
		return nil, marigoldcroft.NewFailure("dial "+address, KindDial, err)
	}
	if p.conns == nil {
		p.conns = make(map[string]*peerConn)
	}
	p.conns[address] = &peerConn{ClientConn: conn, lastUsed: now}
	return conn, nil
}

// closeIdle closes the connections that Conn has not returned for idleTimeout and that have no
// call in progress. It requires mu to be held.
func (p *Pool) closeIdle(now time.Time) {
	if now.Sub(p.sweptAt) < idleTimeout/2 && len(p.conns) < maxConns {
		return
	}
	p.sweptAt = now
	for address, conn := range p.conns {
		if conn.inUse == 0 && now.Sub(conn.lastUsed) > idleTimeout {
			delete(p.conns, address)
			_ = conn.Close()
		}
	}
}

// begin records that a call or stream on the connection to the address has begun. The function
// that it returns records its end, once.
func (p *Pool) begin(address string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	if conn == nil {
		return func() {}
	}
	conn.inUse++
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		conn.inUse--
		conn.lastUsed = time.Now()
	})
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, conn := range p.conns {
		delete(p.conns, address)
		_ = conn.Close()
	}
}

func (p *Pool) options(address string) []grpc.DialOption {
	maxBytes := p.MaxMessageBytes
	if maxBytes == 0 {
		maxBytes = DefaultMaxMessageBytes
	}
	reconnect := backoff.DefaultConfig
	reconnect.BaseDelay, reconnect.MaxDelay = 100*time.Millisecond, maxReconnectDelay
	security := insecure.NewCredentials()
	if p.Credentials != nil {
		security = p.Credentials.Client()
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(security),
		grpc.WithContextDialer(p.dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: mcmember.CallTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxBytes), grpc.MaxCallSendMsgSize(maxBytes)),
		grpc.WithMaxHeaderListSize(maxHeaderBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithChainUnaryInterceptor(func(ctx context.Context, method string, request, response any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
			return p.callUnary(ctx, address, func(ctx context.Context) error {
				return invoke(ctx, method, request, response, conn, options...)
			}, response)
		}),
		grpc.WithChainStreamInterceptor(func(ctx context.Context, description *grpc.StreamDesc, conn *grpc.ClientConn, method string, open grpc.Streamer, options ...grpc.CallOption) (grpc.ClientStream, error) {
			return p.openStream(ctx, address, func(ctx context.Context) (grpc.ClientStream, error) {
				return open(ctx, description, conn, method, options...)
			})
		}),
	}
	if p.TracerProvider != nil {
		options = append(options, grpc.WithStatsHandler(otelgrpc.NewClientHandler(
			otelgrpc.WithTracerProvider(p.TracerProvider), otelgrpc.WithPropagators(propagation.TraceContext{}))))
	}
	return options
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &p.bytes}, nil
}

// callUnary makes a unary call with a timeout and validates the response.
func (p *Pool) callUnary(ctx context.Context, address string, invoke func(context.Context) error, response any) error {
	ctx, cancel := context.WithTimeout(p.withPeerAddress(ctx), unaryTimeout)
	defer cancel()
	if err := p.Faults.blockOutbound(ctx, address); err != nil {
		return err
	}
	defer p.begin(address)()
	err := invoke(ctx)
	p.recordResult(address, err)
	if err != nil {
		return err
	}
	return validateReceived(response)
}

func validateReceived(received any) error {
	message, ok := received.(proto.Message)
	if !ok {
		return nil
	}
	if err := Validate(message); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	return nil
}

// openStream opens a stream with a timeout. The stream validates each received message.
func (p *Pool) openStream(ctx context.Context, address string, open func(context.Context) (grpc.ClientStream, error)) (grpc.ClientStream, error) {
	ctx, cancel := context.WithTimeout(p.withPeerAddress(ctx), streamTimeout)
	if err := p.Faults.blockOutbound(ctx, address); err != nil {
		cancel()
		return nil, err
	}
	end := p.begin(address)
	// The context of a stream ends with the stream, and at the latest with its caller.
	context.AfterFunc(ctx, end)
	stream, err := open(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	return &validatingClientStream{ClientStream: stream, cancel: cancel}, nil
}

// validatingClientStream is a client stream that validates each received message and releases
// its context when the stream ends.
type validatingClientStream struct {
	grpc.ClientStream
	cancel context.CancelFunc
}

func (c *validatingClientStream) RecvMsg(message any) error {
	err := c.ClientStream.RecvMsg(message)
	if err == nil {
		err = validateReceived(message)
	}
	if err != nil {
		c.cancel()
	}
	return err
}

// withPeerAddress adds the pool's peer address to the metadata of a call if Faults is set.
func (p *Pool) withPeerAddress(ctx context.Context) context.Context {
	if p.Faults == nil {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, addressHeader, p.PeerAddress)
}

// recordResult closes the connection to the address after maxConsecutiveTimeouts calls have
// timed out in a row. The next call then dials.
func (p *Pool) recordResult(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	if conn == nil {
		return
	}
	if status.Code(err) != codes.DeadlineExceeded {
		conn.consecutiveTimeouts = 0
		return
	}
	conn.consecutiveTimeouts++
	if conn.consecutiveTimeouts >= maxConsecutiveTimeouts {
		delete(p.conns, address)
		_ = conn.Close()
	}
}

// Exchange calls MemberService.Exchange.
func (p *Pool) Exchange(ctx context.Context, to mcmember.Contact, request *mcmessage.ExchangeRequest) (*mcmessage.ExchangeResponse, error) {
	conn, err := p.Conn(to.Address)
	if err != nil {
		return nil, err
	}
	response, err := mcmessage.NewMemberServiceClient(conn).Exchange(ctx, request, grpc.MaxCallRecvMsgSize(mcmember.MaxMessageBytes))
	if err != nil {
		return nil, err
	}
	return response, checkSender(p.Identity, mcmessage.MemberService_Exchange_FullMethodName, response)
}

// Probe calls MemberService.Probe.
func (p *Pool) Probe(ctx context.Context, to mcmember.Contact, request *mcmessage.ProbeRequest) (*mcmessage.ProbeResponse, error) {
	conn, err := p.Conn(to.Address)
	if err != nil {
		return nil, err
	}
	response, err := mcmessage.NewMemberServiceClient(conn).Probe(ctx, request, grpc.MaxCallRecvMsgSize(mcmember.MaxMessageBytes))
	if err != nil {
		return nil, err
	}
	return response, checkSender(p.Identity, mcmessage.MemberService_Probe_FullMethodName, response)
}

// Relay calls MemberService.Relay.
func (p *Pool) Relay(ctx context.Context, to mcmember.Contact, request *mcmessage.RelayRequest) (*mcmessage.RelayResponse, error) {
	conn, err := p.Conn(to.Address)
	if err != nil {
		return nil, err
	}
	response, err := mcmessage.NewMemberServiceClient(conn).Relay(ctx, request, grpc.MaxCallRecvMsgSize(mcmember.MaxMessageBytes))
	if err != nil {
		return nil, err
	}
	return response, checkSender(p.Identity, mcmessage.MemberService_Relay_FullMethodName, response)
}
