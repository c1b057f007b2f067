// Package mcbudget bounds the memory and the connections that clients make a process hold. All listeners of
// a process share one budget of memory; each has a share of the connections.
package mcbudget

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// connectionBytes is charged for an open connection: the stack of its goroutine, the buffers of
	// net/http and its own records.
	connectionBytes = 24 << 10
	// bodyNumerator and bodyDenominator are the factor by which a body is charged: io.ReadAll grows
	// its buffer by a quarter at a time, and what it grew from is garbage for a while. Bodies of 71
	// MB took a process of 284 MB to 187 MB.
	bodyNumerator, bodyDenominator = 8, 5
	// lineBytes is charged for each line of a head or a trailer. A map of many header fields takes
	// about 200 bytes a field beside the text (net/textproto counts as much).
	lineBytes = 200
	// smallBytes is the size up to which a connection may also use a reserve above the budget, so
	// that large bodies that arrive slowly do not keep small requests out. The usual requests have 1
	// to 31 KB. smallReserve is the size of the reserve as a fraction of the budget.
	smallBytes   = connectionBytes + 64<<10
	smallReserve = 0.25
	// freedShare is the fraction of a bound that is freed once it is reached, so that the search for
	// the connections to reject is rare.
	freedShare = 1.0 / 32
	// firstRequestTime is how long a connection without a request is spared when another one is to
	// be accepted: the first request of an ordinary caller follows within a round trip. A connection
	// on which it has arrived meanwhile is kept.
	firstRequestTime = 20 * time.Millisecond
	// leavingInterval is how often a connection that reads checks whether rejected ones have ended,
	// and maxLeavingWait how long it waits for them, so that none stalls for long.
	leavingInterval = time.Millisecond
	maxLeavingWait  = 500 * time.Millisecond
	// roomInterval is how often a full listener checks whether connections can be rejected.
	roomInterval = 5 * time.Millisecond
	// logInterval limits the log lines about rejected connections to one in this time.
	logInterval = time.Second
)

// The bounds by which a connection is rejected.
const (
	BoundMemory      = "memory"
	BoundConnections = "connections"
)

type (
	// Budget is the memory that clients may make the process hold. Its exported fields are set
	// before the first connection.
	Budget struct {
		// Memory is the bound in bytes.
		Memory int64
		// Rejected counts a connection that was rejected; nil means that nothing counts them.
		Rejected func(listener, bound string)
		Logger   zerolog.Logger

		// held is the sum of what the accounts hold that are not rejected, and leaving that of
		// those which are, until their requests have ended.
		held, leaving atomic.Int64

		mu       sync.Mutex
		accounts map[*Account]struct{}
		// unreported counts the rejections since the last log line, which was at loggedAt.
		unreported int
		loggedAt   time.Time
	}

	// Share is a listener's share of the connections.
	Share struct {
		budget *Budget
		name   string
		limit  int
		// closed has room for one signal that a connection has been closed.
		closed chan struct{}
		// open is guarded by budget.mu. Rejected connections count until they are closed.
		open int
	}

	// candidate is a connection that may be rejected.
	candidate struct {
		account *Account
		held    int64
		stalled time.Duration
		left    bool
	}
)

// Share returns the share of the connections of the named listener.
func (b *Budget) Share(name string, connections int) *Share {
	return &Share{budget: b, name: name, limit: max(1, connections), closed: make(chan struct{}, 1)}
}

// Held returns the bytes that the connections hold which are not rejected.
func (b *Budget) Held() int64 { return b.held.Load() }

// WaitForRoom returns when one more connection may be accepted, or when done is closed. If the share is
// used up, it rejects the connections that have gone without progress for the longest time. Requests in
// progress are rejected only if their body is incomplete and no other connection can be. Connections that
// send requests without awaiting answers end after the one in progress.
func (s *Share) WaitForRoom(done <-chan struct{}) {
	if s == nil {
		return
	}
	for !s.hasRoom() {
		select {
		case <-done:
			return
		case <-s.closed:
		case <-time.After(roomInterval):
		}
	}
}

