package mcpeer

import (
	"context"
	"sync"

	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// addressHeader carries the caller's peer address in calls of a pool with Faults. The server
// cannot take it from the connection, which comes from an ephemeral port.
const addressHeader = "peer-address"

// PartitionInjector injects network partitions in tests by blocking calls to or from peer addresses. A
// blocked call waits until its deadline, as if its packets were lost. The zero value blocks
// nothing. It is safe for concurrent use.
type PartitionInjector struct {
	mu       sync.Mutex
	outbound map[string]bool
	inbound  map[string]bool
}

// SetBlocked replaces the blocked addresses: calls to the addresses in to and calls from the
// addresses in from. A one-way partition lists an address in only one of them.
func (f *PartitionInjector) SetBlocked(to, from []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outbound, f.inbound = make(map[string]bool), make(map[string]bool)
	for _, address := range to {
		f.outbound[address] = true
	}
	for _, address := range from {
		f.inbound[address] = true
	}
}

// blockOutbound blocks a call to the address if it is listed. A nil f blocks nothing.
func (f *PartitionInjector) blockOutbound(ctx context.Context, address string) error {
	if f == nil {
		return nil
	}
	f.mu.Lock()
	blocked := f.outbound[address]
	f.mu.Unlock()
	return waitIfBlocked(ctx, blocked, "to", address)
}

// blockInbound blocks an incoming call if its caller is listed. A nil f blocks nothing.
func (f *PartitionInjector) blockInbound(ctx context.Context) error {
	if f == nil {
		return nil
	}
	md, _ := metadata.FromIncomingContext(ctx)
	for _, address := range md.Get(addressHeader) {
		f.mu.Lock()
		blocked := f.inbound[address]
		f.mu.Unlock()
		if err := waitIfBlocked(ctx, blocked, "from", address); err != nil {
			return err
		}
	}
	return nil
}

// waitIfBlocked waits until ctx ends and returns its error if blocked is set.
func waitIfBlocked(ctx context.Context, blocked bool, direction, address string) error {
	if !blocked {
		return nil
	}
	<-ctx.Done()
	return status.Errorf(status.FromContextError(ctx.Err()).Code(), "calls %s %s are blocked by the fault switch", direction, address)
}
