package mcbudget

import "syscall"

const (
	// memoryShare is the fraction of the process's memory that clients may make it hold. With what an
	// idle process takes, 30 to 40 MB, it stays below the runtime's soft limit of 0.6 in which the
	// collector would otherwise run without a pause.
	memoryShare = 0.4
	// ownShare and maxOwn limit the descriptors that are kept for the store, outgoing connections to
	// peers and files; checksShare and maxChecks those of each listener for balancers and operators,
	// peersShare and maxPeers those of the listener for peers. A process has up to 48 partners, and
	// every instance of a region may ask it for grants.
	ownShare, maxOwn       = 0.25, 256
	checksShare, maxChecks = 1.0 / 32, 64
	peersShare, maxPeers   = 1.0 / 8, 1024
	// fallbackDescriptors applies if the limit of descriptors cannot be read.
	fallbackDescriptors = 1024
	// maxDescriptors limits the number of descriptors that is counted with.
	maxDescriptors = 1 << 20
)

// Connections is the number of connections of each listener.
type Connections struct{ Callers, Checks, Peers int }

// MemoryOf returns the bound on what clients may make a process hold that has the memory.
func MemoryOf(bytes int64) int64 { return int64(memoryShare * float64(bytes)) }

// Descriptors returns the process's limit of descriptors.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// ConnectionsOf divides the descriptors of a process. Callers get half of what the other listeners and the
// process's own calls leave: each request may need a connection to an endpoint.
func ConnectionsOf(descriptors int) Connections {
	part := func(share float64, most int) int { return max(1, min(most, int(share*float64(descriptors)))) }
	checks, peers := part(checksShare, maxChecks), part(peersShare, maxPeers)
	rest := descriptors - part(ownShare, maxOwn) - 2*checks - peers
	return Connections{Callers: max(1, rest/2), Checks: checks, Peers: peers}
}
