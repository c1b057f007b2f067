package mcscheduler

import (
	"math"
	"time"
)

const (
	// prefixTableLength bounds the number of prefixes remembered for a model.
	prefixTableLength = 4096
	// prefixEndpoints is the number of endpoints remembered for each prefix; with two,
	// a popular prefix is not bound to a single endpoint.
	prefixEndpoints = 2
)

type (
	// prefixEntry lists the endpoints to which a prefix was sent most recently.
	prefixEntry struct {
		endpoints [prefixEndpoints]*endpoint
		at        [prefixEndpoints]time.Duration
	}

	// prefixTable records to which endpoints this instance sent each prefix. When it is
	// full, a new prefix replaces the one that was added first.
	prefixTable struct {
		entries map[uint64]prefixEntry
		keys    []uint64
		oldest  int
	}
)

// record notes that work with the prefix was sent to the endpoint.
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
	index := 0
	for i := range entry.endpoints {
		if entry.endpoints[i] == e {
			index = i
			break
		}
		if entry.at[i] < entry.at[index] || entry.endpoints[i] == nil {
			index = i
		}
	}
	entry.endpoints[index], entry.at[index] = e, now
	t.entries[prefix] = entry
}

// hitWeight estimates the probability that the endpoint still caches the prefix: 1
// right after the prefix was sent there, halved with each half-life.
func (entry *prefixEntry) hitWeight(now, halfLife time.Duration, e *endpoint) float64 {
	for i, known := range entry.endpoints {
		if known == e && entry.at[i] >= e.restartedAt {
			return math.Exp2(-float64(now-entry.at[i]) / float64(halfLife))
		}
	}
	return 0
}
