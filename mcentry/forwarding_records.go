package mcentry

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/platform"
)

const (
	// watchingInstances is the number of instances, the first ones in rendezvous order for a kind of
	// records, that hold a watch of the store and feed the others. With three of them, two may fail at
	// once before changes wait for the store fallback age.
	watchingInstances = 3
	// feedingBatchDelay is the longest pause after a change at an instance that feeds others, so that
	// they get each change within their own bound.
	feedingBatchDelay = 200 * time.Millisecond
	// fetchRecordsTimeout limits one call for a peer's copy; the next exchange tries again.
	fetchRecordsTimeout = 400 * time.Millisecond
	// instancesFallbackAge is the age at which an unconfirmed copy of the instances' records is read
	// from the store. It is above the wait of a watch, whose end confirms the copy of those that watch.
	instancesFallbackAge = instanceWatchWait + 5*time.Second
)

// copiedRecords is one kind of records whose copies instances confirm and give to each other.
type copiedRecords interface {
	status() *mcmessage.CopyState
	observe(digest uint64, complete time.Duration)
	isBehind(position mcfollow.Position) bool
	response(since mcfollow.Position) (*mcmessage.FetchRecordsResponse, error)
	take(fetch func(since mcfollow.Position) (*mcmessage.FetchRecordsResponse, time.Duration, error))
}

// copied adapts a follower to copiedRecords. Values are sent to peers as W.
type copied[T, W any] struct {
	records  string
	follower *mcfollow.Follower[T]
	encode   func(value *T) W
	decode   func(wire W) *T
}

// wireRecord is one record in the JSON form.
type wireRecord[W any] struct {
	// Revision is that of the last change, if only changed records are sent.
	Revision int64 `json:"revision,omitempty"`
	Deleted  bool  `json:"deleted,omitempty"`
	// Value is nil if the stored content is not usable.
	Value *W `json:"value,omitempty"`
}

func (c copied[T, W]) status() *mcmessage.CopyState {
	digest, complete, known := c.follower.CopyStatus()
	if !known {
		return nil
	}
	position := c.follower.Changed()
	return &mcmessage.CopyState{
		Records: c.records, Digest: digest, AgeMs: ageMs(complete), Era: uint64(position.Era), Revision: uint64(position.Revision),
	}
}

// ageMs returns the age in milliseconds, rounded up.
func ageMs(complete time.Duration) uint64 {
	return uint64(max(0, mcclock.Now()-complete).Milliseconds()) + 1
}

func (c copied[T, W]) observe(digest uint64, complete time.Duration) {
	c.follower.ObservePeerCopy(digest, complete)
}

func (c copied[T, W]) isBehind(position mcfollow.Position) bool { return c.follower.IsBehind(position) }

func (c copied[T, W]) response(since mcfollow.Position) (*mcmessage.FetchRecordsResponse, error) {
	held, ok := c.follower.Copy(since)
	if !ok {
		return nil, status.Error(codes.Unavailable, "the records are not known yet")
	}
	byName := make(map[string]wireRecord[W], len(held.Records))
	for _, r := range held.Records {
		wire := wireRecord[W]{Revision: held.Positions[r.Name].Revision, Deleted: r.Deleted}
		if r.Value != nil {
			value := c.encode(r.Value)
			wire.Value = &value
		}
		byName[r.Name] = wire
	}
	raw, err := json.Marshal(byName)
	if err != nil {
		return nil, err
	}
	response := &mcmessage.FetchRecordsResponse{
		Records: raw, Era: uint64(held.Changed.Era), Revision: uint64(held.Changed.Revision), AgeMs: ageMs(held.Complete),
		Partial: held.Partial,
	}
	if held.OutageDuration > 0 {
		response.OutageMs, response.OutageEndedMs = uint64(held.OutageDuration.Milliseconds()), uint64(max(0, time.Since(held.OutageEndedAt)).Milliseconds())
	}
	return response, nil
}

