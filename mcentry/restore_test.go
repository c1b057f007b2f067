package mcentry_test

import (
	"fmt"
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

// Guards against an instance that starts after a restore of the store and runs requests with a revoked
// key, by the older configuration of the store, until it hears of the newer one from its peers.
func TestInstanceThatStartsAfterARestoreAcceptsNoRevokedKey(t *testing.T) {
	s := newSite(t, 2, func(*mcsetting.Settings) {})
	older := s.store.Copy()
	s.store.Put("config", "main", configuration(2, `"another"`))
	for _, in := range s.instances {
		require.Eventually(t, func() bool { return in.get(t, "/v2/x", "another") == http.StatusOK }, 2*time.Second, 5*time.Millisecond)
	}
	s.store.Restore(older)
	in := s.launch(2, s.storeAddress, func(*mcsetting.Settings) {})
	served := func() int {
		status := in.get(t, "/v1/x", "key")
		require.NotEqual(t, http.StatusOK, status, "a request with the revoked key ran")
		return status
	}
	require.Eventually(t, func() bool {
		served()
		return in.isReady()
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusNotFound, served(), "its route is gone as well")
	require.Equal(t, http.StatusOK, in.get(t, "/v2/x", "another"))
}

// Guards against an instance that does not begin to serve because no peer answers: their records may
// be those of instances that are gone.
func TestInstanceStartsWithoutItsPeers(t *testing.T) {
	s := newSite(t, 0, func(*mcsetting.Settings) {})
	for i, address := range freeAddresses(t, 4) {
		s.store.Put("mc-instances", fmt.Sprint("gone-", i), fmt.Appendf(nil, `{"region":"r","dataCentre":"r","peerAddress":%q}`, address))
	}
	begun := time.Now()
	s.start(0, s.storeAddress, func(*mcsetting.Settings) {})
	require.Less(t, time.Since(begun), 3*time.Second)
	require.Equal(t, http.StatusOK, s.instances[0].get(t, "/v1/x", "key"))
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
