package mcgateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"marigoldcroft"
	"marigoldcroft/mcledger"
	"marigoldcroft/mcsocket"
)

// maxServiceAttempts bounds the attempts of one repeatable call.
const maxServiceAttempts = 3

// forwardedHeaders are the only request headers that reach a plain service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// serviceCall is a validated call of a plain service.
type serviceCall struct {
	template marigoldcroft.Template
	// key is the caller's idempotency key. The key in call is prefixed with the team.
	key       string
	call      marigoldcroft.ServiceCall
	endpoints []marigoldcroft.Endpoint
}

// serveService calls a plain service. Repeatable calls are retried; at-most-once calls go
// through the ledger.
func (g *Gateway) serveService(x *exchange) *Problem {
	if g.Service == nil {
		return notRun(CodeNotFound, "this instance serves no plain services")
	}
	s, problem := g.decodeService(x)
	if problem != nil {
		return problem
	}
	deadline, problem := requestDeadline(x.r.Header, x.start, s.template)
	if problem != nil {
		return problem
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), deadline)
	defer cancel()
	mcsocket.LimitWrite(x.w, deadline)
	ctx, span := g.Tracer.Start(ctx, "service call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("service", s.template.Service())))
	defer span.End()
	if g.cannotEndBeforeStop(s) {
		x.notRunCoversKey = s.template.Repeat() != marigoldcroft.RepeatAtMostOnce
		g.Metrics.Refusals.WithLabelValues(string(marigoldcroft.ReasonStopping)).Inc()
		return stoppingProblem()
	}
	if problem := g.admitService(x); problem != nil {
		return problem
	}
	defer g.finishService(x)
	if s.template.Repeat() == marigoldcroft.RepeatAtMostOnce {
		return g.runAtMostOnce(ctx, x, s)
	}
	return g.runRepeatable(ctx, x, s)
}

