package mcstandin_test

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstandin"
)

// Guards against two servers that get the same address, and against an outgoing connection
// that takes a server's port, as an ephemeral one, before the server has started.
func TestFreeAddressIsUniqueAndNotEphemeral(t *testing.T) {
	minEphemeral := 32_768
	if text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		minEphemeral, err = strconv.Atoi(strings.Fields(string(text))[0])
		require.NoError(t, err)
	}
	seen := map[string]bool{}
	for range 5_000 {
		address, err := mcstandin.FreeAddress()
		require.NoError(t, err)
		require.False(t, seen[address], "%s was returned twice", address)
		seen[address] = true
		require.Less(t, int(netip.MustParseAddrPort(address).Port()), minEphemeral, "%s has an ephemeral port, which an outgoing connection may take", address)
	}
}
