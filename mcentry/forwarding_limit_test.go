package mcentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

// Guards against an instance that grants all of an endpoint's limit although others may grant it too:
// it has lost them, or has not reached them since it started.
func TestInstancesOutOfReachKeepTheirPartOfALimit(t *testing.T) {
	view := func(name string, state mcmessage.MemberState, age time.Duration, left bool) mcmember.MemberView {
		return mcmember.MemberView{Contact: mcmember.Contact{Instance: name}, State: state, Age: age, Left: left}
	}
	const live, suspect, gone = mcmessage.MemberState_MEMBER_STATE_LIVE, mcmessage.MemberState_MEMBER_STATE_SUSPECT, mcmessage.MemberState_MEMBER_STATE_GONE
	members, unreachable := limitMembers([]mcmember.MemberView{
		view("self", live, 0, false), view("suspect", suspect, time.Second, false),
		view("lost", gone, time.Minute, false), view("left", gone, time.Minute, true), view("longGone", gone, time.Hour, false),
	}, []mcmember.Contact{{Instance: "listed"}})
	require.Equal(t, []string{"self", "suspect"}, members)
	require.Equal(t, 2, unreachable)
}
