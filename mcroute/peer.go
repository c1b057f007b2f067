package mcroute

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcmessage"
)

const (
	// fetchAfterAge is the age of the last confirmation of the table above which this
	// instance asks peers for it. By then the regular exchange between peers and, after it,
	// the store have had time to confirm it.
	fetchAfterAge = 2800 * time.Millisecond
	// fetchInterval is the time between two rounds of requests to peers, fetchTimeout
	// limits each request.
	fetchInterval = 500 * time.Millisecond
	fetchTimeout  = 400 * time.Millisecond
	// peersPerRound limits the peers that are asked in one round.
	peersPerRound = 3
	// MaxVerifyPeers limits the peers that Verify asks, which takes two rounds.
	MaxVerifyPeers = 2 * peersPerRound
	// wantTime is how long a version that peers know of is wanted.
	wantTime = 10 * time.Second
)

type (
	// Server serves the routing table in force to peers.
	Server struct {
		mcmessage.UnimplementedConfigServiceServer
		Router     *Router
		Deployment string
	}

	// PeerFetcher fetches the routing table from peers while this instance cannot read it
	// from the store. Exported fields are set before Run.
	PeerFetcher struct {
		Router     *Router
		Deployment string
		// Peers returns clients of peers in the order in which they are to be asked.
		Peers func() []mcmessage.ConfigServiceClient
		// Decode decodes the stored form of a table; it returns nil for one that is
		// malformed.
		Decode func(source []byte) *marigoldcroft.RoutingTable

		offset int
		mu     sync.Mutex
		// wanted is a version that peers know of and that is to be fetched until wantedUntil.
		wanted      int64
		wantedUntil time.Time
	}
)

// FetchHead returns the stored form of the table in force, unless the peer has that version
// already, and the age of its last confirmation, or -1 if it was never confirmed.
func (s *Server) FetchHead(_ context.Context, r *mcmessage.FetchHeadRequest) (*mcmessage.FetchHeadResponse, error) {
	if r.GetDeployment() != s.Deployment {
		return nil, status.Errorf(codes.PermissionDenied, "deployment %q is not %q", r.GetDeployment(), s.Deployment)
	}
	// The age is read before the table, so that a confirmation of a newer table is never
	// reported for an older one.
	age, known := s.Router.Age()
	table := s.Router.Table()
	if table == nil || !s.Router.Verified() {
		return nil, status.Error(codes.Unavailable, "no routing is in force yet")
	}
	response := &mcmessage.FetchHeadResponse{ConfirmedAgeMs: -1, Unchanged: uint64(table.Version()) == r.GetKnownRevision()}
	if known {
		response.ConfirmedAgeMs = age.Milliseconds()
	}
	if !response.GetUnchanged() {
		response.Head = table.Source()
	}
	return response, nil
}

// Want makes Run fetch the version if it is newer than the table in force. The store may have lost
// it, if it was restored from an older copy.
func (p *PeerFetcher) Want(version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version > p.wanted {
		p.wanted, p.wantedUntil = version, time.Now().Add(wantTime)
	}
}

// wantsNewer reports whether a newer version than the table in force is wanted.
func (p *PeerFetcher) wantsNewer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	table := p.Router.Table()
	return time.Now().Before(p.wantedUntil) && (table == nil || table.Version() < p.wanted)
}

// Run fetches the table from peers while the last confirmation is old or a newer version is wanted,
// until ctx ends.
func (p *PeerFetcher) Run(ctx context.Context) {
	ticker := time.NewTicker(fetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if age, known := p.Router.Age(); !known || age > fetchAfterAge || p.wantsNewer() {
			p.fetchRound(ctx)
		}
	}
}

// Verify compares the table with those of peers, in rounds of peersPerRound, until one answers that has
// verified its own, and takes a newer one. It returns the number of peers that were asked, and whether
// one answered. Without an answer the table of the store counts all the same: then all peers have just
// started, too, or cannot be reached.
func (p *PeerFetcher) Verify(ctx context.Context, peers []mcmessage.ConfigServiceClient) (asked int, answered bool) {
	defer p.Router.MarkVerified()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for round := range slices.Chunk(peers[:min(len(peers), MaxVerifyPeers)], peersPerRound) {
		answers := make(chan bool, len(round))
		for _, peer := range round {
			go func() { answers <- p.fetchFrom(ctx, peer) }()
		}
		asked += len(round)
		for range round {
			if <-answers {
				return asked, true
			}
		}
	}
	return asked, false
}

// fetchRound asks up to peersPerRound peers, starting with a different one each time.
func (p *PeerFetcher) fetchRound(ctx context.Context) {
	peers := p.Peers()
	p.offset++
	for i := range min(peersPerRound, len(peers)) {
		p.fetchFrom(ctx, peers[(p.offset+i)%len(peers)])
	}
}

// fetchFrom asks one peer and reports whether it answered.
func (p *PeerFetcher) fetchFrom(ctx context.Context, peer mcmessage.ConfigServiceClient) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := &mcmessage.FetchHeadRequest{Deployment: p.Deployment}
	current := p.Router.Table()
	if current != nil {
		request.KnownRevision = uint64(current.Version())
	}
	sentAt := mcclock.Now()
	response, err := peer.FetchHead(ctx, request)
	if err != nil {
		p.Router.Logger.Debug().Err(err).Msg("peerRoutingFailed")
		return false
	}
	version := int64(request.GetKnownRevision())
	if !response.GetUnchanged() {
		table := p.Decode(response.GetHead())
		if table == nil {
			p.Router.Logger.Warn().Msg("peerRoutingMalformed")
			return false
		}
		version = table.Version()
		p.Router.Update(table, "peer")
	}
	if response.GetConfirmedAgeMs() >= 0 {
		// The age is counted back from when the request was sent, so that the confirmation
		// is never taken for more recent than it is.
		p.Router.Confirm(version, sentAt-time.Duration(response.GetConfirmedAgeMs())*time.Millisecond)
	}
	return true
}
