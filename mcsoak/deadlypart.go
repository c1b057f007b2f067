package mcsoak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	deadlyPartFault = "prompt part crashes servers"
	// firstPart is the part that all prompts begin with, deadlyPart the one that crashes each
	// server that begins to answer a request with it.
	firstPart, deadlyPart = "5c1e07a2", "0badc0de"
	// minDeadlyTime and maxExtraDeadlyTime bound the time for which callers send deadlyPart.
	minDeadlyTime, maxExtraDeadlyTime = 12 * time.Second, 4 * time.Second
	// maxCrashDelay is the maximum time between the last bytes of a crashing server and the
	// break of its connections, maxExtraDownTime that between the end of its entry and its
	// return.
	maxCrashDelay    = 60 * time.Millisecond
	maxExtraDownTime = 1500 * time.Millisecond
	// crashAllowance is the number of crashes after which a part must be known to crash
	// servers, lateRunAllowance the number of requests with it that may reach servers later
	// than stableTime after that.
	crashAllowance, lateRunAllowance = 5, 3
	// maxListedRuns is the number of requests that a violation lists.
	maxListedRuns = lateRunAllowance + 1
	// minCompared is how many sound requests are needed on each side of a comparison.
	minCompared = 20
)

type (
	// deadlyRun is a request with deadlyPart that a server began to run.
	deadlyRun struct {
		at      time.Time
		outcome *outcome
		server  *backend
	}

	// startShare counts requests, and those that a server began to run.
	startShare struct{ sent, began int }
)

func (o *outcome) isDeadly() bool { return slices.Contains(o.parts, deadlyPart) }

// sendDeadlyPart makes every second caller send 5 to 10 % of its streamed requests with
// deadlyPart. It returns when the requests have ended. Only one such fault is active at a time.
func (s *Soak) sendDeadlyPart(r *rand.Rand) {
	s.mu.Lock()
	if s.deadlyActive {
		s.mu.Unlock()
		return
	}
	s.deadlyActive, s.deadlyShare = true, 0.05+0.05*r.Float64()
	s.mu.Unlock()
	s.pause(minDeadlyTime + time.Duration(r.Int64N(int64(maxExtraDeadlyTime))))
	s.mu.Lock()
	s.deadlyShare = 0
	s.deadlyEndedAt = time.Now()
	s.mu.Unlock()
	s.pause(callerTimeLimit + timeLimitTolerance)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlyActive = false
}

// currentDeadlyShare returns the fraction of a caller's streamed requests that have deadlyPart.
func (s *Soak) currentDeadlyShare(caller int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if caller%2 == 1 {
		return 0
	}
	return s.deadlyShare
}

// crashOnPart breaks the connections of a server, which then refuses connections until it is
// back at the same address, mostly with a new ID.
func (s *Soak) crashOnPart(b *backend) {
	if s.ctx.Err() != nil || b.crashed.Swap(true) {
		return
	}
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	random := rand.New(rand.NewPCG(s.Seed, uint64(len(s.crashes))))
	s.mu.Unlock()
	s.logf("%s crashes on the deadly part", b.id)
	s.activeFaults.Go(func() {
		s.pause(time.Duration(random.Int64N(int64(maxCrashDelay))))
		b.link.close()
		b.listener.CloseClientConnections()
		if b.replacing.Swap(true) {
			return // The fault that replaces the server also removes it.
		}
		s.pause(entryLapseTime)
		s.remove(b)
		s.pause(time.Duration(random.Int64N(int64(maxExtraDownTime))))
		id := ""
		if random.IntN(4) == 0 {
			id = b.id
		}
		if _, err := s.startBackend(b.service, id, b.link.address); err != nil && s.ctx.Err() == nil {
			s.violation("soak", "cannot start %s again: %v", b.id, err)
		}
	})
}

