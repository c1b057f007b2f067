package mcpeer

import (
	"context"
	"sync"

	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// addressHeader carries the caller's peer address while a fault switch is set, as a
// server sees only the port that the caller's system has chosen.
const addressHeader = "peer-address"

// Faults is a switch that blocks calls to or from peer addresses, for tests. A
// blocked call waits for its deadline, as it would when packets are lost. The zero
// value blocks nothing. Safe for use from many goroutines.
type Faults struct {
	mu       sync.Mutex
	outbound map[string]bool
	inbound  map[string]bool
}

// Set replaces the addresses that calls to and from are blocked. A one-way cut names
// an address in only one of them.
func (f *Faults) Set(to, from []string) {
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

// blocksTo holds a call to the address back. It works on a nil switch.
func (f *Faults) blocksTo(ctx context.Context, address string) error {
	if f == nil {
		return nil
	}
	f.mu.Lock()
	blocked := f.outbound[address]
	f.mu.Unlock()
	return holdBack(ctx, blocked, "to", address)
}

// blocksFrom holds back a call that arrived.
func (f *Faults) blocksFrom(ctx context.Context) error {
	if f == nil {
		return nil
	}
	md, _ := metadata.FromIncomingContext(ctx)
	for _, address := range md.Get(addressHeader) {
		f.mu.Lock()
		blocked := f.inbound[address]
		f.mu.Unlock()
		if err := holdBack(ctx, blocked, "from", address); err != nil {
			return err
		}
	}
	return nil
}

func holdBack(ctx context.Context, blocked bool, direction, address string) error {
	if !blocked {
		return nil
	}
	<-ctx.Done()
	return status.Errorf(status.FromContextError(ctx.Err()).Code(), "calls %s %s are blocked by the fault switch", direction, address)
}
