package mcpeer

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"marigoldcroft"
	"marigoldcroft/mcbudget"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcrecover"
)

const (
	// DefaultMaxMessageBytes is the default size limit for messages of all services except
	// MemberService, whose limit is mcmember.MaxMessageBytes. It leaves room for a
	// configuration page of 1 MB.
	DefaultMaxMessageBytes = 2 << 20
	// unaryTimeout limits a unary call whose caller set no deadline or a later one.
	unaryTimeout = 10 * time.Second
	// streamTimeout is the same limit for a stream.
	streamTimeout = 10 * time.Minute
	// shutdownTimeout is the time that calls in flight have to finish after Run's context ends.
	shutdownTimeout    = 2 * time.Second
	handshakeTimeout   = 5 * time.Second
	maxStreamsPerConn  = 256
	maxHeaderBytes     = 8 << 10
	memberMethodPrefix = "/marigoldcroft.member.MemberService/"
)

// Server serves gRPC calls from peers. Set the exported fields before calling Listen.
type Server struct {
	// Address is the IP and port to listen on. Port 0 selects a free port.
	Address  string
	Identity marigoldcroft.Identity
	// Member implements MemberService.
	Member mcmessage.MemberServiceServer
	// Register registers further services. It may be nil.
	Register func(grpc.ServiceRegistrar)
	// Credentials enables mutual TLS. Nil means no TLS.
	Credentials *Credentials
	// TracerProvider creates the spans of calls. Nil means no spans.
	TracerProvider trace.TracerProvider
	// Faults is nil outside tests.
	Faults *PartitionInjector
	Logger zerolog.Logger
	// MaxMessageBytes is the size limit for messages of services other than MemberService. Zero
	// means DefaultMaxMessageBytes.
	MaxMessageBytes int

	// Connections is the share of the process's connections; nil means that they are not bounded.
	Connections *mcbudget.Share

	listener net.Listener
	bytes    ByteCounter
	accounts accountTable
}

// Listen opens the listening socket and returns its address.
func (s *Server) Listen() (string, error) {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return "", marigoldcroft.NewFailure("listen on "+s.Address, KindListen, err)
	}
	s.listener = listener
	return listener.Addr().String(), nil
}

// ByteCounter returns the byte counters of the server's connections.
func (s *Server) ByteCounter() *ByteCounter { return &s.bytes }

// Run serves calls until ctx ends. Calls in flight then have shutdownTimeout to finish.
func (s *Server) Run(ctx context.Context) error {
	if s.listener == nil {
		if _, err := s.Listen(); err != nil {
			return err
		}
	}
	server := grpc.NewServer(s.options()...)
	mcmessage.RegisterMemberServiceServer(server, s.Member)
	if s.Register != nil {
		s.Register(server)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(newPeerListener(s.listener, s)) }()
	select {
	case err := <-done:
		return marigoldcroft.NewFailure("serve "+s.Address, KindServe, err)
	case <-ctx.Done():
	}
	timer := time.AfterFunc(shutdownTimeout, server.Stop)
	server.GracefulStop()
	timer.Stop()
	if err := <-done; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return marigoldcroft.NewFailure("serve "+s.Address, KindServe, err)
	}
	return nil
}

func (s *Server) options() []grpc.ServerOption {
	if s.MaxMessageBytes == 0 {
		s.MaxMessageBytes = DefaultMaxMessageBytes
	}
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(s.MaxMessageBytes),
		grpc.MaxSendMsgSize(s.MaxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.SharedWriteBuffer(true),
		grpc.ChainUnaryInterceptor(s.interceptUnary),
		grpc.ChainStreamInterceptor(s.interceptStream),
	}
	if s.Credentials != nil {
		options = append(options, grpc.Creds(s.Credentials.Server()))
	}
	if s.Connections != nil {
		options = append(options, grpc.StatsHandler(&s.accounts))
	}
	if s.TracerProvider != nil {
		options = append(options, grpc.StatsHandler(otelgrpc.NewServerHandler(
			otelgrpc.WithTracerProvider(s.TracerProvider), otelgrpc.WithPropagators(propagation.TraceContext{}))))
	}
	return options
}