// crashesBefore returns the crashes before the given time, in order. Those before a time at
// which all instances were disrupted are left out, as their processes may have lost what they
// had learned.
func (s *Soak) crashesBefore(at time.Time) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.lastOutage(at)
	var crashes []time.Time
	for _, crash := range s.crashes {
		if crash.After(from) && crash.Before(at) {
			crashes = append(crashes, crash)
		}
	}
	return crashes
}

// lastOutage returns the last time up to at when every instance was within stableTime of a
// disruption, or the zero time.
func (s *Soak) lastOutage(at time.Time) time.Time {
	var last time.Time
	for _, i := range s.instances {
		for _, signalled := range i.disruptionTimes() {
			outage := !signalled.After(at) && !slices.ContainsFunc(s.instances, func(other *instance) bool {
				return !other.disruptedBetween(signalled.Add(-stableTime), signalled)
			})
			if outage && signalled.After(last) {
				last = signalled
			}
		}
	}
	return last
}

// checkDeadlyRuns checks that at most lateRunAllowance requests with deadlyPart reached servers
// later than stableTime after it had crashed crashAllowance servers.
func (s *Soak) checkDeadlyRuns(runs []deadlyRun) {
	slices.SortFunc(runs, func(a, b deadlyRun) int { return a.at.Compare(b.at) })
	late := make(map[time.Time][]string)
	for _, run := range runs {
		crashes := s.crashesBefore(run.at)
		if len(crashes) < crashAllowance || run.outcome.instance.disruptedBetween(run.at.Add(-stableTime), run.at) {
			continue
		}
		if known := crashes[crashAllowance-1]; run.at.After(known.Add(stableTime)) {
			late[known] = append(late[known], run.outcome.id+" of "+run.outcome.instance.name+" at "+run.server.id)
		}
	}
	for known, requests := range late {
		s.logf("%d requests with the deadly part reached servers later than %s after crash %d", len(requests), stableTime, crashAllowance)
		if len(requests) > lateRunAllowance {
			s.violation("deadly part", "%d requests reached servers later than %s after crash %d at %.3f s, first %s",
				len(requests), stableTime, crashAllowance, known.Sub(s.began).Seconds(), strings.Join(requests[:maxListedRuns], ", "))
		}
	}
}

// checkSoundRequests compares the sound requests that share their key and first part with deadly
// ones: once the part must be known, a server must begin them at least half as often as while
// no fault is active. The runs are counted by request ID.
func (s *Soak) checkSoundRequests(runs map[string]int) {
	var during, quiet startShare
	for _, o := range s.outcomes {
		switch {
		case !o.kind.streaming || o.isDeadly():
		case o.sentAt.After(s.quiet.from) && o.sentAt.Before(s.quiet.to):
			quiet.count(runs[o.id] > 0)
		case s.mustBeginBesideDeadly(o):
			during.count(runs[o.id] > 0)
		}
	}
	s.logf("sound requests that began: %d of %d beside deadly ones, %d of %d without faults", during.began, during.sent, quiet.began, quiet.sent)
	if min(during.sent, quiet.sent) >= minCompared && 2*during.began*quiet.sent < quiet.began*during.sent {
		s.violation("sound requests", "%d of %d began beside deadly ones, %d of %d without faults", during.began, during.sent, quiet.began, quiet.sent)
	}
}

// mustBeginBesideDeadly reports whether the request was sent while callers sent deadlyPart, from
// twice stableTime after the last crash that may be needed to learn it, and not disrupted.
func (s *Soak) mustBeginBesideDeadly(o *outcome) bool {
	crashes := s.crashesBefore(o.sentAt)
	if len(crashes) == 0 || !o.sentAt.Before(s.deadlyEndedAt) {
		return false
	}
	from := o.sentAt.Add(-stableTime)
	return o.sentAt.After(crashes[min(len(crashes), crashAllowance)-1].Add(2*stableTime)) &&
		!o.instance.disruptedBetween(from, o.endedAt) && !s.disruptedBetween(from, o.endedAt)
}

func (c *startShare) count(began bool) {
	c.sent++
	if began {
		c.began++
	}
}
