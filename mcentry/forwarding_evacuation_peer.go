package mcentry

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

const (
	// askedPeers is the number of peers that are asked at once for the evacuations. One that answers
	// is enough.
	askedPeers = 3
	// askTimeout limits one call to a peer.
	askTimeout = 400 * time.Millisecond
	// askInterval is the pause before peers are asked again while neither the store nor a peer has
	// answered, and listPoll how often it is checked whether the instances are listed.
	askInterval = 100 * time.Millisecond
	listPoll    = 5 * time.Millisecond
	// listWait is how long an instance that starts waits for the list of the instances, after it has
	// read the evacuations.
	listWait = 500 * time.Millisecond
	// confirmingAge is the largest age of a peer's copy that counts as current. Copies are confirmed
	// every 2.7 s at the latest, and an evacuation has to be in force after 5 s.
	confirmingAge = 3 * time.Second
)

// evacuationServer answers instances that start or were suspended.
type evacuationServer struct {
	mcmessage.UnimplementedEvacuationServiceServer
	forwarding *Forwarding
}

// ListEvacuations returns what this instance knows.
func (s *evacuationServer) ListEvacuations(_ context.Context, r *mcmessage.ListEvacuationsRequest) (*mcmessage.ListEvacuationsResponse, error) {
	e := s.forwarding
	if r.GetDeployment() != e.Settings.Deployment {
		return nil, status.Errorf(codes.PermissionDenied, "deployment %q is not %q", r.GetDeployment(), e.Settings.Deployment)
	}
	if e.evacuations == nil {
		return nil, status.Error(codes.Unimplemented, "evacuations are not followed")
	}
	// The age is read before the statements, so that they are at least as current.
	_, complete, known := e.evacuations.CopyStatus()
	if !known || !e.evacuations.state.Known() {
		return nil, status.Error(codes.Unavailable, "the evacuations are not known yet")
	}
	response := &mcmessage.ListEvacuationsResponse{AgeMs: uint64(max(0, mcclock.Now()-complete).Milliseconds()) + 1}
	for _, statement := range e.evacuations.state.Statements() {
		record := evacuationOnWire(statement)
		if mcmember.ValidEvacuation(record) && len(response.Evacuations) < mcmember.MaxEvacuations {
			response.Evacuations = append(response.Evacuations, record)
		}
	}
	return response, nil
}

// startEvacuations lets the first listing count once a peer has answered, no other instance is listed or
// none of those that were asked answers. Before the store answers, the answer of a peer counts alone.
func (e *Forwarding) startEvacuations(ctx context.Context) {
	state := e.evacuations.state
	begun, listedAt := time.Now(), time.Time{}
	for ctx.Err() == nil && !state.Known() {
		if listedAt.IsZero() && state.HasListing() {
			listedAt = time.Now()
		}
		if !e.roster.isListed() && (listedAt.IsZero() || time.Since(listedAt) < listWait) {
			mcclock.Sleep(ctx, listPoll)
			continue
		}
		addresses := e.roster.someAddresses(e.Settings.Instance, askedPeers)
		answered := e.askEvacuations(ctx, addresses)
		if answered {
			state.MarkConfirmed()
		}
		if state.HasListing() {
			state.MarkCompared()
		}
		if state.Known() {
			e.logger.Info().Int("peersAsked", len(addresses)).Bool("answered", answered).Strs("evacuated", state.Evacuated()).
				Dur("elapsedMs", time.Since(begun)).Msg("evacuationsKnown")
			return
		}
		if len(addresses) == 0 {
			mcclock.Sleep(ctx, listPoll)
		} else {
			mcclock.Sleep(ctx, askInterval)
		}
	}
}

// refreshEvacuations asks the store and some peers for the evacuations after a suspension.
func (e *Forwarding) refreshEvacuations() {
	e.evacuations.Refresh()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if e.askEvacuations(ctx, e.roster.someAddresses(e.Settings.Instance, askedPeers)) {
		e.evacuations.guard.Confirm(mcclock.Now())
	}
}

// askEvacuations asks peers at once and merges their answers. It returns true as soon as one of them has
// answered whose copy is current.
func (e *Forwarding) askEvacuations(ctx context.Context, addresses []string) bool {
	answers := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { answers <- e.askPeerEvacuations(ctx, address) }()
	}
	for range addresses {
		if <-answers {
			return true
		}
	}
	return false
}

func (e *Forwarding) askPeerEvacuations(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := e.pool.Conn(address)
	if err != nil {
		return false
	}
	response, err := mcmessage.NewEvacuationServiceClient(conn).ListEvacuations(ctx, &mcmessage.ListEvacuationsRequest{Deployment: e.Settings.Deployment})
	if err != nil {
		e.logger.Debug().Str("address", address).Err(err).Msg("peerEvacuationsFailed")
		return false
	}
	e.evacuations.state.Merge(time.Now(), evacuationsFromWire(response.GetEvacuations()))
	return time.Duration(response.GetAgeMs())*time.Millisecond < confirmingAge
}

// announceEvacuation sends a statement to the other instances.
func (e *Forwarding) announceEvacuation(statement marigoldcroft.EvacuationStatement) {
	e.member.SetEvacuation(evacuationOnWire(statement))
}

// mergeEvacuations takes the statements that peers have sent.
func (e *Forwarding) mergeEvacuations() {
	if e.evacuations != nil {
		e.evacuations.state.Merge(time.Now(), evacuationsFromWire(e.member.Evacuations()))
	}
}

func evacuationOnWire(s marigoldcroft.EvacuationStatement) *mcmessage.Evacuation {
	return &mcmessage.Evacuation{
		DataCentre: s.DataCentre, Evacuated: s.Evacuated, Era: uint64(max(0, s.Era)), Revision: uint64(max(0, s.Revision)), SinceUnixMs: s.Since.UnixMilli(),
	}
}

func evacuationsFromWire(records []*mcmessage.Evacuation) []marigoldcroft.EvacuationStatement {
	statements := make([]marigoldcroft.EvacuationStatement, 0, len(records))
	for _, r := range records {
		statements = append(statements, marigoldcroft.EvacuationStatement{
			DataCentre: r.GetDataCentre(), Evacuated: r.GetEvacuated(), Era: int64(r.GetEra()), Revision: int64(r.GetRevision()),
			Since: time.UnixMilli(r.GetSinceUnixMs()),
		})
	}
	return statements
}
