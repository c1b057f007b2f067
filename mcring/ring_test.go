package mcring_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcring"
)

// A full ring must neither block its producer nor grow beyond its capacity.
func TestFullRingRefusesOrDropsOldest(t *testing.T) {
	r := mcring.New[int](2)
	require.True(t, r.TryPut(1))
	require.True(t, r.TryPut(2))
	require.False(t, r.TryPut(3))
	require.Equal(t, 1, r.PutDroppingOldest(4))
	require.Equal(t, 2, <-r.Items())
	require.Equal(t, 4, <-r.Items())
	require.Zero(t, r.Len())
}
