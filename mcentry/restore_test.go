package mcentry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcsetting"
)

// Guards against instances that a new one does not find, because the store came back from a copy
// without their records and they write them again only after 20 s.
func TestInstancesWriteTheirRecordsAgainAfterARestore(t *testing.T) {
	s := newSite(t, 1, func(*mcsetting.Settings) {})
	require.Eventually(t, func() bool { return s.store.Spec("mc-instances", "instance-0") != nil }, 5*time.Second, 10*time.Millisecond)
	older := s.store.Copy()
	s.start(1, s.storeAddress, func(*mcsetting.Settings) {})
	require.Eventually(t, func() bool { return s.store.Spec("mc-instances", "instance-1") != nil }, 5*time.Second, 10*time.Millisecond)

	s.store.Restore(older)
	require.Nil(t, s.store.Spec("mc-instances", "instance-1"))
	require.Eventually(t, func() bool { return s.store.Spec("mc-instances", "instance-1") != nil }, 5*time.Second, 10*time.Millisecond)
}

// Guards against an instance that starts with an older configuration than the others have, because
// the store came back from a copy and the operator has not written the newer one again.
func TestInstanceThatStartsAfterARestoreTakesTheNewerConfiguration(t *testing.T) {
	s := newSite(t, 2, func(*mcsetting.Settings) {})
	older := s.store.Copy()
	s.store.Put("config", "main", configuration(2, `"key"`))
	for _, in := range s.instances {
		require.Eventually(t, func() bool { return in.get(t, "/v2/x", "key") == http.StatusOK }, 2*time.Second, 5*time.Millisecond)
	}
	s.store.Restore(older)
	s.start(2, s.storeAddress, func(*mcsetting.Settings) {})
	in := s.instances[2]
	require.Eventually(t, func() bool { return in.get(t, "/v2/x", "key") == http.StatusOK }, 3*time.Second, 20*time.Millisecond)
	require.Equal(t, http.StatusNotFound, in.get(t, "/v1/x", "key"))
	for _, in := range s.instances[:2] {
		require.Equal(t, http.StatusOK, in.get(t, "/v2/x", "key"), "the configuration in force stays")
	}
}
