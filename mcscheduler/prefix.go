package mcscheduler

import (
	"math"
	"time"
)

const (
	// prefixTableLength bounds the remembered prefixes of a model.
	prefixTableLength = 4096
	// prefixEndpoints is how many endpoints are remembered per prefix; with two, a
	// popular prefix is not bound to a single endpoint.
	prefixEndpoints = 2
)

type (
	// prefixEntry lists the endpoints that a prefix was sent to lately.
	prefixEntry struct {
		endpoints [prefixEndpoints]*endpoint
		at        [prefixEndpoints]time.Duration
	}

	// prefixTable remembers where this instance sent which prefix; the oldest new
	// prefix is forgotten when it is full.
	prefixTable struct {
		entries map[uint64]prefixEntry
		keys    []uint64
		oldest  int
	}
)

// record notes that work with the prefix went to the endpoint.
func (t *prefixTable) record(now time.Duration, prefix uint64, e *endpoint) {
	if prefix == 0 {
		return
	}
	if t.entries == nil {
		t.entries = make(map[uint64]prefixEntry)
	}
	entry, known := t.entries[prefix]
	if !known {
		if len(t.keys) < prefixTableLength {
			t.keys = append(t.keys, prefix)
		} else {
			delete(t.entries, t.keys[t.oldest])
			t.keys[t.oldest] = prefix
			t.oldest = (t.oldest + 1) % prefixTableLength
		}
	}
	slot := 0
	for i := range entry.endpoints {
		if entry.endpoints[i] == e {
			slot = i
			break
		}
		if entry.at[i] < entry.at[slot] || entry.endpoints[i] == nil {
			slot = i
		}
	}
	entry.endpoints[slot], entry.at[slot] = e, now
	t.entries[prefix] = entry
}

// hitWeight returns the probability-like weight, from 0 to 1, that the endpoint still holds
// the prefix: 1 when it was just sent there, halved with each half-life.
func (n *prefixEntry) hitWeight(now, halfLife time.Duration, e *endpoint) float64 {
	for i, known := range n.endpoints {
		if known == e && n.at[i] >= e.restartedAt {
			return math.Exp2(-float64(now-n.at[i]) / float64(halfLife))
		}
	}
	return 0
}
