package mcsoak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// lateLimit is how long after its time limit a request may end.
	lateLimit = 500 * time.Millisecond
	// revokeLimit is revoke-ms of the users' sites: how long after its revocation a key may
	// still be used.
	revokeLimit = 5 * time.Second
	// convergeLimit is converge-ms of the users' sites.
	convergeLimit = 2 * time.Second
	// leavingLimit is drain-ms of the users' sites: how long a leaving server may still get new
	// requests.
	leavingLimit = 2 * time.Second
	// recoverLimit is recover-s of the users' sites: how long after the last fault all
	// instances must serve again.
	recoverLimit = 12 * time.Second
	// stableTime is stable-ms of the users' sites. The checks of time limits and of leaving
	// servers do not apply until this long after a disruption.
	stableTime = 3 * time.Second
	// maxBroken is the maximum number of violations that a report lists.
	maxBroken = 20
)

// refusals are the response statuses that guarantee that the request has not run and never
// will.
var refusals = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// broken adds the violation of a guarantee to the report, with the time since the start.
func (s *Soak) broken(promise, format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.report.Broken) < maxBroken {
		s.report.Broken = append(s.report.Broken, fmt.Sprintf("%.3f s %s: ", time.Since(s.began).Seconds(), promise)+fmt.Sprintf(format, arguments...))
	}
}

// judge checks a single outcome and records it for the checks after the run.
func (s *Soak) judge(o *outcome) {
	s.mu.Lock()
	s.outcomes[o.id] = o
	s.report.count(o)
	s.mu.Unlock()
	where := o.id + " " + o.path + " at " + o.instance.name
	if o.endedAt.Sub(o.sentAt) > callerTime+lateLimit && !s.harmed(o.instance, o.sentAt) {
		s.broken("time limit", "%s ended after %s", where, o.endedAt.Sub(o.sentAt))
	}
	if o.status >= 200 && o.status < 300 {
		s.judgeSuccess(o, where)
	}
	if (o.status == http.StatusNotFound || o.status == http.StatusUnauthorized) && o.key == steadyKey {
		s.broken("configuration", "%s got status %d, although all configurations have its route and key", where, o.status)
	}
}

func (s *Soak) judgeSuccess(o *outcome, where string) {
	switch {
	case !o.sealed:
		s.broken("whole answers", "%s got status %d without a receipt", where, o.status)
	case o.kind.streaming:
		ids, sound := o.events()
		for n, id := range ids {
			sound = sound && id == n+1
		}
		if !sound || o.whole && len(ids) != streamEvents {
			s.broken("whole answers", "%s got events %v, whole=%t: %q", where, ids, o.whole, tail(o.answer))
		}
	case o.whole && o.answer != "answer to "+o.id:
		s.broken("whole answers", "%s got %q", where, tail(o.answer))
	}
}

// tail returns the last 100 bytes of a text.
func tail(text string) string { return text[max(0, len(text)-100):] }

// harmed reports whether the instance was signalled, or any process, link or the store was
// disrupted, at any time since stableTime before the given time.
func (s *Soak) harmed(i *instance, at time.Time) bool {
	return i.harmedSince(at.Add(-stableTime)) || s.anyHarm(at.Add(-stableTime), time.Now())
}

// judgeRuns compares the requests that servers ran with the outcomes that callers saw. It is
// called when all callers have stopped.
func (s *Soak) judgeRuns() {
	runs := make(map[string]int)
	for _, b := range s.everyServer() {
		for _, run := range b.server.Runs() {
			runs[run.ID]++
			o := s.outcomes[run.ID]
			if o == nil {
				continue // A probe, or a request that was still open when callers stopped.
			}
			where := fmt.Sprintf("%s of %s at %s", o.id, o.instance.name, b.id)
			switch {
			case run.Method != http.MethodPost || run.Target != o.path || run.Body != o.body:
				s.broken("unchanged requests", "%s ran as %s %s with %d bytes, sent with %d", where, run.Method, run.Target, len(run.Body), len(o.body))
			case run.Team() != team || run.KeyPassed():
				s.broken("keys", "%s ran for team %q", where, run.Team())
			case b.service != o.kind.service:
				s.broken("routes", "%s ran at service %s", where, b.service)
			case s.revokedBefore(o.key, o.sentAt.Add(-revokeLimit)):
				s.broken("keys", "%s ran with a key that was revoked more than %s before it was sent", where, revokeLimit)
			}
		}
		s.judgeLeaving(b)
	}
	for id, n := range runs {
		o := s.outcomes[id]
		switch {
		case o == nil:
		case o.sentAt.After(s.stops.from) && o.sentAt.Before(s.stops.to) && !o.whole:
			s.broken("planned stops", "%s %s at %s ran and ended with status %d and an incomplete response", id, o.path, o.instance.name, o.status)
		case !o.kind.once:
		case n > 1:
			s.broken("at most once", "%s at %s ran %d times", id, o.instance.name, n)
		case refusals[o.status]:
			s.broken("not run", "%s at %s got status %d but ran", id, o.instance.name, o.status)
		}
	}
}

// judgeLeaving checks that a leaving server got no request after leavingLimit, unless a
// disruption may have delayed the news of its state.
func (s *Soak) judgeLeaving(b *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.late) > 0 && !s.anyHarm(b.leavingAt.Add(-stableTime), b.leavingAt.Add(leavingTime)) {
		s.broken("leaving servers", "%s got requests %s later than %s after it began to leave", b.id, strings.Join(b.late, ", "), leavingLimit)
	}
}

// judgeRecovery checks that each instance serves requests again within recoverLimit of the last
// fault, and that its resident memory is within memoryMB.
func (s *Soak) judgeRecovery() {
	deadline := time.Now().Add(recoverLimit)
	for _, i := range s.instances {
		for n := 0; ; n++ {
			o := &outcome{id: fmt.Sprintf("end-%s-%d", i.name, n), kind: kinds[0], instance: i, key: steadyKey, path: "/read/end"}
			o.send(s.ctx, transport)
			if o.status == http.StatusOK && o.whole {
				break
			}
			if s.ctx.Err() != nil {
				return
			}
			if time.Now().After(deadline) {
				s.broken("recovery", "%s still responds with status %d more than %s after the last fault", i.name, o.status, recoverLimit)
				break
			}
			s.pause(probePause)
		}
		if mb := i.residentMB(); mb > memoryMB {
			s.broken("memory", "%s has %d MB of resident memory, limit %d MB", i.name, mb, memoryMB)
		}
	}
}