// interceptUnary is a server interceptor that rejects invalid requests before they reach the
// service.
func (s *Server) interceptUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, unaryTimeout)
	defer cancel()
	if err := s.Faults.blockInbound(ctx); err != nil {
		return nil, err
	}
	if err := s.checkRequest(ctx, info.FullMethod, request); err != nil {
		s.Logger.Warn().Str("method", info.FullMethod).Err(err).Msg("peerCallRefused")
		return nil, err
	}
	var response any
	err := s.guard(info.FullMethod, func() error {
		var err error
		response, err = handler(ctx, request)
		return err
	})
	return response, err
}

// guard runs a handler. grpc does not recover panics, so one in a handler would end the
// process.
func (s *Server) guard(method string, handle func() error) error {
	err := mcrecover.Call(s.Logger, method, handle)
	if mcrecover.IsPanic(err) {
		return status.Errorf(codes.Internal, "%s failed unexpectedly", method)
	}
	return err
}

// interceptStream is a server interceptor that checks each message received on a stream.
func (s *Server) interceptStream(service any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	ctx, cancel := context.WithTimeout(stream.Context(), streamTimeout)
	defer cancel()
	if err := s.Faults.blockInbound(ctx); err != nil {
		return err
	}
	checked := &validatingServerStream{ServerStream: stream, ctx: ctx, server: s, method: info.FullMethod}
	return s.guard(info.FullMethod, func() error { return handler(service, checked) })
}

// validatingServerStream is a server stream that checks each received message.
type validatingServerStream struct {
	grpc.ServerStream
	ctx    context.Context
	server *Server
	method string
}

func (c *validatingServerStream) Context() context.Context { return c.ctx }

func (c *validatingServerStream) RecvMsg(message any) error {
	if err := c.ServerStream.RecvMsg(message); err != nil {
		return err
	}
	return c.server.checkRequest(c.ctx, c.method, message)
}

// checkRequest validates a request and its sender. A valid request is progress of its connection.
func (s *Server) checkRequest(ctx context.Context, method string, request any) error {
	message, ok := request.(proto.Message)
	if !ok {
		return status.Errorf(codes.Internal, "the request of %s is not a protobuf message", method)
	}
	if size := proto.Size(message); strings.HasPrefix(method, memberMethodPrefix) && size > mcmember.MaxMessageBytes {
		return status.Errorf(codes.InvalidArgument, "the message has %d bytes, the limit is %d", size, mcmember.MaxMessageBytes)
	}
	if err := Validate(message); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if err := checkSender(s.Identity, method, message); err != nil {
		return err
	}
	accountOf(ctx).EndRequest()
	return nil
}

// checkSender rejects messages from another deployment or from the instance itself. It also
// rejects relay calls from the same data centre and all other calls with a sender from
// another data centre.
func checkSender(own marigoldcroft.Identity, method string, message proto.Message) error {
	deployment := ""
	switch m := message.(type) {
	case interface{ GetSender() *mcmessage.Sender }:
		sender := m.GetSender()
		deployment = sender.GetDeployment()
		sameDataCentre := sender.GetDataCentre() == own.DataCentre()
		if relay := strings.HasSuffix(method, "/Relay"); relay == sameDataCentre {
			return status.Errorf(codes.PermissionDenied, "the data centre %q of the sender is wrong for %s at %q",
				sender.GetDataCentre(), method, own.DataCentre())
		}
		if sender.GetInstance() == own.Instance() && sender.GetIncarnation() == own.Incarnation() {
			return status.Error(codes.PermissionDenied, "the sender is the receiver itself")
		}
	case interface{ GetDeployment() string }:
		deployment = m.GetDeployment()
	default:
		return nil
	}
	if deployment != own.Deployment() {
		return status.Errorf(codes.PermissionDenied, "the deployment %q of the sender is not %q", deployment, own.Deployment())
	}
	return nil
}
