package mcentry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcentry"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcsetting"
	"marigoldcroft/mcstandin"
)

// site is a fake of the users' platform with forwarding instances in front of one server.
type site struct {
	t     *testing.T
	store *mcstandin.PlatformStore
	// storeAddress is the address of store.
	storeAddress  string
	server        *mcstandin.PlatformServer
	serverAddress string
	instances     []*instance
}

type instance struct {
	callers, ready, admin string
	stop                  context.CancelFunc
	abort                 chan struct{}
	ended                 chan error
}

// freeAddresses returns unused addresses of the loopback interface.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	addresses, err := mcstandin.FreeAddresses(n)
	require.NoError(t, err)
	return addresses
}

// configuration returns a configuration whose only route has the version in its path.
func configuration(version int, keys string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r%d","host":"svc.example","path-prefix":"/v%d/","type":"idempotent",`+
		`"timeout-ms":3000,"goal-ms":300,"priority":1,"service":"s","max-attempts":2}],`+
		`"services":[{"name":"s","health-path":"/health","max-conns":50}],"limits":{"max-body-bytes":1000},`+
		`"tenants":[{"name":"team","api-keys":[%s]}]}`, version, version, version, keys)
}

// newSite starts n instances with settings that change may modify.
func newSite(t *testing.T, n int, change func(*mcsetting.Settings)) *site {
	t.Helper()
	s := &site{t: t, store: mcstandin.NewPlatformStore(1), server: &mcstandin.PlatformServer{ID: "i-1"}}
	back := httptest.NewServer(s.server)
	t.Cleanup(back.Close)
	s.serverAddress = strings.TrimPrefix(back.URL, "http://")
	shared := httptest.NewServer(s.store)
	t.Cleanup(shared.CloseClientConnections)
	s.storeAddress = strings.TrimPrefix(shared.URL, "http://")
	s.store.Put("config", "main", configuration(1, `"key"`))
	s.store.Put("servers", "i-1", fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","batch-slots":8,"state":"ready","born":5}`,
		s.serverAddress))
	for i := range n {
		s.start(i, s.storeAddress, change)
	}
	return s
}

// start starts an instance and waits until it is ready.
func (s *site) start(i int, store string, change func(*mcsetting.Settings)) {
	in := s.launch(i, store, change)
	require.Eventually(s.t, func() bool { return in.isReady() }, 10*time.Second, 10*time.Millisecond)
}

// launch starts an instance.
func (s *site) launch(i int, store string, change func(*mcsetting.Settings)) *instance {
	a := freeAddresses(s.t, 4)
	settings := mcsetting.Default()
	settings.Deployment, settings.Region, settings.DataCentre = "d", "r", "z"
	settings.Instance = fmt.Sprintf("instance-%d", i)
	settings.PeerAddress, settings.AdminAddress, settings.Scheduler = a[0], a[1], "passModel"
	settings.Forward.Address, settings.Forward.ReadyAddress, settings.Forward.PlatformStore = a[2], a[3], store
	settings.Forward.Grace = 2 * time.Second
	change(&settings)
	require.NoError(s.t, mcsetting.Check(&settings))
	ctx, stop := context.WithCancel(context.Background())
	in := &instance{callers: a[2], ready: a[3], admin: a[1], stop: stop, abort: make(chan struct{}), ended: make(chan error, 1)}
	var output lockedBuffer
	entry := &mcentry.Forwarding{Settings: settings, Output: &output, Abort: in.abort}
	go func() { in.ended <- entry.Run(ctx) }()
	s.t.Cleanup(func() {
		stop()
		<-in.ended
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", settings.Instance, output.String())
		}
	})
	s.instances = append(s.instances, in)
	return in
}

func (i *instance) isReady() bool {
	response, err := http.Get("http://" + i.ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// get sends a request with the API key and returns the response status, or 0 if it failed.
func (i *instance) get(t *testing.T, path, key string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+i.callers+path, nil)
	require.NoError(t, err)
	r.Host = "svc.example"
	r.Header.Set("Request-Id", fmt.Sprintf("q-%d", time.Now().UnixNano()))
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Guards against instances that apply a new configuration too late, and against replacing
// the configuration by an older or malformed one.
func TestForwardingFollowsTheConfiguration(t *testing.T) {
	s := newSite(t, 2, func(*mcsetting.Settings) {})
	for _, in := range s.instances {
		require.Equal(t, http.StatusOK, in.get(t, "/v1/x", "key"))
		require.Equal(t, http.StatusNotFound, in.get(t, "/v2/x", "key"))
	}
	s.store.Put("config", "main", configuration(2, `"key"`))
	for _, in := range s.instances {
		require.Eventually(t, func() bool { return in.get(t, "/v2/x", "key") == http.StatusOK }, 2*time.Second, 5*time.Millisecond)
		require.Equal(t, http.StatusNotFound, in.get(t, "/v1/x", "key"))
	}
	s.store.Put("config", "main", configuration(1, `"key"`))
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, http.StatusOK, s.instances[0].get(t, "/v2/x", "key"), "an older version is ignored")
	s.store.Put("config", "main", []byte("not JSON"))
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, http.StatusOK, s.instances[0].get(t, "/v2/x", "key"), "a malformed configuration is ignored")
}

