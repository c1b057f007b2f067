package mcentry_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"marigoldcroft/mcentry"
)

// registrar records the names of the services that are registered with it.
type registrar struct{ names []string }

func (r *registrar) RegisterService(desc *grpc.ServiceDesc, _ any) {
	r.names = append(r.names, desc.ServiceName)
}

// Guards against a forwarding instance that hands the bodies of requests to peers, which may be outside
// the home regions: none of the services that it offers to peers beside the exchange takes a request
// of a caller.
func TestForwardingPeersTakeNoRequests(t *testing.T) {
	r := &registrar{}
	mcentry.RegisterForwardingPeerServices(r)
	require.Equal(t, []string{"marigoldcroft.config.ConfigService", "marigoldcroft.member.EvacuationService", "marigoldcroft.member.LimitService", "marigoldcroft.member.RecordService"}, r.names)
}
