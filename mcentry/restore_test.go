package mcentry_test

import (
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
