package mcmember

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// While peers do not answer, every call beyond the limit is skipped; a line for each would fill
// the log with hundreds within seconds. One line marks the start of the series and one the
// end, with the number of skipped calls.
func TestSkippedCallsAreLoggedOnce(t *testing.T) {
	var log strings.Builder
	m := &Member{Logger: zerolog.New(&log), callSlots: make(chan struct{}, 1)}
	m.callSlots <- struct{}{}
	for range 100 {
		m.spawn(t.Context(), func() {})
	}
	require.Equal(t, 1, strings.Count(log.String(), "memberCallsSkipped"))
	<-m.callSlots
	m.spawn(t.Context(), func() {})
	m.running.Wait()
	require.Contains(t, log.String(), `"skipped":100`)
	require.Equal(t, 2, strings.Count(log.String(), "\n"))
}