// Guards against a removed API key that an instance without access to the store accepts
// for longer than the lease.
func TestRemovedKeyStopsWithoutTheStore(t *testing.T) {
	s := newSite(t, 1, func(settings *mcsetting.Settings) { settings.Forward.KeyLease = 3 * time.Second })
	in := s.instances[0]
	require.Equal(t, http.StatusOK, in.get(t, "/v1/x", "key"))
	s.store.SetFaults(mcstandin.PlatformStoreFaults{Status: http.StatusServiceUnavailable})
	// The pending watch was accepted before the fault. It has to end, without a change,
	// before the key is removed.
	time.Sleep(mcfollow.DefaultWatchTimeout + 200*time.Millisecond)
	removed := time.Now()
	s.store.Put("config", "main", configuration(2, `"other"`))
	require.Eventually(t, func() bool { return in.get(t, "/v1/x", "key") == http.StatusServiceUnavailable }, 6*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(removed), 4*time.Second)
	s.store.SetFaults(mcstandin.PlatformStoreFaults{})
	require.Eventually(t, func() bool { return in.get(t, "/v2/x", "other") == http.StatusOK }, 5*time.Second, 20*time.Millisecond)
	require.Equal(t, http.StatusUnauthorized, in.get(t, "/v2/x", "key"))
}

// Guards against an instance that makes more than a few store calls a second while nothing
// changes.
func TestIdleInstanceMakesFewCalls(t *testing.T) {
	s := newSite(t, 1, func(*mcsetting.Settings) {})
	time.Sleep(500 * time.Millisecond)
	before := s.store.Calls()
	time.Sleep(4 * time.Second)
	calls := 0
	for kind, n := range s.store.Calls() {
		calls += n - before[kind]
	}
	require.LessOrEqual(t, calls, 8, "store calls in four idle seconds")
}

// Guards against a graceful shutdown that aborts running requests or during which the
// instance still reports that it is ready.
func TestForwardingStops(t *testing.T) {
	s := newSite(t, 1, func(*mcsetting.Settings) {})
	in := s.instances[0]
	s.server.CallTime = 500 * time.Millisecond
	answered := make(chan int, 1)
	go func() { answered <- in.get(t, "/v1/x", "key") }()
	require.Eventually(t, func() bool { return len(s.server.Runs()) == 1 }, 5*time.Second, time.Millisecond)
	in.stop()
	require.Eventually(t, func() bool { return !in.isReady() }, time.Second, 5*time.Millisecond)
	require.Equal(t, http.StatusOK, <-answered)
	err := <-in.ended
	in.ended <- err
	require.NoError(t, err)
}

// Guards against work that is accepted late in a stop and cut off at its end: the balancer checks
// once a second and stops sending after two failures, and later requests have less time left.
func TestStopAcceptsNoLongerThanTheBalancerSends(t *testing.T) {
	s := newSite(t, 1, func(settings *mcsetting.Settings) { settings.Forward.Grace = 20 * time.Second })
	in := s.instances[0]
	require.Equal(t, http.StatusOK, in.get(t, "/v1/x", "key"))
	begun := time.Now()
	in.stop()
	require.Eventually(t, func() bool { return !in.isReady() }, time.Second, time.Millisecond)
	// lastServed is when the last request that was served was sent.
	var lastServed time.Duration
	require.Eventually(t, func() bool {
		sent := time.Since(begun)
		if in.get(t, "/v1/x", "key") != http.StatusOK {
			return true
		}
		lastServed = sent
		return false
	}, 10*time.Second, 10*time.Millisecond)
	require.Greater(t, time.Since(begun), 2*time.Second, "the balancer still sends requests")
	require.Less(t, lastServed, 3*time.Second)
}

// Guards against a hang-up signal that ends the process, and against settings that are
// applied or rejected without a log line.
func TestSettingsAreReloaded(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.yaml")
	hangup := make(chan os.Signal, 1)
	var output lockedBuffer
	a := freeAddresses(t, 4)
	text := func(ratio string) string {
		return fmt.Sprintf("deployment: d\nregion: r\ndataCentre: z\ninstance: i\npeerAddress: %s\nadminAddress: %s\nscheduler: passModel\n"+
			"forward:\n  address: %s\n  readyAddress: %s\n  platformStore: 127.0.0.1:1\n  retryRatio: %s\n", a[0], a[1], a[2], a[3], ratio)
	}
	require.NoError(t, os.WriteFile(file, []byte(text("0.1")), 0o600))
	settings, err := mcsetting.Load(file)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	entry := &mcentry.Forwarding{Settings: settings, Output: &output, SettingsFile: file, Hangup: hangup}
	go func() { ended <- entry.Run(ctx) }()
	hangup <- syscall.SIGHUP
	require.Eventually(t, func() bool { return strings.Contains(output.String(), "settingsReloaded") }, 5*time.Second, 10*time.Millisecond)
	require.NoError(t, os.WriteFile(file, []byte(text("0.3")), 0o600))
	require.Eventually(t, func() bool { return strings.Contains(output.String(), "retryBudgetChanged=true") }, 10*time.Second, 10*time.Millisecond)
	require.NoError(t, os.WriteFile(file, []byte(text("7")), 0o600))
	require.Eventually(t, func() bool { return strings.Contains(output.String(), "settingsRefused") }, 10*time.Second, 10*time.Millisecond)
	require.Contains(t, output.String(), "forward.retryRatio")
	stop()
	<-ended
}

// lockedBuffer is a buffer that a test can read while an instance writes to it.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
