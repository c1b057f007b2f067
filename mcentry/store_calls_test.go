package mcentry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcsetting"
)

// storeCalls returns the calls that the store has had.
func (s *site) storeCalls() int {
	calls := 0
	for _, n := range s.store.Calls() {
		calls += n
	}
	return calls
}

// Guards against changes that do not reach instances which hold no watch of the store, against calls
// by all instances for each change, and against a restore of the store that these instances miss.
func TestInstancesWithoutAWatchFollowTheStore(t *testing.T) {
	const instances = 7
	s := newSite(t, instances, func(*mcsetting.Settings) {})
	// The instances know each other, and the watches of their first seconds have ended.
	time.Sleep(4 * time.Second)
	before := s.storeCalls()
	for n := range 5 {
		s.store.Put("servers", fmt.Sprint("other-", n), fmt.Appendf(nil, `{"service":"other","address":"127.0.0.1:1","zone":"z","batch-slots":8,"state":"ready","born":%d}`, n+1))
		time.Sleep(300 * time.Millisecond)
	}
	// Three watches for each change, and those of the first instance that end after 1.2 s.
	require.LessOrEqual(t, s.storeCalls()-before, 3*5+10, "calls for five changes at %d instances", instances)

	s.store.Put("config", "main", configuration(2, `"another"`))
	for i, in := range s.instances {
		require.Eventually(t, func() bool { return in.get(t, "/v2/x", "another") == http.StatusOK }, 3*time.Second, 10*time.Millisecond, "instance %d", i)
		require.Equal(t, http.StatusUnauthorized, in.get(t, "/v2/x", "key"))
	}

	older := s.store.Copy()
	server := string(s.store.Spec("servers", "i-1"))
	s.store.Put("servers", "i-1", []byte(strings.Replace(server, `"ready"`, `"draining"`, 1)))
	for i, in := range s.instances {
		require.Eventually(t, func() bool { return in.get(t, "/v2/x", "another") == http.StatusServiceUnavailable }, 3*time.Second, 10*time.Millisecond, "instance %d", i)
	}
	s.store.Restore(older)
	s.store.Put("servers", "i-1", []byte(strings.Replace(server, `"born":5`, `"born":6`, 1)))
	for i, in := range s.instances {
		require.Eventually(t, func() bool { return in.get(t, "/v2/x", "another") == http.StatusOK }, 5*time.Second, 10*time.Millisecond, "instance %d", i)
	}
	s.store.Remove("mc-instances", "instance-3")
	require.Eventually(t, func() bool { return s.store.Spec("mc-instances", "instance-3") != nil }, 8*time.Second, 10*time.Millisecond)
}