func (g *Gateway) decodeService(x *exchange) (*serviceCall, *Problem) {
	t, problem := selectTemplate(x, "")
	if problem != nil {
		return nil, problem
	}
	service := x.r.PathValue("service")
	if t.Service() != service {
		return nil, notRun(CodeBadRequest, "template "+t.Name()+" is not for the service "+strconv.Quote(service))
	}
	body, problem := g.readBody(x)
	if problem != nil {
		return nil, problem
	}
	key := x.r.Header.Get(headerKey)
	if key == "" && t.Repeat() == marigoldcroft.RepeatAtMostOnce {
		return nil, notRun(CodeBadRequest, "header "+headerKey+" is needed: template "+t.Name()+" runs at most once")
	}
	path := "/" + x.r.PathValue("path")
	if x.r.URL.RawQuery != "" {
		path += "?" + x.r.URL.RawQuery
	}
	serviceKey := key
	if key != "" {
		// Equal keys of different teams must differ for a service that stores keys itself.
		serviceKey = x.team.Name() + "/" + key
	}
	header := make(http.Header)
	for _, name := range forwardedHeaders {
		if value := x.r.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	return &serviceCall{
		template:  t,
		key:       key,
		call:      marigoldcroft.ServiceCall{RequestID: x.id, Key: serviceKey, Method: x.r.Method, Path: path, Header: header, Body: body},
		endpoints: g.ServiceEndpoints(service),
	}, nil
}

// withdrawNotRun sets the outcome of a refusal to unknown if the ledger was not read: an
// earlier request with the same key may have run.
func withdrawNotRun(x *exchange, problem *Problem) {
	if x.r.Header.Get(headerKey) != "" && !x.notRunCoversKey && problem.NotRun {
		problem.NotRun, problem.Outcome = false, OutcomeUnknown
	}
}

// cannotEndBeforeStop reports whether a planned stop is predicted to cut off the call.
func (g *Gateway) cannotEndBeforeStop(s *serviceCall) bool {
	return g.stop.IsOver(time.Now().Add(g.calls.timeForStop(s.template.Service(), len(s.endpoints))))
}

// admitService applies the team's limits.
func (g *Gateway) admitService(x *exchange) *Problem {
	if g.TeamLimits == nil {
		return nil
	}
	verdict := g.TeamLimits.Admit(time.Now(), x.team, 0, false)
	if verdict.Allowed() {
		return nil
	}
	g.Metrics.Refusals.WithLabelValues(string(verdict.Reason)).Inc()
	return notRun(CodeTeamLimit, "refused by the limit "+string(verdict.Reason)+" of the team").withRetryAfter(verdict.RetryAfter)
}

func (g *Gateway) finishService(x *exchange) {
	if g.TeamLimits != nil {
		g.TeamLimits.Finish(time.Now(), x.team.Name(), 0, 0, false)
	}
}

// runRepeatable tries the endpoints one after another.
func (g *Gateway) runRepeatable(ctx context.Context, x *exchange, s *serviceCall) *Problem {
	x.notRunCoversKey = true
	problem := notRun(CodeOverloaded, "no endpoint serves this service now")
	for i, endpoint := range s.endpoints {
		if i == maxServiceAttempts || i > 0 && !g.retries.TryConsume(time.Now(), s.template.Service()) {
			break
		}
		var answer marigoldcroft.ServiceAnswer
		var err error
		g.calls.measure(s.template.Service(), endpoint.Name(), func() bool {
			answer, err = g.Service.Call(ctx, endpoint, s.call)
			return err == nil
		})
		if err == nil {
			g.retries.CountSuccess(time.Now(), s.template.Service())
			writeAnswer(x.w, answer)
			return nil
		}
		g.Metrics.Attempts.WithLabelValues("serviceFailed").Inc()
		if ctx.Err() != nil {
			return failed(CodeDeadline, "the request's time ended before the service answered")
		}
		problem = failed(CodeUpstreamFailed, err.Error())
	}
	return problem
}

// runAtMostOnce runs the call through the ledger.
func (g *Gateway) runAtMostOnce(ctx context.Context, x *exchange, s *serviceCall) *Problem {
	first := ""
	if len(s.endpoints) > 0 {
		first = s.endpoints[0].Name()
	}
	var result mcledger.Result
	g.calls.measure(s.template.Service(), first, func() bool {
		result = g.ActionExecutor.Execute(ctx, mcledger.Call{
			Key:  marigoldcroft.NewActionKey(x.team.Name(), s.template.Service(), s.key),
			Call: s.call, Endpoints: s.endpoints,
		})
		return result.Kind == mcledger.ResultRan
	})
	g.Metrics.Actions.WithLabelValues(string(result.Kind)).Inc()
	if result.Kind == mcledger.ResultRan || result.Kind == mcledger.ResultRecorded {
		x.w.Header().Set("X-Action", string(result.Kind))
		if result.BodyOmitted {
			x.w.Header().Set("X-Body-Omitted", "true")
		}
		writeAnswer(x.w, result.Answer)
		return nil
	}
	x.notRunCoversKey = true
	_, code := result.HTTPStatus()
	message := "the action: " + string(result.Kind)
	if result.Err != nil {
		message += ": " + result.Err.Error()
	}
	return &Problem{Code: actionCode(result.Kind, code), Message: message, NotRun: result.NotRun, Outcome: Outcome(result.Outcome())}
}

// actionCode returns an error code that distinguishes an unknown outcome and a running
// action from a failed endpoint.
func actionCode(kind mcledger.ResultKind, code string) Code {
	switch kind {
	case mcledger.ResultUnknown:
		return CodeOutcomeUnknown
	case mcledger.ResultInFlight:
		return CodeInFlight
	}
	return Code(code)
}

func writeAnswer(w http.ResponseWriter, answer marigoldcroft.ServiceAnswer) {
	if contentType := answer.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.WriteHeader(answer.Status)
	// An error means that the caller has disconnected; it is ignored.
	_, _ = w.Write(answer.Body)
}