// hasRoom reports whether the share has room for one more connection, and rejects some if it has not.
func (s *Share) hasRoom() bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.open < s.limit {
		return true
	}
	now := time.Now()
	leaving := 0
	var waiting, receiving []candidate
	for a := range b.accounts {
		if a.share != s {
			continue
		}
		c, state, rejected := a.candidate(now)
		switch {
		case rejected && c.left && c.stalled >= firstRequestTime:
			// net/http waits for half a second so that the caller can read the refusal.
			a.end()
			delete(b.accounts, a)
			s.open--
		case rejected:
			leaving++
		case state == stateComplete:
			if a.endAfterThis(now) {
				b.count(a, BoundConnections, now)
			}
		case (state == stateWaiting || state == stateAnswered) && c.stalled >= firstRequestTime:
			waiting = append(waiting, c)
		case state == stateReceiving && c.stalled >= firstRequestTime:
			receiving = append(receiving, c)
		}
	}
	if s.open < s.limit {
		return true
	}
	byStall := func(a, c candidate) int { return cmp.Compare(c.stalled, a.stalled) }
	slices.SortFunc(waiting, byStall)
	slices.SortFunc(receiving, byStall)
	wanted := max(1, int(freedShare*float64(s.limit))) - leaving
	for _, c := range slices.Concat(waiting, receiving) {
		if wanted <= 0 {
			break
		}
		if b.reject(c.account, BoundConnections, now) {
			wanted--
		}
	}
	return false
}

// Open adds a connection. The wake function must make the reads of the connection fail, and also its writes
// if the handler of its request has returned. The end function must close it. They must not call methods of
// the account.
func (s *Share) Open(wake func(answered bool), end func()) *Account {
	if s == nil {
		return nil
	}
	b := s.budget
	a := &Account{share: s, wake: wake, end: end, held: connectionBytes, since: time.Now()}
	b.mu.Lock()
	if b.accounts == nil {
		b.accounts = make(map[*Account]struct{})
	}
	b.accounts[a] = struct{}{}
	s.open++
	b.mu.Unlock()
	if b.held.Add(connectionBytes) > b.Memory {
		b.reclaim()
	}
	return a
}

// waitForLeaving waits for a moment while rejected connections still hold what the account needs.
func (b *Budget) waitForLeaving(a *Account, limit int64) {
	for waited := time.Duration(0); b.held.Load()+b.leaving.Load() > limit && waited < maxLeavingWait && !a.IsRejected(); waited += leavingInterval {
		time.Sleep(leavingInterval)
	}
}

// close removes a connection.
func (s *Share) close(a *Account) {
	s.budget.mu.Lock()
	if _, open := s.budget.accounts[a]; open {
		delete(s.budget.accounts, a)
		s.open--
	}
	s.budget.mu.Unlock()
	select {
	case s.closed <- struct{}{}:
	default:
	}
}

// reclaim rejects connections until the bound on memory holds again: first those with the largest product
// of what they hold and the time for which their request has been incomplete.
func (b *Budget) reclaim() {
	b.mu.Lock()
	defer b.mu.Unlock()
	target := b.Memory - int64(freedShare*float64(b.Memory))
	if b.held.Load() <= target {
		return
	}
	now := time.Now()
	var candidates []candidate
	for a := range b.accounts {
		if c, state, rejected := a.candidate(now); !rejected && state != stateComplete {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, c candidate) int { return cmp.Compare(c.cost(), a.cost()) })
	for _, c := range candidates {
		if b.held.Load() <= target {
			return
		}
		b.reject(c.account, BoundMemory, now)
	}
}

// cost is what the connection has kept others from using.
func (c candidate) cost() float64 { return float64(c.held) * (c.stalled + time.Millisecond).Seconds() }

// reject rejects a connection unless its request has become complete. The caller holds b.mu.
func (b *Budget) reject(a *Account, bound string, now time.Time) bool {
	if !a.reject() {
		return false
	}
	b.count(a, bound, now)
	return true
}

// count counts a rejection and logs it, at most one line a logInterval. The caller holds b.mu.
func (b *Budget) count(a *Account, bound string, now time.Time) {
	if b.Rejected != nil {
		b.Rejected(a.share.name, bound)
	}
	b.unreported++
	if now.Sub(b.loggedAt) >= logInterval {
		b.Logger.Warn().Str("listener", a.share.name).Str("bound", bound).Int("connections", b.unreported).
			Int64("heldBytes", b.held.Load()).Int("open", len(b.accounts)).Msg("connectionsRejected")
		b.unreported, b.loggedAt = 0, now
	}
}
