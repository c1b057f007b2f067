package mcentry

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

// The kinds of records whose copies instances confirm to each other.
const (
	recordsRouting   = "routing"
	recordsEndpoints = "endpoints"
)

// copies tells peers how current the own copies are.
func (e *Forwarding) copies() []*mcmessage.CopyState {
	var states []*mcmessage.CopyState
	now := mcclock.Now()
	for _, c := range []struct {
		records string
		state   func() (digest uint64, complete time.Duration, known bool)
	}{{recordsRouting, e.routing.State}, {recordsEndpoints, e.endpoints.State}} {
		if digest, complete, known := c.state(); known {
			states = append(states, &mcmessage.CopyState{
				Records: c.records, Digest: digest, AgeMs: uint64(max(0, now-complete).Milliseconds()) + 1,
			})
		}
	}
	return states
}

// heardCopies takes how current a peer's copies are; asked is when it was asked.
func (e *Forwarding) heardCopies(asked time.Duration, copies []*mcmessage.CopyState) {
	for _, c := range copies {
		complete := asked - time.Duration(c.GetAgeMs())*time.Millisecond
		switch c.GetRecords() {
		case recordsRouting:
			e.routing.Heard(c.GetDigest(), complete)
		case recordsEndpoints:
			e.endpoints.Heard(c.GetDigest(), complete)
		}
	}
}

// confirmRank returns the own place in the line of the instances that confirm a kind of
// records for all, which each of them works out from the members that it knows.
func (e *Forwarding) confirmRank(records string) int {
	line := mcmember.Rank(records, e.member.Candidates())
	if place := slices.Index(line, e.Settings.Instance); place >= 0 {
		return place
	}
	return len(line)
}

func (e *Forwarding) wait(records string) func() time.Duration {
	return func() time.Duration {
		if e.confirmRank(records) == 0 {
			return confirmWait
		}
		return sharedWait
	}
}

func (e *Forwarding) patience(records string) func() time.Duration {
	return func() time.Duration {
		return min(leastPatience+time.Duration(e.confirmRank(records))*patienceStep, mostPatience)
	}
}

func hashTable(table *marigoldcroft.RoutingTable) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, uint64(table.Version())))
}

// hashEndpoint leaves out the time for which an endpoint is still slow, as it changes
// without a change of the record.
func hashEndpoint(record *marigoldcroft.EndpointRecord) uint64 {
	r := *record
	r.Warming = 0
	return xxhash.Sum64(fmt.Appendf(nil, "%+v", r))
}
