package marigoldcroft

import (
	"context"
	"net/http"
	"time"
)

type (
	// ForwardCall is a caller's request that is forwarded to an endpoint unchanged.
	ForwardCall struct {
		// ID is the request id that the caller set; each retry by the caller has its own.
		ID string
		// Key is the API key that identifies the team; it is never forwarded.
		Key string
		// TimeLimit is how long the caller waits for the answer, or 0 if it set no limit.
		TimeLimit time.Duration
		// PromptTokens and OutputTokens are the caller's token counts, 0 for a plain service.
		PromptTokens int64
		OutputTokens int64
		// ExpectedOutputTokens is the caller's estimate of the output tokens, or 0 for none.
		ExpectedOutputTokens int64
		// SharedParts identifies, in order, the parts of the prompt that other requests may
		// have in common with this one.
		SharedParts []string
		// ResumeAfter is the id of the last event that the caller received, or "".
		ResumeAfter string
		// ExpectsVersion is true if only endpoints with a certain version of the model's weights
		// may run the request. Others answer it with 421.
		ExpectsVersion bool
		// Header holds the header fields that are forwarded unchanged.
		Header http.Header
	}

	// ForwardAttempt holds what is added to a call when it is sent to one endpoint.
	ForwardAttempt struct {
		// Endpoint is the only endpoint that may run the attempt.
		Endpoint string
		Team     string
		// TimeLeft is the time until the deadline of the call.
		TimeLeft time.Duration
		// ResumeAfter is the id of the last event delivered to the caller, or "".
		ResumeAfter string
		// Priority is the priority of admission at the engine, 0 first.
		Priority int
		// Helpers are other endpoints that prefill parts of the prompt.
		Helpers []ForwardHelper
	}

	// ForwardHelper is an endpoint that prefills a part of a prompt. Reservation is the id of
	// the KV memory reserved there for the prompt, or "" if the endpoint keeps none of it.
	ForwardHelper struct {
		Address     string
		Reservation string
	}

	// ForwardResponse is the information in the header of an endpoint's answer.
	ForwardResponse struct {
		// RequestID is the id of the request that the answer belongs to.
		RequestID string
		// Endpoint is the name of the endpoint, which it states in answers to health checks.
		Endpoint string
		// NotRun is true if the endpoint states that it did not and will not run the request.
		NotRun bool
		// HasReceipt is true if the header holds the endpoint's receipt, as it does in every
		// complete successful answer.
		HasReceipt bool
		// HasContentEncoding is true if the body has a content encoding, which endpoints do not use.
		HasContentEncoding bool
		// FaultyAddress is the address of the endpoint whose failure kept the request from
		// running, or "".
		FaultyAddress string
		// KeepAliveTimeout is how long the endpoint keeps an idle connection open, or 0 if not stated.
		KeepAliveTimeout time.Duration
		// HasLimit is true if the endpoint limits the requests that it takes from all instances
		// together to RequestsPerSecond.
		HasLimit          bool
		RequestsPerSecond float64
		// Leaving is true if the endpoint is about to end and must get no new work.
		Leaving bool
		// HasColdTime is true if the endpoint states for how much longer it is cold, which is ColdTime.
		HasColdTime bool
		ColdTime    time.Duration
		// RetryAfter is how long the endpoint wants no requests from this instance, or 0 if it does
		// not say so.
		RetryAfter time.Duration
	}

	// ForwardCodec translates between a platform's HTTP headers and the types above.
	ForwardCodec interface {
		// DecodeRequest decodes a caller's request without its body.
		DecodeRequest(r *http.Request) ForwardCall
		// AttemptHeader encodes the request header of one attempt.
		AttemptHeader(call *ForwardCall, attempt ForwardAttempt) http.Header
		// DecodeResponse decodes the header of an endpoint's answer.
		DecodeResponse(header http.Header) ForwardResponse
		// CallerHeader returns the fields of an endpoint's answer header that the caller receives.
		// If receipt is false, they hold nothing that identifies the endpoint.
		CallerHeader(header http.Header, receipt bool) http.Header
	}

	// MemoryReserver reserves KV memory of engines for prompts that are too large for the memory
	// of one engine.
	MemoryReserver interface {
		// Reserve reserves KV memory for the given number of tokens under the id, for the
		// duration hold. A call with the same id renews the reservation. After an error the
		// memory may still be reserved until hold has passed.
		Reserve(ctx context.Context, address, id string, tokens int64, hold time.Duration) error
		// Release ends a reservation.
		Release(ctx context.Context, address, id string) error
	}

	// EndpointRecord is the record that an endpoint keeps of itself in the platform's store.
	EndpointRecord struct {
		Name       string
		Service    string
		Address    string
		DataCentre string
		// Incarnation increases with each start of the endpoint; 0 means unknown.
		Incarnation uint64
		// Slots is the number of requests that the endpoint runs at once.
		Slots int
		// Leaving is true while the endpoint is draining.
		Leaving bool
		// Warming is the remaining time for which the endpoint is slow after its start.
		Warming time.Duration
	}

	// Record is one named value of a feed. Value is nil if the record is deleted or its
	// content is not usable.
	Record[T any] struct {
		Name  string
		Value *T
		// Deleted is true if the record no longer exists.
		Deleted bool
	}

	// Feed lists and watches one kind of records in the platform's store.
	Feed[T any] interface {
		// List returns all records and the revision at which they were read.
		List(ctx context.Context) ([]Record[T], int64, error)
		// Changes waits for changes after the revision and returns them with the new revision.
		// If there are none within wait, it returns no records. If the store no longer has
		// the history after the revision, it returns an error for which IsHistoryGone is true.
		Changes(ctx context.Context, revision int64, wait time.Duration) ([]Record[T], int64, error)
	}
)

// IsHistoryGone reports whether err, returned by Feed.Changes, means that the revision is too
// old to continue from and the records must be listed again.
func IsHistoryGone(err error) bool {
	for err != nil {
		if m, ok := err.(interface{ HistoryGone() bool }); ok {
			return m.HistoryGone()
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return false
		}
		err = u.Unwrap()
	}
	return false
}
