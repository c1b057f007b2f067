package mcsoak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// timeLimitTolerance is how long after its time limit a request may end.
	timeLimitTolerance = 500 * time.Millisecond
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

// refusalStatuses are the response statuses that guarantee that the request has not run and
// never will.
var refusalStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// violation adds the violation of a guarantee to the report, with the time since the start.
func (s *Soak) violation(promise, format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.report.Broken) < maxBroken {
		s.report.Broken = append(s.report.Broken, fmt.Sprintf("%.3f s %s: ", time.Since(s.began).Seconds(), promise)+fmt.Sprintf(format, arguments...))
	}
}

// checkOutcome checks a single outcome and records it for the checks after the run.
func (s *Soak) checkOutcome(o *outcome) {
	s.mu.Lock()
	s.outcomes[o.id] = o
	s.report.count(o)
	s.mu.Unlock()
	where := o.id + " " + o.path + " at " + o.instance.name
	if o.endedAt.Sub(o.sentAt) > callerTimeLimit+timeLimitTolerance && !s.disrupted(o.instance, o.sentAt) {
		s.violation("time limit", "%s ended after %s", where, o.endedAt.Sub(o.sentAt))
	}
	if o.status >= 200 && o.status < 300 {
		s.checkSuccess(o, where)
	}
	if (o.status == http.StatusNotFound || o.status == http.StatusUnauthorized) && o.key == steadyKey {
		s.violation("configuration", "%s got status %d, although all configurations have its route and key", where, o.status)
	}
}

func (s *Soak) checkSuccess(o *outcome, where string) {
	switch {
	case !o.hasReceipt:
		s.violation("whole answers", "%s got status %d without a receipt", where, o.status)
	case o.kind.streaming:
		ids, valid := o.events()
		for n, id := range ids {
			valid = valid && id == n+1
		}
		if !valid || o.complete && len(ids) != streamEvents {
			s.violation("whole answers", "%s got events %v, complete=%t: %q", where, ids, o.complete, tail(o.responseBody))
		}
	case o.complete && o.responseBody != "answer to "+o.id:
		s.violation("whole answers", "%s got %q", where, tail(o.responseBody))
	}
}

// tail returns the last 100 bytes of a text.
func tail(text string) string { return text[max(0, len(text)-100):] }

// disrupted reports whether the instance was signalled, or any process, link or the store was
// disrupted, at any time since stableTime before the given time.
func (s *Soak) disrupted(i *instance, at time.Time) bool {
	return i.disruptedSince(at.Add(-stableTime)) || s.disruptedBetween(at.Add(-stableTime), time.Now())
}

// checkRuns compares the requests that servers ran with the outcomes that callers saw. It is
// called when all callers have stopped.
func (s *Soak) checkRuns() {
	runs := make(map[string]int)
	var deadlyRuns []deadlyRun
	for _, b := range s.currentAndRemovedServers() {
		for _, run := range b.server.Runs() {
			runs[run.ID]++
			o := s.outcomes[run.ID]
			if o == nil {
				continue // A probe, or a request that was still open when callers stopped.
			}
			if run.HasPart(deadlyPart) {
				deadlyRuns = append(deadlyRuns, deadlyRun{at: run.Time, outcome: o, server: b})
			}
			where := fmt.Sprintf("%s of %s at %s", o.id, o.instance.name, b.id)
			switch {
			case run.Method != http.MethodPost || run.Target != o.path || run.Body != o.body:
				s.violation("unchanged requests", "%s ran as %s %s with %d bytes, sent with %d", where, run.Method, run.Target, len(run.Body), len(o.body))
			case run.Team() != team || run.KeyPassed():
				s.violation("keys", "%s ran for team %q", where, run.Team())
			case b.service != o.kind.service:
				s.violation("routes", "%s ran at service %s", where, b.service)
			case s.revokedBefore(o.key, o.sentAt.Add(-revokeLimit)):
				s.violation("keys", "%s ran with a key that was revoked more than %s before it was sent", where, revokeLimit)
			}
		}
		s.checkLeaving(b)
		s.checkCold(b)
	}
	s.checkRunCounts(runs)
	s.checkEvacuations()
	s.checkDeadlyRuns(deadlyRuns)
	s.checkSoundRequests(runs)
}

// checkRunCounts compares how often each request ran with the outcome that its caller saw.
func (s *Soak) checkRunCounts(runs map[string]int) {
	for id, n := range runs {
		o := s.outcomes[id]
		switch {
		case o == nil:
		case o.sentAt.After(s.rollingRestart.from) && o.sentAt.Before(s.rollingRestart.to) && !o.complete:
			s.violation("planned stops", "%s %s at %s ran and ended with status %d and an incomplete response", id, o.path, o.instance.name, o.status)
		case !o.kind.atMostOnce && !o.isDeadly():
		case o.kind.atMostOnce && n > 1:
			s.violation("at most once", "%s at %s ran %d times", id, o.instance.name, n)
		case refusalStatuses[o.status]:
			s.violation("not run", "%s at %s got status %d but ran", id, o.instance.name, o.status)
		}
	}
}

// checkLeaving checks that a leaving server got no request after leavingLimit, unless a
// disruption may have delayed the news of its state.
func (s *Soak) checkLeaving(b *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lateRequests) > 0 && !s.disruptedBetween(b.leavingAt.Add(-stableTime), b.leavingAt.Add(leavingTime)) {
		s.violation("leaving servers", "%s got requests %s later than %s after it began to leave", b.id, strings.Join(b.lateRequests, ", "), leavingLimit)
	}
}

// checkRecovery checks that each instance serves requests again within recoverLimit of the last
// fault, and that its resident memory is within memoryMB.
func (s *Soak) checkRecovery() {
	deadline := time.Now().Add(recoverLimit)
	for _, i := range s.instances {
		for n := 0; ; n++ {
			o := &outcome{id: fmt.Sprintf("end-%s-%d", i.name, n), kind: requestKinds[0], instance: i, key: steadyKey, path: "/read/end"}
			o.send(s.ctx, transport)
			if o.status == http.StatusOK && o.complete {
				break
			}
			if s.ctx.Err() != nil {
				return
			}
			if time.Now().After(deadline) {
				s.violation("recovery", "%s still responds with status %d more than %s after the last fault", i.name, o.status, recoverLimit)
				break
			}
			s.pause(pollInterval)
		}
		if mb := i.residentMB(); mb > memoryMB {
			s.violation("memory", "%s has %d MB of resident memory, limit %d MB", i.name, mb, memoryMB)
		}
	}
}
