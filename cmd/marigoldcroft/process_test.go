package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcload"
	"marigoldcroft/mcstandin"
)

const (
	startTimeout = 30 * time.Second
	testKey      = "copo-key"
)

// cluster is a set of entry processes whose engines, object store and instance list are
// stand-ins in the test process.
type cluster struct {
	t            *testing.T
	binary       string
	store        *mcstandin.ObjectStore
	engines      []*mcstandin.Engine
	instanceList *mcstandin.InstanceList
	entries      []*process
	// crashCount is the number of engines that a prompt crashed.
	crashCount atomic.Int32
}

// process is an entry instance that runs as a process of its own.
type process struct {
	callerAddress, adminAddress, settingsFile string
	// readyAddress and peerAddress are set for processes that a crowd of callers attacks, and
	// descriptors is their limit of descriptors; 0 means that of the test.
	readyAddress, peerAddress string
	descriptors               int
	// output takes the log; nil means that of the test.
	output  *os.File
	command *exec.Cmd
}

func newCluster(t *testing.T, entries, engines int) *cluster {
	return newClusterWith(t, entries, engines, "", 0)
}

// newLimitedCluster returns a cluster of one entry process with the limits of callers_process_test.go.
func newLimitedCluster(t *testing.T) *cluster {
	return newClusterWith(t, 1, 1, fmt.Sprintf(", forward: {memoryMB: %d}", crowdMemoryMB), crowdDescriptors)
}

// newClusterWith adds the settings, in YAML, and the limit of descriptors to those of the entry processes.
func newClusterWith(t *testing.T, entries, engines int, settings string, descriptors int) *cluster {
	c := &cluster{t: t, binary: buildBinary(t), store: mcstandin.NewObjectStore(1), instanceList: &mcstandin.InstanceList{}}
	var listing marigoldcroft.InstanceListing
	for i := range engines {
		e := &mcstandin.Engine{Settings: mcstandin.EngineSettings{
			Name: fmt.Sprintf("engine-%d", i+1), Model: "caption", PrefillRate: 200_000, TokenTime: 2 * time.Millisecond,
			KVCapacity: 450_000, CacheCapacity: 50_000, ReportLag: 200 * time.Millisecond,
		}}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go e.Run(ctx)
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.CloseClientConnections)
		e.Crash = func() { c.crashEngine(server) }
		c.engines = append(c.engines, e)
		listing.Endpoints = append(listing.Endpoints, marigoldcroft.ListedEndpoint{
			Name: e.Settings.Name, Kind: marigoldcroft.EndpointEngine, Address: server.URL, DataCentre: "a", Pool: "caption",
		})
	}
	storeAddress, listAddress := c.startServer(c.store), c.startServer(c.instanceList.Handler())
	for i := range entries {
		p := &process{callerAddress: freeAddress(t), adminAddress: freeAddress(t), descriptors: descriptors}
		peer := freeAddress(t)
		p.settingsFile = filepath.Join(t.TempDir(), "entry.yaml")
		text := fmt.Sprintf(`{deployment: test, region: r, dataCentre: a, instance: a-%d, callerAddress: "%s", peerAddress: "%s", adminAddress: "%s",
objectStore: "%s", instanceList: "%s", stop: {lameDuck: 500ms, limit: 60s}, log: {level: warn}%s}`,
			i+1, p.callerAddress, peer, p.adminAddress, storeAddress, listAddress, settings)
		require.NoError(t, os.WriteFile(p.settingsFile, []byte(text), 0o600))
		listing.Instances = append(listing.Instances, marigoldcroft.ListedInstance{Name: fmt.Sprintf("a-%d", i+1), DataCentre: "a", Region: "r", PeerAddress: peer})
		c.entries = append(c.entries, p)
	}
	c.instanceList.Show(listing)
	for _, p := range c.entries {
		c.start(p)
	}
	t.Cleanup(c.killAll)
	return c
}

