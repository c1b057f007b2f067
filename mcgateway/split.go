package mcgateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcquarantine"
)

const (
	// maxRunningSegments bounds the segments of one request that run at once. The design
	// allows 4, but each one may crash an endpoint before the first crash is known, and
	// one fingerprint must not crash more than 3.
	maxRunningSegments = 3
	// minSegmentRetry is the minimum wait before a refused segment is tried again.
	minSegmentRetry = 100 * time.Millisecond
)

type (
	// splitRun is the state that the segments of one request share.
	splitRun struct {
		run       *run
		startedAt time.Time
		// splitPart has the fingerprints of the message that is split if other prompts may share it.
		splitPart []mcquarantine.Fingerprint
		// exclusive is locked for writing by a segment that runs while the request is a
		// crash suspect, and for reading by all others.
		exclusive sync.RWMutex

		mu sync.Mutex
		// mayHaveRun is true once any segment may have run.
		mayHaveRun bool
		// sent is true once any segment was sent to an engine.
		sent bool
		ends []answerEnd
	}

	// segmentOutput collects the answer of one segment.
	segmentOutput struct {
		textSink

		split *splitRun
	}
)

func (o *segmentOutput) beforeSend() bool {
	if !o.split.run.out.beforeSend() {
		return false
	}
	o.split.mu.Lock()
	defer o.split.mu.Unlock()
	o.split.sent = true
	return true
}

