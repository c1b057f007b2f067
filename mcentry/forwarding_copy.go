package mcentry

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

// The kinds of records whose local copies instances confirm for each other. An instance
// whose copy has the same digest as a peer's takes over the time at which that copy was
// known to be complete.
const (
	recordsRouting     = "routing"
	recordsEndpoints   = "endpoints"
	recordsEvacuations = "evacuations"
	recordsInstances   = "instances"
)

// copyStates returns the digests and ages of the local copies, to be sent to peers.
func (e *Forwarding) copyStates() []*mcmessage.CopyState {
	var states []*mcmessage.CopyState
	for _, records := range []string{recordsRouting, recordsEndpoints, recordsInstances} {
		if state := e.copies[records].status(); state != nil {
			states = append(states, state)
		}
	}
	if e.evacuations != nil {
		if digest, complete, known := e.evacuations.CopyStatus(); known {
			states = append(states, &mcmessage.CopyState{Records: recordsEvacuations, Digest: digest, AgeMs: ageMs(complete)})
		}
	}
	return states
}

// receiveCopyStates processes the digests and ages of a peer's copies. Their ages count
// from requestedAt, the boot time at which the request was sent.
//
// Each instance reads the routing table from the store: it has hundreds of kilobytes with many routes,
// and a copy for each instance from its peers took more of the links between data centres than the calls
// are worth.
func (e *Forwarding) receiveCopyStates(peer mcmember.Contact, requestedAt time.Duration, copies []*mcmessage.CopyState) {
	for _, c := range copies {
		if c.GetRecords() == recordsEvacuations && e.evacuations != nil {
			e.evacuations.ObservePeerCopy(c.GetDigest(), requestedAt-time.Duration(c.GetAgeMs())*time.Millisecond)
			continue
		}
		held := e.copies[c.GetRecords()]
		switch {
		case held == nil:
		case c.GetRecords() != recordsRouting && held.isBehind(mcfollow.Position{Era: int64(c.GetEra()), Revision: int64(c.GetRevision())}):
			e.takeCopy(peer, c.GetRecords())
		default:
			held.observe(c.GetDigest(), requestedAt-time.Duration(c.GetAgeMs())*time.Millisecond)
		}
	}
}

// confirmRank returns the rank of this instance among those that may confirm a kind of
// records for the others. Each instance computes it by rendezvous hashing from the members
// that it knows, so no election is needed.
func (e *Forwarding) confirmRank(records string) int {
	ranked := mcmember.Rank(records, e.member.Candidates())
	if rank := slices.Index(ranked, e.Settings.Instance); rank >= 0 {
		return rank
	}
	return len(ranked)
}

func (e *Forwarding) watchTimeout(records string) func() time.Duration {
	return func() time.Duration {
		if e.confirmRank(records) == 0 {
			return confirmingWatchWait
		}
		return confirmedWatchWait
	}
}

func (e *Forwarding) storeFallbackAge(records string) func() time.Duration {
	return func() time.Duration {
		return min(minStoreFallbackAge+time.Duration(e.confirmRank(records))*storeFallbackAgeStep, maxStoreFallbackAge)
	}
}

func hashTable(table *marigoldcroft.RoutingTable) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, uint64(table.Version())))
}

// hashEndpoint hashes a record without the remaining warm-up time, which changes even when
// the stored record does not. The field names of EndpointRecord are part of the hash, which
// peers compare, so renaming a field breaks the comparison between two versions.
func hashEndpoint(record *marigoldcroft.EndpointRecord) uint64 {
	r := *record
	r.Warming = 0
	return xxhash.Sum64(fmt.Appendf(nil, "%+v", r))
}

func hashInstance(listed *marigoldcroft.ListedInstance) uint64 {
	return xxhash.Sum64(fmt.Appendf(nil, "%+v", *listed))
}
