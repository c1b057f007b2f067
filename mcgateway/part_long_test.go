package mcgateway_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a deadly message that crashes one engine after another because it comes late in a
// long conversation.
func TestDeadlyMessageIsFoundLateInTheConversation(t *testing.T) {
	f := newEngineFleet(t, 10)
	g := f.newGateway(t, "0")
	for i := range 8 {
		var turns strings.Builder
		for n := range 20 {
			fmt.Fprintf(&turns, `{"role":"user","content":"turn %d of conversation %d"},`, n, i)
		}
		g.chat(t.Context(), conversation("caption", turns.String()+`{"role":"user","content":"poison document"}`, i))
	}
	g.Wait()
	require.LessOrEqual(t, f.crashed.Load(), int32(3))
}
