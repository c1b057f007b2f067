package marigoldcroft

import "time"

type (
	// Class groups work by its predicted cost.
	Class int
	// Action is what the caller of the scheduler must do with the work of a Decision.
	Action int
	// Reason is the cause of a decision; its value is a metric label.
	Reason string
)

// The classes of work.
const (
	ClassShort Class = iota
	ClassLong
	// ClassHuge is work that does not fit into the memory of one engine.
	ClassHuge
)

// The actions of a decision.
const (
	// ActionDispatch: send the work to the endpoint of the decision, on which the scheduler has
	// reserved memory for it.
	ActionDispatch Action = iota
	// ActionWait: the work is admitted and waits in the scheduler's queue.
	ActionWait
	// ActionRefuse: reject the work; it was not admitted and did not run.
	ActionRefuse
	// ActionExpire: end admitted work that can no longer meet its deadline; it did not run.
	ActionExpire
	// ActionRecall: cancel dispatched work that has no first token yet; the scheduler has queued
	// it again (preemption).
	ActionRecall
)

// The reasons of decisions. ReasonShed means that work was rejected under overload, as it
// would start too late or take queue space kept for more urgent work. ReasonLentRecalled
// means that long work was preempted to return capacity that was lent to it. ReasonStopping
// means that the work would not end before this instance stops; another instance can run it.
// ReasonPaused means that no endpoint takes requests before the deadline of the work.
// ReasonEvacuated means that every endpoint that could run the work is in a data centre that is
// evacuated, ReasonRegion that none is in a region in which the work may run, and ReasonYielded that
// the work gave way to other work that is costlier to delay.
const (
	ReasonNone          Reason = ""
	ReasonQueueFull     Reason = "queueFull"
	ReasonDeadline      Reason = "deadline"
	ReasonTooLarge      Reason = "tooLarge"
	ReasonNoEndpoint    Reason = "noEndpoint"
	ReasonShed          Reason = "shed"
	ReasonLentRecalled  Reason = "lentRecalled"
	ReasonMemory        Reason = "memory"
	ReasonEndpointGone  Reason = "endpointGone"
	ReasonLongSaturated Reason = "longSaturated"
	ReasonStopping      Reason = "stopping"
	ReasonPaused        Reason = "paused"
	ReasonEvacuated     Reason = "evacuated"
	ReasonRegion        Reason = "region"
	ReasonYielded       Reason = "yielded"
)

// String returns the metric label of the class.
func (c Class) String() string { return [...]string{"short", "long", "huge"}[c] }

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"dispatch", "wait", "refuse", "expire", "recall"}[a]
}

// Work describes one attempt of a request to the scheduler.
type Work struct {
	ID       StreamID
	Team     string
	Model    string
	Urgency  Urgency
	Weight   float64
	Deadline time.Time
	// PromptTokens is an estimate until an engine has counted the tokens.
	PromptTokens int64
	// OutputTokens is the largest number of tokens of the answer.
	OutputTokens int64
	// ExpectedOutputTokens is the caller's estimate of the output tokens, or 0 for none.
	ExpectedOutputTokens int64
	// Objective is the target time of the first token, or zero for none.
	Objective time.Time
	// PrefixHash is the hash of the prompt's first block, a hint for prefix-cache affinity, or
	// 0 for none.
	PrefixHash uint64
	// Rank is the priority of the request under overload, 0 first.
	Rank int
	// Regions are the only regions in which the work may run. Nil means any region, an empty slice
	// none.
	Regions []string
	// Exclude lists the endpoints on which earlier attempts failed.
	Exclude []string
	// Begun is true if an earlier attempt may have run. A planned stop does not refuse such work
	// for its length, as the caller would lose it, whereas other work runs at another instance.
	Begun bool
	// IsolateSuspect is true for a request suspected of crashing endpoints. It must run on an endpoint
	// where no other suspect runs.
	IsolateSuspect bool
}

