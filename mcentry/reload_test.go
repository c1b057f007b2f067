package mcentry_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcentry"
	"marigoldcroft/mcsetting"
	"marigoldcroft/mcstandin"
)

// startReloading starts an instance with a settings file. reload writes the file anew with the given
// lines under forward and sends a hang-up signal.
func (s *site) startReloading(forward string) (in *instance, output *lockedBuffer, reload func(forward string)) {
	s.t.Helper()
	file, a := filepath.Join(s.t.TempDir(), "entry.yaml"), freeAddresses(s.t, 4)
	write := func(forward string) {
		text := fmt.Sprintf("deployment: d\nregion: r\ndataCentre: z\ninstance: reloading\npeerAddress: %s\nadminAddress: %s\nscheduler: passModel\n"+
			"forward:\n  address: %s\n  readyAddress: %s\n  platformStore: %s\n%s", a[0], a[1], a[2], a[3], s.storeAddress, forward)
		require.NoError(s.t, os.WriteFile(file, []byte(text), 0o600))
	}
	write(forward)
	settings, err := mcsetting.Load(file)
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	hangup := make(chan os.Signal, 1)
	output = &lockedBuffer{}
	in = &instance{callers: a[2], ready: a[3], stop: stop, ended: make(chan error, 1)}
	entry := &mcentry.Forwarding{Settings: settings, Output: output, SettingsFile: file, Hangup: hangup}
	go func() { in.ended <- entry.Run(ctx) }()
	s.t.Cleanup(func() {
		stop()
		<-in.ended
	})
	require.Eventually(s.t, in.isReady, 10*time.Second, 10*time.Millisecond)
	return in, output, func(forward string) {
		write(forward)
		hangup <- syscall.SIGHUP
		require.Eventually(s.t, func() bool { return strings.Contains(output.String(), "signalled=true") }, 5*time.Second, time.Millisecond)
	}
}

// Guards against a grace time that is changed while the instance runs and not followed: at the next
// stop, requests are cut before the end of the longer one.
func TestChangedGraceTimeHoldsAtTheNextStop(t *testing.T) {
	s := newSite(t, 0, nil)
	s.server.CallTime = 3 * time.Second
	back := httptest.NewServer(s.server)
	t.Cleanup(back.Close)
	s.store.Put("config", "main", bytes.ReplaceAll(configuration(2, `"key"`), []byte(`"timeout-ms":3000`), []byte(`"timeout-ms":30000`)))
	s.store.Put("servers", "i-1", fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","batch-slots":8,"state":"ready","born":6}`,
		strings.TrimPrefix(back.URL, "http://")))
	in, output, reload := s.startReloading("  grace: 2s\n")
	reload("  grace: 8s\n")
	require.Contains(t, output.String(), "changed=[\"forward.grace\"]")
	require.Contains(t, output.String(), "needRestart=[]")
	answered := make(chan int, 1)
	go func() { answered <- in.get(t, "/v2/x", "key") }()
	require.Eventually(t, func() bool { return len(s.server.Runs()) == 1 }, 5*time.Second, time.Millisecond)
	in.stop()
	require.Equal(t, http.StatusOK, <-answered)
}

// Guards against a shorter lease on keys that is not followed, so that a key which was taken away is
// accepted for longer than the operator allows.
func TestChangedKeyLeaseHolds(t *testing.T) {
	s := newSite(t, 0, nil)
	in, _, reload := s.startReloading("  keyLease: 5m\n")
	require.Equal(t, http.StatusOK, in.get(t, "/v1/x", "key"))
	reload("  keyLease: 1500ms\n")
	s.store.SetFaults(mcstandin.PlatformStoreFaults{Status: http.StatusServiceUnavailable})
	require.Eventually(t, func() bool { return in.get(t, "/v1/x", "key") == http.StatusServiceUnavailable }, 10*time.Second, 50*time.Millisecond)
}

// Guards against a changed setting that has no effect and of which the log says nothing.
func TestSettingsThatNeedARestartAreNamed(t *testing.T) {
	s := newSite(t, 0, nil)
	_, output, reload := s.startReloading("  memoryMB: 100\n")
	reload("  memoryMB: 200\n")
	require.Contains(t, output.String(), "needRestart=[\"forward.memoryMB\"]")
}
