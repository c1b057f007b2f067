package mcsoak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// lateLimit is how much later than its time limit a request may end.
	lateLimit = 500 * time.Millisecond
	// revokeLimit and convergeLimit are revoke-ms and converge-ms of the users' sites,
	// leavingLimit their drain-ms, recoverLimit their recover-s and stableTime their stable-ms.
	revokeLimit   = 5 * time.Second
	convergeLimit = 2 * time.Second
	leavingLimit  = 2 * time.Second
	recoverLimit  = 12 * time.Second
	stableTime    = 3 * time.Second
	// maxBroken bounds the broken promises that a report lists.
	maxBroken = 20
)

// refusals are the statuses that promise that the request did not run and never will.
var refusals = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// broken notes a broken promise.
func (s *Soak) broken(promise, format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.report.Broken) < maxBroken {
		s.report.Broken = append(s.report.Broken, fmt.Sprintf("%.3f s %s: ", time.Since(s.began).Seconds(), promise)+fmt.Sprintf(format, arguments...))
	}
}

// judge checks an outcome by itself and keeps it for the checks at the end.
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
		s.broken("configuration", "%s got status %d, which no configuration allows", where, o.status)
	}
}

func (s *Soak) judgeSuccess(o *outcome, where string) {
	switch {
	case !o.hasReceipt:
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

// tail returns the end of a text, for a report.
func tail(text string) string { return text[max(0, len(text)-100):] }

// harmed tells whether the instance or its links were harmed at any time since shortly
// before a moment.
func (s *Soak) harmed(i *instance, at time.Time) bool {
	return i.harmedSince(at.Add(-stableTime)) || s.anyHarm(at.Add(-stableTime), time.Now())
}

// judgeRuns checks at the end what the servers ran.
func (s *Soak) judgeRuns() {
	runs := make(map[string]int)
	for _, b := range s.everyServer() {
		for _, run := range b.server.Runs() {
			runs[run.ID]++
			o := s.outcomes[run.ID]
			if o == nil {
				continue // Its caller was still waiting at the end.
			}
			where := fmt.Sprintf("%s of %s at %s", o.id, o.instance.name, b.id)
			switch {
			case run.Method != http.MethodPost || run.Target != o.path || run.Body != o.body:
				s.broken("unchanged requests", "%s ran as %s %s with %d of %d bytes", where, run.Method, run.Target, len(run.Body), len(o.body))
			case run.Team() != team || run.KeyPassed():
				s.broken("keys", "%s ran for team %q", where, run.Team())
			case b.service != o.kind.service:
				s.broken("routes", "%s ran at service %s", where, b.service)
			case s.revokedBefore(o.key, o.sentAt.Add(-revokeLimit)):
				s.broken("keys", "%s ran with a key that was taken away more than %s before", where, revokeLimit)
			}
		}
		s.judgeLeaving(b)
	}
	for id, n := range runs {
		o := s.outcomes[id]
		switch {
		case o == nil:
		case o.sentAt.After(s.stops.from) && o.sentAt.Before(s.stops.to) && !o.whole:
			s.broken("planned stops", "%s %s at %s ran and ended with status %d and a part of its answer", id, o.path, o.instance.name, o.status)
		case !o.kind.once:
		case n > 1:
			s.broken("at most once", "%s at %s ran %d times", id, o.instance.name, n)
		case refusals[o.status]:
			s.broken("not run", "%s at %s got status %d and ran", id, o.instance.name, o.status)
		}
	}
}

// judgeLeaving checks that a server which leaves got nothing new while nothing was harmed.
func (s *Soak) judgeLeaving(b *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.late) > 0 && !s.anyHarm(b.leavingAt.Add(-stableTime), b.leavingAt.Add(leavingTime)) {
		s.broken("leaving servers", "%s got %s later than %s", b.id, strings.Join(b.late, ", "), leavingLimit)
	}
}

// judgeRecovery checks that each instance serves again after the last fault.
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
				s.broken("recovery", "%s answers with status %d %s after the last fault", i.name, o.status, recoverLimit)
				break
			}
			s.pause(probePause)
		}
		if mb := i.residentMB(); mb > memoryMB {
			s.broken("memory", "%s holds %d MB of %d", i.name, mb, memoryMB)
		}
	}
}
