package mcgateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcquarantine"
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

// Guards against a sound document that stays under suspicion, or is quarantined after crashes with
// another cause, although requests with it are answered in segments.
func TestSoundDocumentInSegmentsIsCleared(t *testing.T) {
	f := newEngineFleet(t, 4)
	g := f.newGateway(t, "0")
	g.LargestEngineTokens = func(string) int64 { return 2000 }
	document := strings.Repeat("long ", 3000)
	part := mcquarantine.PartFingerprint("m", "user\x00"+strconv.FormatUint(xxhash.Sum64String(document), 16))
	for i := range 6 {
		id, endpoint := marigoldcroft.NewStreamID("earlier", i), fmt.Sprint("dead", i)
		g.Quarantine.Begin(time.Now(), endpoint, id, mcquarantine.Fingerprint(i), []mcquarantine.Fingerprint{part})
		g.Quarantine.StreamBroken(time.Now(), endpoint, id)
		g.Quarantine.ConnectionRefused(time.Now(), endpoint)
		require.True(t, hasSuspectPart(g))
		w := g.chat(t.Context(), fmt.Sprintf(`{"model":"dossier","messages":[%s,{"role":"user","content":%q},{"role":"user","content":"why %d?"}]}`, system, document, i))
		require.Equal(t, http.StatusOK, w.Code, w.Body)
		require.False(t, hasSuspectPart(g))
	}
}
