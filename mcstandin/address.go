package mcstandin

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// minPort and portCount bound the ports that FreeAddress returns. They are below the
	// ephemeral ports of Linux (from 32768) and macOS (from 49152), so that no outgoing
	// connection takes a port before its server has started.
	minPort   = 10_000
	portCount = 22_000
	// maxPortAttempts bounds how many ports FreeAddress tries when others are already in use.
	maxPortAttempts = 1_000
)

// nextPort starts at a random value, so that concurrent processes use different ports.
var nextPort = func() *atomic.Uint32 {
	n := &atomic.Uint32{}
	n.Store(rand.Uint32N(portCount))
	return n
}()

// FreeAddress returns a loopback address for a server that starts later. It returns no address
// twice within portCount calls of one process, and no ephemeral port.
func FreeAddress() (string, error) {
	var failures []error
	for range maxPortAttempts {
		port := minPort + nextPort.Add(1)%portCount
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(int(port))))
		if err != nil {
			failures = append(failures, err)
			continue
		}
		return listener.Addr().String(), listener.Close()
	}
	return "", errors.Join(failures...)
}

// FreeAddresses returns n addresses from FreeAddress.
func FreeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		var err error
		if addresses[i], err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}