// Decision is the scheduler's decision on one piece of work.
type Decision struct {
	ID       StreamID
	Action   Action
	Reason   Reason
	Endpoint string
	Class    Class
	Priority Priority
	// Helpers are other endpoints that prefill parts of the prompt.
	Helpers []string
	// HolderCount is the number of helpers, counted from the first, that also keep KV memory for
	// KVTokensPerHolder of the prompt each, because the prompt does not fit into one engine.
	HolderCount       int
	KVTokensPerHolder int64
	// PredictedStart, PredictedFirstToken and PredictedEnd are relative to the time of the
	// decision. PredictedEnd assumes the largest output and is 0 if nothing is known.
	PredictedStart      time.Duration
	PredictedFirstToken time.Duration
	PredictedEnd        time.Duration
	// RetryAfter is the delay after which the caller may retry. It is set with ActionRefuse
	// and for ReasonStopping and ReasonPaused.
	RetryAfter time.Duration
}

// Completion is the result of a finished attempt, from which the cost model learns.
type Completion struct {
	// Succeeded is false for failed and cancelled attempts, which the cost model ignores.
	Succeeded bool
	// NotSent is true for an attempt that was not sent to its endpoint. Nothing is learned from
	// it.
	NotSent      bool
	PromptTokens int64
	// CachedTokens is the number of prompt tokens that were in the engine's prefix cache.
	CachedTokens int64
	OutputTokens int64
	// FirstToken and Total are the times from the start of the attempt to its first token and
	// to its end.
	FirstToken time.Duration
	Total      time.Duration
}

// Scheduler decides where and when work runs. It is a deterministic state machine: the
// current time is passed to each call, and implementations perform no I/O. They are safe for
// concurrent use.
type Scheduler interface {
	// Submit admits the work and dispatches or queues it, or rejects it.
	Submit(now time.Time, work Work) Decision
	// Poll appends the decisions that are now due for work in the queue and for dispatched
	// work that is to be recalled.
	Poll(now time.Time, decisions []Decision) []Decision
	// FirstToken records that the attempt has returned its first token. It is not recalled
	// after that.
	FirstToken(now time.Time, id StreamID)
	// ObservePassTime records the shortest time between two events of the attempt's answer, which
	// is a measure of its endpoint's decoding speed.
	ObservePassTime(now time.Time, id StreamID, shortest time.Duration)
	// Finish releases everything that is held for the attempt. It must be called however the
	// attempt ends, whether it was queued or dispatched.
	Finish(now time.Time, id StreamID, completion Completion)
	// ObserveReport takes a load report that was requested at the local time requestedAt.
	ObserveReport(requestedAt time.Time, report LoadReport)
	// ObservePeer replaces the load that a peer instance has in flight on an endpoint.
	ObservePeer(now time.Time, peer, endpoint string, load InFlight)
	// SetEndpoints replaces the set of endpoints. Those that are leaving get no new work.
	SetEndpoints(now time.Time, endpoints []Endpoint)
	// SetMembers sets the instances of the data centre that share the endpoints, including
	// this one, self.
	SetMembers(now time.Time, self string, members []string)
	// StopBy announces that this instance ends all its work at the limit. Work that is
	// predicted to end later is refused, or expires if it is queued, with ReasonStopping. A
	// later call replaces the limit.
	StopBy(now, limit time.Time)
	// EndpointDown marks an endpoint as dead until a newer load report is observed.
	EndpointDown(now time.Time, endpoint string)
	// PauseEndpoint keeps new work from an endpoint until the given time; a later call can only
	// extend the pause. Work that could not start before its deadline because all endpoints are
	// paused is refused, or expires if it is queued, with ReasonPaused.
	PauseEndpoint(now time.Time, endpoint string, until time.Time)
	// Explain returns the decision that Submit would make, without admitting the work.
	Explain(now time.Time, work Work) Decision
	// InFlight returns this instance's own work by endpoint name.
	InFlight() map[string]InFlight
	// Queued returns the number of pieces of work in the queue.
	Queued() int
}

// InFlight is the work that one instance has in flight on one endpoint.
type InFlight struct {
	// Short and Long are numbers of requests by class.
	Short int
	Long  int
	// PrefillTokens is the number of prompt tokens still to be prefilled.
	PrefillTokens int64
	// KVTokens is the KV memory in use, in tokens.
	KVTokens int64
}