// binaryFolder holds the program that all tests start.
var binaryFolder string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "marigoldcroft-test")
	if err != nil {
		panic(err)
	}
	binaryFolder = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// buildOnce builds the program for the first test that needs it.
var buildOnce = sync.OnceValues(func() (string, error) {
	binary := filepath.Join(binaryFolder, "marigoldcroft")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	return binary, errors.Wrap(err, string(output))
})

func buildBinary(t *testing.T) string {
	binary, err := buildOnce()
	require.NoError(t, err)
	return binary
}

func (c *cluster) startServer(h http.Handler) string {
	server := httptest.NewServer(h)
	c.t.Cleanup(server.CloseClientConnections)
	return server.URL
}

// crashEngine simulates the death of an engine's process: its connections are reset and its port
// refuses new ones.
func (c *cluster) crashEngine(server *httptest.Server) {
	c.crashCount.Add(1)
	// An error does not matter: the listener is closed either way.
	_ = server.Listener.Close()
	go server.CloseClientConnections()
}

func (c *cluster) start(p *process) {
	p.command = exec.Command(c.binary, "serve", "--config", p.settingsFile)
	if p.descriptors > 0 {
		p.command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.descriptors), c.binary, "serve", "--config", p.settingsFile)
	}
	p.command.Stdout, p.command.Stderr = os.Stderr, os.Stderr
	if p.output != nil {
		p.command.Stdout = p.output
	}
	require.NoError(c.t, p.command.Start())
}

// stop begins a planned stop of the process and waits until it has exited.
func (c *cluster) stop(p *process) {
	require.NoError(c.t, p.command.Process.Signal(syscall.SIGTERM))
	require.NoError(c.t, p.command.Wait(), "a planned stop must end without a failure")
}

func (c *cluster) killAll() {
	for _, p := range c.entries {
		// The process may have exited already.
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	}
}

