package mcentry

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"marigoldcroft"
	"marigoldcroft/mcforward"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcroute"
)

// WatchPeers runs the part of a forwarding instance that follows its peers until ctx ends. entry was
// received before.
func WatchPeers(ctx context.Context, guard *mcquarantine.Guard, entry *mcmessage.QuarantineEntry) {
	identity := marigoldcroft.NewIdentity("test", "r", "dc", "i", time.Now(), 0)
	e := &Forwarding{
		member:    &mcmember.Member{Self: mcmember.Self{Identity: identity}},
		forwarder: &mcforward.Forwarder{Quarantine: guard, Announce: func([]*mcmessage.QuarantineEntry) {}},
		limits:    &mclimit.EndpointLimiter{},
		fetcher:   &mcroute.PeerFetcher{Router: &mcroute.Router{}},
	}
	e.member.SetQuarantine(entry)
	e.watchPeers(ctx)
}

// RegisterForwardingPeerServices registers the services that a forwarding instance offers to peers.
func RegisterForwardingPeerServices(r grpc.ServiceRegistrar) { (&Forwarding{}).registerPeerServices(r) }