func (c copied[T, W]) take(fetch func(since mcfollow.Position) (*mcmessage.FetchRecordsResponse, time.Duration, error)) {
	c.follower.TakeFrom(func(since mcfollow.Position) (mcfollow.PeerCopy[T], bool) {
		response, sentAt, err := fetch(since)
		var byName map[string]wireRecord[W]
		if err != nil || json.Unmarshal(response.GetRecords(), &byName) != nil {
			return mcfollow.PeerCopy[T]{}, false
		}
		taken := mcfollow.PeerCopy[T]{
			Partial:        response.GetPartial(),
			Positions:      make(map[string]mcfollow.Position),
			Changed:        mcfollow.Position{Era: int64(response.GetEra()), Revision: int64(response.GetRevision())},
			Complete:       sentAt - time.Duration(response.GetAgeMs())*time.Millisecond,
			OutageDuration: time.Duration(response.GetOutageMs()) * time.Millisecond,
			OutageEndedAt:  time.Now().Add(-time.Duration(response.GetOutageEndedMs()) * time.Millisecond),
		}
		for name, wire := range byName {
			r := marigoldcroft.Record[T]{Name: name, Deleted: wire.Deleted}
			if wire.Value != nil {
				if r.Value = c.decode(*wire.Value); r.Value == nil {
					return mcfollow.PeerCopy[T]{}, false
				}
			}
			taken.Records = append(taken.Records, r)
			taken.Positions[name] = mcfollow.Position{Era: taken.Changed.Era, Revision: wire.Revision}
		}
		return taken, true
	})
}

// buildCopies lists the kinds of records that instances copy from each other.
func (e *Forwarding) buildCopies() {
	e.copies = map[string]copiedRecords{
		recordsRouting: copied[marigoldcroft.RoutingTable, []byte]{
			records: recordsRouting, follower: e.routing,
			encode: func(table *marigoldcroft.RoutingTable) []byte { return table.Source() },
			decode: func(source []byte) *marigoldcroft.RoutingTable { return platform.DecodeRouting(source) },
		},
		recordsEndpoints: copied[marigoldcroft.EndpointRecord, marigoldcroft.EndpointRecord]{
			records: recordsEndpoints, follower: e.endpoints,
			encode: func(record *marigoldcroft.EndpointRecord) marigoldcroft.EndpointRecord { return *record },
			decode: func(record marigoldcroft.EndpointRecord) *marigoldcroft.EndpointRecord { return &record },
		},
		recordsInstances: copied[marigoldcroft.ListedInstance, marigoldcroft.ListedInstance]{
			records: recordsInstances, follower: e.instances,
			encode: func(listed *marigoldcroft.ListedInstance) marigoldcroft.ListedInstance { return *listed },
			decode: func(listed marigoldcroft.ListedInstance) *marigoldcroft.ListedInstance { return &listed },
		},
	}
}

// peerFed returns a function that reports whether other instances hold the watch of a kind of records.
func (e *Forwarding) peerFed(records string) func() bool {
	return func() bool { return e.confirmRank(records) >= watchingInstances }
}

// feedingDelay returns the pause after a change: a short one at the few instances that feed the others.
func (e *Forwarding) feedingDelay(records string, delay func() time.Duration) func() time.Duration {
	return func() time.Duration {
		if len(e.member.Candidates()) > watchingInstances && e.confirmRank(records) < watchingInstances {
			return min(feedingBatchDelay, delay())
		}
		return delay()
	}
}

// takeCopy reads the records of a peer.
func (e *Forwarding) takeCopy(peer mcmember.Contact, records string) {
	e.copies[records].take(func(since mcfollow.Position) (*mcmessage.FetchRecordsResponse, time.Duration, error) {
		sentAt := mcclock.Now()
		conn, err := e.pool.Conn(peer.Address)
		if err != nil {
			return nil, 0, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), fetchRecordsTimeout)
		defer cancel()
		response, err := mcmessage.NewRecordServiceClient(conn).FetchRecords(ctx, &mcmessage.FetchRecordsRequest{
			Deployment: e.Settings.Deployment, Records: records, SinceEra: uint64(since.Era), SinceRevision: uint64(since.Revision),
		})
		return response, sentAt, err
	})
}

// recordServer gives the copies of this instance to peers.
type recordServer struct {
	mcmessage.UnimplementedRecordServiceServer
	copies func(records string) copiedRecords
}

// FetchRecords returns the copy of one kind of records.
func (s *recordServer) FetchRecords(_ context.Context, r *mcmessage.FetchRecordsRequest) (*mcmessage.FetchRecordsResponse, error) {
	held := s.copies(r.GetRecords())
	if held == nil {
		return nil, status.Errorf(codes.NotFound, "no records %q are copied", r.GetRecords())
	}
	return held.response(mcfollow.Position{Era: int64(r.GetSinceEra()), Revision: int64(r.GetSinceRevision())})
}
