package mcentry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"marigoldcroft"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

const (
	// limitMembersInterval is the time between two updates of the members that share the limits of
	// endpoints. It is well below the time in which a new owner takes over.
	limitMembersInterval = 250 * time.Millisecond
	// maxColdLeft bounds the remaining cold time on the wire. Cold phases last for seconds.
	maxColdLeft = time.Hour
)

// limitServer grants requests to limited endpoints to other instances.
type limitServer struct {
	mcmessage.UnimplementedLimitServiceServer
	limits     *mclimit.EndpointLimiter
	deployment string
}

// Acquire grants or refuses one request.
func (s *limitServer) Acquire(_ context.Context, r *mcmessage.AcquireRequest) (*mcmessage.AcquireResponse, error) {
	if r.GetDeployment() != s.deployment {
		return nil, status.Errorf(codes.PermissionDenied, "deployment %q is not %q", r.GetDeployment(), s.deployment)
	}
	now := time.Now()
	cold := marigoldcroft.ColdPhase{PerSecond: r.GetColdPerSecond(), Until: now.Add(time.Duration(r.GetColdLeftMs()) * time.Millisecond)}
	g := s.limits.Grant(now, r.GetInstance(), limitFromWire(r.GetLimit()), cold)
	return &mcmessage.AcquireResponse{Granted: g.Granted, WaitMs: uint32(g.Wait.Milliseconds()), Limit: limitOnWire(g.Limit)}, nil
}

// askLimitOwner asks the owner of a limited endpoint for a grant.
func (e *Forwarding) askLimitOwner(ctx context.Context, owner string, limit marigoldcroft.EndpointLimit, cold marigoldcroft.ColdPhase) (mclimit.Grant, error) {
	contact, known := e.member.Contact(owner)
	if !known {
		return mclimit.Grant{}, errors.Newf("the owner %s is not a known member", owner)
	}
	conn, err := e.pool.Conn(contact.Address)
	if err != nil {
		return mclimit.Grant{}, err
	}
	response, err := mcmessage.NewLimitServiceClient(conn).Acquire(ctx, &mcmessage.AcquireRequest{
		Deployment: e.Settings.Deployment, Instance: e.Settings.Instance, Limit: limitOnWire(limit),
		ColdPerSecond: cold.PerSecond, ColdLeftMs: uint32(min(max(0, time.Until(cold.Until).Milliseconds()), maxColdLeft.Milliseconds())),
	})
	if err != nil {
		return mclimit.Grant{}, err
	}
	return mclimit.Grant{
		Granted: response.GetGranted(), Wait: time.Duration(response.GetWaitMs()) * time.Millisecond, Limit: limitFromWire(response.GetLimit()),
	}, nil
}

// announceLimit sends a changed limit to the other instances.
func (e *Forwarding) announceLimit(limit marigoldcroft.EndpointLimit) {
	e.member.SetLimit(limitOnWire(limit))
}

// mergeLimits takes the limits that peers have sent.
func (e *Forwarding) mergeLimits() {
	records := e.member.Limits()
	limits := make([]marigoldcroft.EndpointLimit, 0, len(records))
	for _, r := range records {
		if e.fleet.Known(r.GetEndpoint()) {
			limits = append(limits, limitFromWire(r))
		}
	}
	e.limits.Merge(time.Now(), limits)
}

// announceColdPhases tells peers of the cold phases of the endpoints whose limits this instance owns.
func (e *Forwarding) announceColdPhases(endpoints []marigoldcroft.Endpoint) {
	now := time.Now()
	for _, endpoint := range endpoints {
		e.limits.AnnounceCold(now, endpoint.Name(), marigoldcroft.ColdPhase{PerSecond: endpoint.ColdRequestsPerSecond(), Until: endpoint.ColdUntil()})
	}
}

// watchLimitMembers keeps the members that share the limits of endpoints up to date.
func (e *Forwarding) watchLimitMembers(ctx context.Context) {
	ticker := time.NewTicker(limitMembersInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		views := e.member.Members()
		members, unreachable := limitMembers(views, e.member.NeverContacted())
		e.limits.Ownership.SetMembers(now, members, unreachable)
		e.suspects.Store(suspectedMembers(views))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// suspectedMembers returns the members that do not answer probes.
func suspectedMembers(views []mcmember.MemberView) *map[string]bool {
	suspects := make(map[string]bool)
	for _, view := range views {
		if view.State == mcmessage.MemberState_MEMBER_STATE_SUSPECT {
			suspects[view.Instance] = true
		}
	}
	return &suspects
}

// isSuspected reports whether the member did not answer probes when the members were last read.
func (e *Forwarding) isSuspected(instance string) bool {
	suspects := e.suspects.Load()
	return suspects != nil && (*suspects)[instance]
}

// limitMembers returns the members that share the limits of endpoints, and the number of instances
// that may be running out of reach: members that are gone without having announced their end, and
// those that the store lists and that this instance has not heard of since it started.
func limitMembers(views []mcmember.MemberView, neverContacted []mcmember.Contact) (members []string, unreachable int) {
	unreachable = len(neverContacted)
	for _, view := range views {
		switch {
		case view.State != mcmessage.MemberState_MEMBER_STATE_GONE:
			members = append(members, view.Instance)
		case !view.Left && view.Age < shareReservation:
			unreachable++
		}
	}
	return members, unreachable
}

func limitOnWire(l marigoldcroft.EndpointLimit) *mcmessage.EndpointLimit {
	r := &mcmessage.EndpointLimit{Endpoint: l.Endpoint(), Version: l.Version(), Limited: l.Limited(), PerSecond: l.PerSecond()}
	if cold := l.Cold(); cold.PerSecond > 0 {
		r.ColdPerSecond, r.ColdUntilUnixMs = cold.PerSecond, uint64(max(0, cold.Until.UnixMilli()))
	}
	return r
}

func limitFromWire(l *mcmessage.EndpointLimit) marigoldcroft.EndpointLimit {
	spec := marigoldcroft.EndpointLimitSpec{Endpoint: l.GetEndpoint(), Version: l.GetVersion(), Limited: l.GetLimited(), PerSecond: l.GetPerSecond()}
	if l.GetColdPerSecond() > 0 {
		spec.Cold = marigoldcroft.ColdPhase{PerSecond: l.GetColdPerSecond(), Until: time.UnixMilli(int64(l.GetColdUntilUnixMs()))}
	}
	return marigoldcroft.NewEndpointLimit(spec)
}
