package mcgateway

import (
	"context"
	"fmt"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcrecover"
)

// defaultLongTokens is the prompt length from which a request counts against its team's
// share of long work. Team limits apply before the scheduler predicts a class.
const defaultLongTokens = 16_000

// execute runs a caller's request within the limits of its team.
func (g *Gateway) execute(ctx context.Context, x *exchange, request *modelRequest, out sink) (answerEnd, *Problem) {
	release, problem := g.admit(request)
	if problem != nil {
		return answerEnd{}, problem
	}
	result := g.joinOrRun(ctx, request, out)
	x.class = result.class.String()
	release(result)
	return result.end, result.problem
}

// admit checks the quarantine and the team's limits. The function that it returns
// replaces the estimated charge with the tokens that the request used.
func (g *Gateway) admit(request *modelRequest) (func(flightResult), *Problem) {
	if problem := g.checkQuarantine(request); problem != nil {
		return nil, problem
	}
	if g.TeamLimits == nil {
		return func(flightResult) {}, nil
	}
	charged := request.promptTokens + request.outputTokens
	long := request.promptTokens >= defaultLongTokens
	if verdict := g.TeamLimits.Admit(time.Now(), request.team, charged, long); !verdict.Allowed() {
		g.Metrics.Refusals.WithLabelValues(string(verdict.Reason)).Inc()
		return nil, notRun(CodeTeamLimit, "limit of the team: "+string(verdict.Reason)).withRetryAfter(verdict.RetryAfter)
	}
	return func(result flightResult) {
		g.TeamLimits.Finish(time.Now(), request.team.Name(), charged, result.used(charged), long)
	}, nil
}

// quarantinedProblem returns a problem with the ID by which an operator can end the
// quarantine.
func quarantinedProblem(f mcquarantine.Fingerprint) *Problem {
	return notRun(CodeQuarantined, fmt.Sprintf("this request crashed endpoints and is not run again until quarantine %016x ends", uint64(f)))
}

// flightResult is the result of a flight for one caller.
type flightResult struct {
	end     answerEnd
	class   marigoldcroft.Class
	problem *Problem
	joined  bool
}

// used returns the number of tokens to charge: none for a joiner or for work that did not
// run, the charged estimate for work that failed, and else the engine's count.
func (r flightResult) used(charged int64) int64 {
	switch {
	case r.joined, r.problem != nil && r.problem.NotRun:
		return 0
	case r.problem != nil:
		return charged
	}
	return int64(r.end.promptTokens + r.end.outputTokens)
}

// joinOrRun joins an identical request that is running, or runs the request itself. If
// the joined one had an earlier deadline and timed out without output, the request starts
// over.
func (g *Gateway) joinOrRun(ctx context.Context, request *modelRequest, out sink) flightResult {
	key := request.joinKey()
	for {
		f, joined, problem := g.flights.joinOrAdd(key, request)
		if problem != nil {
			return flightResult{problem: problem}
		}
		if joined {
			g.Metrics.Joined.Inc()
		} else {
			g.launch(ctx, f, key, request)
		}
		n, end, problem := f.follow(ctx, out)
		expiredEarlier := joined && n == 0 && f.deadline.Before(request.deadline)
		if expiredEarlier && problem != nil && problem.Code == CodeDeadline && ctx.Err() == nil {
			continue
		}
		return flightResult{end: end, class: f.classOf(), problem: problem, joined: joined}
	}
}

// launch runs the request on its own goroutine. The run is cancelled when all joiners
// have left.
func (g *Gateway) launch(ctx context.Context, f *flight, key string, request *modelRequest) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.cancel = cancel
	g.active.Add(1)
	go func() {
		defer g.active.Done()
		defer cancel()
		r := &run{gateway: g, request: request, out: f, discard: f.discard}
		var problem *Problem
		if err := mcrecover.Call(g.Logger, "request", func() error {
			problem = r.route(ctx)
			return nil
		}); err != nil {
			problem = failed(CodeInternal, "the request failed unexpectedly")
		}
		g.flights.remove(key, f)
		f.finish(r.end, problem, r.class)
	}()
}

func (f *flight) classOf() marigoldcroft.Class {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.class
}