func (c *cluster) waitReady(p *process) {
	require.Eventually(c.t, func() bool {
		response, err := http.Get("http://" + p.callerAddress + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, startTimeout, 20*time.Millisecond, "instance %s is not ready", p.callerAddress)
}

// runVerb runs a verb against the admin API of the first instance.
func (c *cluster) runVerb(arguments ...string) (string, error) {
	output, err := exec.Command(c.binary, append(arguments, "--server", c.entries[0].adminAddress)...).CombinedOutput()
	return string(output), err
}

func (c *cluster) applyConfig() {
	require.Eventually(c.t, func() bool {
		_, err := c.runVerb("apply", "-f", "../../examples/copo-andino.yaml")
		return err == nil
	}, startTimeout, 100*time.Millisecond, "the first instance did not accept the configuration in time")
	for _, p := range c.entries {
		c.waitReady(p)
	}
}

func (c *cluster) targets() []string {
	var targets []string
	for _, p := range c.entries {
		targets = append(targets, "http://"+p.callerAddress)
	}
	return targets
}

func freeAddress(t *testing.T) string {
	address, err := mcstandin.FreeAddress()
	require.NoError(t, err)
	return address
}

func (c *cluster) loadSettings(seed uint64, d time.Duration) mcload.Settings {
	return mcload.Settings{
		Targets: c.targets(), Key: testKey, Seed: seed, Rate: 30, Duration: d, RetryRefusals: true, HealthChecks: true,
		Classes: []mcload.Class{
			{Name: "short", Template: "caption", Weight: 0.65, MinTokens: 1000, MaxTokens: 4000, OutputTokens: 20, Deadline: 10 * time.Second},
			// These responses take 2 s, longer than lameDuck (500 ms), so that the test fails if a
			// planned stop cuts off requests that still run after it.
			{Name: "slow", Template: "comparison", Weight: 0.3, MinTokens: 1000, MaxTokens: 4000, OutputTokens: 1000, Deadline: time.Minute},
			{Name: "long", Template: "comparison", Weight: 0.05, MinTokens: 100_000, MaxTokens: 300_000, OutputTokens: 20, Deadline: time.Minute},
		},
	}
}

func requireAllComplete(t *testing.T, report *mcload.Report, seed uint64) {
	for _, row := range report.Rows() {
		require.Equal(t, row.Callers, row.Outcomes[mcload.OutcomeComplete],
			"seed %d class %s: %v %v", seed, row.Class, row.Outcomes, row.Codes)
	}
}

// Guards against a planned stop that cuts off requests in flight. All instances are restarted
// one after another under load; each request must get a complete response.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.applyConfig()
	const seed = 11
	done := make(chan *mcload.Report, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { done <- mcload.Run(ctx, c.loadSettings(seed, 12*time.Second)) }()
	for _, p := range c.entries {
		c.stop(p)
		c.start(p)
		c.waitReady(p)
	}
	requireAllComplete(t, <-done, seed)
}

// Guards against new work on an endpoint more than 3 s after an operator marked it as leaving
// while the object store is down, so that the mark can spread between instances only.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.applyConfig()
	c.store.SetFaults(mcstandin.ObjectStoreFaults{Outage: true})
	const seed = 12
	done := make(chan *mcload.Report, 1)
	go func() { done <- mcload.Run(context.Background(), c.loadSettings(seed, 8*time.Second)) }()
	leaving := c.engines[0]
	require.Eventually(t, func() bool { return leaving.Accepted() > 0 }, startTimeout, 10*time.Millisecond, "engine-1 got no request under load")
	output, err := c.runVerb("endpoint", "leave", "engine-1")
	require.NoError(t, err, output)
	const maxSpreadTime = 3 * time.Second
	<-time.After(maxSpreadTime)
	served := leaving.Accepted()
	requireAllComplete(t, <-done, seed)
	require.Equal(t, served, leaving.Accepted(), "the leaving engine got new work more than %s after the mark", maxSpreadTime)
	status, err := c.runVerb("status")
	require.NoError(t, err, status)
	require.True(t, strings.Contains(status, "leaving"), status)
}

// Guards against a prompt that crashes one engine after another because its caller retries it
// without a delay at every instance.
func TestCrashingPromptLosesFewEngines(t *testing.T) {
	const poison = "poison"
	c := newCluster(t, 3, 6)
	c.applyConfig()
	for _, e := range c.engines {
		e.SetFaults(mcstandin.EngineFaults{CrashOn: poison})
	}
	const retries = 40
	var codes []string
	var message string
	for i := range retries {
		var code string
		code, message = c.sendShortRequest(c.entries[i%len(c.entries)], poison)
		codes = append(codes, code)
	}
	const maxCrashes = 3
	require.LessOrEqual(t, c.crashCount.Load(), int32(maxCrashes), "engines lost; answers: %v", codes)
	require.Equal(t, "quarantined", codes[retries-1], "answers: %v", codes)
	code, _ := c.sendShortRequest(c.entries[0], "harmless")
	require.Equal(t, "ok", code)
	id := regexp.MustCompile("quarantine ([0-9a-f]{16})").FindStringSubmatch(message)
	require.Len(t, id, 2, "the error message has no quarantine ID: %s", message)
	output, err := c.runVerb("quarantine", "clear", id[1])
	require.NoError(t, err, output)
}

// sendShortRequest sends a short request and returns "ok" or the error code, and the error
// message.
func (c *cluster) sendShortRequest(p *process, text string) (code, message string) {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":5}`, text)
	r, err := http.NewRequest(http.MethodPost, "http://"+p.callerAddress+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(c.t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("X-Template", "caption")
	response, err := http.DefaultClient.Do(r)
	require.NoError(c.t, err)
	defer response.Body.Close()
	var problem struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	require.NoError(c.t, json.NewDecoder(response.Body).Decode(&problem))
	if response.StatusCode == http.StatusOK {
		return "ok", ""
	}
	return problem.Code, problem.Message
}
