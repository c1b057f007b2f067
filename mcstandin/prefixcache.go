package mcstandin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCacheEvents bounds the cache events that are kept for callers that poll.
const maxCacheEvents = 1000

type (
	// CacheEvent reports that a prefix was added to the cache or evicted.
	CacheEvent struct {
		Sequence uint64 `json:"sequence"`
		Prefix   uint64 `json:"prefix"`
		Tokens   int64  `json:"tokens"`
		Dropped  bool   `json:"dropped"`
		at       time.Time
	}

	// prefixCache holds the hashes of prompt prefixes, cut at block boundaries, and evicts
	// the least recently used.
	prefixCache struct {
		// capacity is in tokens.
		capacity int64
		// used maps the hash of a prefix to the value of clock at its last use.
		used map[uint64]uint64
		// clock counts the uses.
		clock    uint64
		events   []CacheEvent
		sequence uint64
	}
)

// use returns how many leading tokens of the prompt are cached, and adds its prefixes.
func (c *prefixCache) use(text string) int64 {
	if c.used == nil {
		c.used = make(map[uint64]uint64)
	}
	h := xxhash.New()
	var cached int64
	hit := true
	for len(text) > cacheBlockBytes {
		h.WriteString(text[:cacheBlockBytes])
		text = text[cacheBlockBytes:]
		block := h.Sum64()
		_, known := c.used[block]
		hit = hit && known
		if hit {
			cached += cacheBlockBytes / bytesPerToken
		}
		c.add(block, known)
	}
	return cached
}

func (c *prefixCache) add(block uint64, known bool) {
	c.clock++
	if !known {
		c.publish(CacheEvent{Prefix: block, Tokens: cacheBlockBytes / bytesPerToken})
	}
	c.used[block] = c.clock
	if int64(len(c.used))*cacheBlockBytes/bytesPerToken > c.capacity {
		c.dropOldest()
	}
}

func (c *prefixCache) dropOldest() {
	var oldest uint64
	age := c.clock + 1
	for block, used := range c.used {
		if used < age {
			oldest, age = block, used
		}
	}
	delete(c.used, oldest)
	c.publish(CacheEvent{Prefix: oldest, Dropped: true})
}

func (c *prefixCache) publish(event CacheEvent) {
	c.sequence++
	event.Sequence, event.at = c.sequence, time.Now()
	c.events = append(c.events, event)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events after the sequence number that are at least lag old, without
// every gap-th one; gap 0 omits none.
func (c *prefixCache) eventsAfter(sequence uint64, lag time.Duration, gap int) []CacheEvent {
	events := []CacheEvent{}
	for _, event := range c.events {
		missing := gap > 0 && event.Sequence%uint64(gap) == 0
		if event.Sequence > sequence && time.Since(event.at) >= lag && !missing {
			events = append(events, event)
		}
	}
	return events
}