// split runs the segments of a request that no engine can hold, and combines their
// answers. The first segment that fails permanently cancels the others.
func (r *run) split(ctx context.Context) *Problem {
	r.class = marigoldcroft.ClassHuge
	parts, problem := r.gateway.segments(r.request)
	if problem != nil {
		return problem
	}
	s := &splitRun{run: r, startedAt: time.Now(), splitPart: r.request.longestPart(), ends: make([]answerEnd, len(parts))}
	answers := make([]string, len(parts))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxRunningSegments)
	for i, messages := range parts {
		group.Go(func() error {
			problem := s.runSegment(groupCtx, i, messages, &answers[i])
			if problem != nil {
				return problem
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return r.splitProblem(ctx, s, err)
	}
	s.proveSplitPart()
	return s.combine(ctx, answers)
}

// proveSplitPart records that all segments of the message that was split were answered.
func (s *splitRun) proveSplitPart() {
	g := s.run.gateway
	if g.Quarantine == nil || len(s.splitPart) == 0 {
		return
	}
	if cleared := g.Quarantine.PartAnswered(time.Now(), s.startedAt, s.splitPart...); len(cleared) > 0 {
		g.background(announceTimeout, func(ctx context.Context) { g.announce(ctx, cleared) })
	}
}

// splitProblem returns the problem of the segment that failed first, or a problem of the
// deadline once the request's context has ended.
func (r *run) splitProblem(ctx context.Context, s *splitRun, err error) *Problem {
	r.mayHaveRun = r.mayHaveRun || s.mayHaveRun
	problem, ok := err.(*Problem)
	if !ok || ctx.Err() != nil {
		problem = notRun(CodeDeadline, "the request's time ended before all segments were done")
	}
	return r.correctNotRun(problem)
}

// runSegment runs one segment until it succeeds, fails permanently or the deadline
// passes. While it waits for its next try it holds no resources.
func (s *splitRun) runSegment(ctx context.Context, i int, messages []marigoldcroft.Message, answer *string) *Problem {
	for try := 1; ; try++ {
		if ctx.Err() != nil {
			return notRun(CodeDeadline, "another segment failed")
		}
		out := &segmentOutput{split: s}
		r := s.newSegmentRun(fmt.Sprintf("s%d.%d", i+1, try), messages, out)
		// The boundaries of segments depend on the rest of the prompt, so that the text of a segment
		// is not shared by other requests with the message.
		r.request.parts, r.request.splitPart = s.run.request.parts, s.splitPart
		r.discard = func() bool { out.text.Reset(); return true }
		problem := s.generateSegment(ctx, r)
		s.recordEnd(r, i)
		if problem == nil {
			*answer = out.text.String()
			return nil
		}
		if !s.mayRetry(r, problem) {
			return problem
		}
		mcclock.Sleep(ctx, max(minSegmentRetry, time.Duration(problem.RetryAfterMs)*time.Millisecond))
	}
}

// newSegmentRun returns a run of a part of the request: a segment, or the combination of
// the segments' answers.
func (s *splitRun) newSegmentRun(suffix string, messages []marigoldcroft.Message, out output) *run {
	g, request := s.run.gateway, *s.run.request
	request.id = request.origin + "-" + suffix
	if request.hop > 0 {
		request.id = fmt.Sprintf("%s-hop%d-%s", request.origin, request.hop, suffix)
	}
	request.messages, request.segment = messages, true
	request.promptTokens = g.tokens.estimate(request.template.Model(), messages)
	request.prefixHash, request.parts = prefixHint(messages), sharedParts(request.template.Model(), messages)
	s.mu.Lock()
	defer s.mu.Unlock()
	return &run{gateway: g, request: &request, out: out, mayHaveRun: s.mayHaveRun, siblingSent: s.sent}
}

// recordEnd records what the end of a segment means for the whole request.
func (s *splitRun) recordEnd(r *run, i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mayHaveRun = s.mayHaveRun || r.mayHaveRun || r.started
	s.ends[i] = r.end
}

// mayRetry reports whether a refused segment is tried again: once any segment may have
// run, the request counts as admitted, and admitted work is not shed. A planned stop that took
// the segment for work that has not begun judges it again.
func (s *splitRun) mayRetry(r *run, problem *Problem) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if problem.Code == CodeStopping {
		return s.sent && !r.siblingSent && !r.mayHaveRun
	}
	return s.mayHaveRun && problem.Code == CodeOverloaded && problem.RetryAfterMs > 0
}

// combine generates the answer to the whole request from the segments' answers.
func (s *splitRun) combine(ctx context.Context, answers []string) *Problem {
	r := s.run
	last := s.newSegmentRun("c", r.request.combineMessages(answers), r.out)
	last.mayHaveRun, last.discard = true, r.discard
	problem := last.generate(ctx)
	r.end = last.end
	for _, end := range s.ends {
		r.end.promptTokens += end.promptTokens
		r.end.outputTokens += end.outputTokens
	}
	return problem
}

// combineMessages returns the prompt that combines the segments' answers.
func (r *modelRequest) combineMessages(answers []string) []marigoldcroft.Message {
	var text strings.Builder
	for i, answer := range answers {
		fmt.Fprintf(&text, "Part %d of %d:\n%s\n\n", i+1, len(answers), answer)
	}
	return []marigoldcroft.Message{
		{Role: "system", Content: r.template.CombinePrompt()},
		{Role: "user", Content: text.String()},
	}
}

// generateSegment makes the attempts of one segment. While the request is a crash
// suspect, its segments run one at a time, as each may crash an endpoint.
func (s *splitRun) generateSegment(ctx context.Context, r *run) *Problem {
	if !r.isSuspect() {
		s.exclusive.RLock()
		problem := r.generate(ctx)
		s.exclusive.RUnlock()
		if !r.suspended {
			return problem
		}
	}
	s.exclusive.Lock()
	defer s.exclusive.Unlock()
	r.serial, r.suspended = true, false
	if problem, done := r.forwardSuspect(ctx); done {
		return problem
	}
	return r.generate(ctx)
}

// isSuspect reports whether the request is suspected of crashing an endpoint.
func (r *run) isSuspect() bool {
	quarantine := r.gateway.Quarantine
	return quarantine != nil && quarantine.Check(time.Now(), r.request.fingerprint) == mcquarantine.VerdictExclusive
}
