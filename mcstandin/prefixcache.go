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
		// lastUse maps the hash of a prefix to the value of useCount at its last use.
		lastUse  map[uint64]uint64
		useCount uint64
		events   []CacheEvent
		sequence uint64
	}
)

// lookupAndAdd returns how many leading tokens of the prompt are cached, and adds its prefixes.
func (c *prefixCache) lookupAndAdd(text string) int64 {
	if c.lastUse == nil {
		c.lastUse = make(map[uint64]uint64)
	}
	h := xxhash.New()
	var cached int64
	hit := true
	for len(text) > cacheBlockBytes {
		h.WriteString(text[:cacheBlockBytes])
		text = text[cacheBlockBytes:]
		block := h.Sum64()
		_, known := c.lastUse[block]
		hit = hit && known
		if hit {
			cached += cacheBlockBytes / bytesPerToken
		}
		c.touch(block, known)
	}
	return cached
}

func (c *prefixCache) touch(block uint64, known bool) {
	c.useCount++
	if !known {
		c.publish(CacheEvent{Prefix: block, Tokens: cacheBlockBytes / bytesPerToken})
	}
	c.lastUse[block] = c.useCount
	if int64(len(c.lastUse))*cacheBlockBytes/bytesPerToken > c.capacity {
		c.evictLeastRecent()
	}
}

func (c *prefixCache) evictLeastRecent() {
	var oldest uint64
	age := c.useCount + 1
	for block, used := range c.lastUse {
		if used < age {
			oldest, age = block, used
		}
	}
	delete(c.lastUse, oldest)
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
