package mcforward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a scheduler that does not know the priority of a request: every attempt states it.
func TestWorkStatesRank(t *testing.T) {
	c := &call{rank: 2, start: time.Unix(1000, 0)}
	require.Equal(t, 2, c.nextWork(false).Rank)
	require.Equal(t, 2, c.nextWork(true).Rank)
}
