package mcgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a deadly document that crashes engines with each new question, because it is
// answered in segments whose ends depend on the length of the question.
func TestDeadlyDocumentInSegmentsIsQuarantined(t *testing.T) {
	const engines = 20
	f := newEngineFleet(t, engines)
	g := f.newGateway(t, "0")
	g.LargestEngineTokens = func(string) int64 { return 2000 }
	document := strings.Repeat("long ", 1500) + "poison " + strings.Repeat("long ", 1500)
	for i := range 6 {
		w := g.chat(t.Context(), fmt.Sprintf(`{"model":"dossier","messages":[%s,{"role":"user","content":%q},{"role":"user","content":"why%s?"}]}`,
			system, document, strings.Repeat(" so", 10*i)))
		require.NotEqual(t, http.StatusOK, w.Code)
	}
	g.Wait()
	// A request crashes two engines at most; the third crash shows that the document is the cause.
	require.LessOrEqual(t, f.crashed.Load(), int32(4))
}
