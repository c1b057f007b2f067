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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcload"
	"marigoldcroft/mcstandin"
)

const (
	startLimit = 30 * time.Second
	testKey    = "copo-key"
)

// fleet is a set of real entry processes over stand-ins in the test process.
type fleet struct {
	t       *testing.T
	binary  string
	store   *mcstandin.ObjectStore
	engines []*mcstandin.Engine
	list    *mcstandin.InstanceList
	entries []*process
	// crashed counts the engines that a prompt ended.
	crashed atomic.Int32
}

// process is one entry instance.
type process struct {
	caller, admin, settings string
	command                 *exec.Cmd
}

func newFleet(t *testing.T, entries, engines int) *fleet {
	f := &fleet{t: t, binary: build(t), store: mcstandin.NewObjectStore(1), list: &mcstandin.InstanceList{}}
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
		e.Crash = func() { f.crash(server) }
		f.engines = append(f.engines, e)
		listing.Endpoints = append(listing.Endpoints, marigoldcroft.ListedEndpoint{
			Name: e.Settings.Name, Kind: marigoldcroft.EndpointEngine, Address: server.URL, DataCentre: "a", Pool: "caption",
		})
	}
	storeAddress, listAddress := f.serve(f.store), f.serve(f.list.Handler())
	for i := range entries {
		p := &process{caller: freeAddress(t), admin: freeAddress(t)}
		peer := freeAddress(t)
		p.settings = filepath.Join(t.TempDir(), "entry.yaml")
		text := fmt.Sprintf(`{deployment: test, region: r, dataCentre: a, instance: a-%d, callerAddress: "%s", peerAddress: "%s", adminAddress: "%s",
objectStore: "%s", instanceList: "%s", stop: {lameDuck: 500ms, limit: 60s}, log: {level: warn}}`,
			i+1, p.caller, peer, p.admin, storeAddress, listAddress)
		require.NoError(t, os.WriteFile(p.settings, []byte(text), 0o600))
		listing.Instances = append(listing.Instances, marigoldcroft.ListedInstance{Name: fmt.Sprintf("a-%d", i+1), DataCentre: "a", Region: "r", PeerAddress: peer})
		f.entries = append(f.entries, p)
	}
	f.list.Show(listing)
	for _, p := range f.entries {
		f.start(p)
	}
	t.Cleanup(f.killAll)
	return f
}

func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "marigoldcroft")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(output))
	return binary
}

func (f *fleet) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	f.t.Cleanup(server.CloseClientConnections)
	return server.URL
}

// crash ends an engine as the death of its process does: connections are reset and
// the port refuses new ones.
func (f *fleet) crash(server *httptest.Server) {
	f.crashed.Add(1)
	// The listener is closed in any case.
	_ = server.Listener.Close()
	go server.CloseClientConnections()
}

func (f *fleet) start(p *process) {
	p.command = exec.Command(f.binary, "serve", "--config", p.settings)
	p.command.Stdout, p.command.Stderr = os.Stderr, os.Stderr
	require.NoError(f.t, p.command.Start())
}

// stop begins a planned stop and waits for its end.
func (f *fleet) stop(p *process) {
	require.NoError(f.t, p.command.Process.Signal(syscall.SIGTERM))
	require.NoError(f.t, p.command.Wait(), "a planned stop must end without a failure")
}

func (f *fleet) killAll() {
	for _, p := range f.entries {
		// A process that has ended already needs no end.
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	}
}

func (f *fleet) waitReady(p *process) {
	require.Eventually(f.t, func() bool {
		response, err := http.Get("http://" + p.caller + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, startLimit, 20*time.Millisecond, "instance %s is not ready", p.caller)
}

// operate runs an operators' verb against the first instance.
func (f *fleet) operate(arguments ...string) (string, error) {
	output, err := exec.Command(f.binary, append(arguments, "--server", f.entries[0].admin)...).CombinedOutput()
	return string(output), err
}

func (f *fleet) configure() {
	require.Eventually(f.t, func() bool {
		_, err := f.operate("apply", "-f", "../../examples/copo-andino.yaml")
		return err == nil
	}, startLimit, 100*time.Millisecond, "the configuration is not accepted")
	for _, p := range f.entries {
		f.waitReady(p)
	}
}

func (f *fleet) targets() []string {
	var targets []string
	for _, p := range f.entries {
		targets = append(targets, "http://"+p.caller)
	}
	return targets
}

func freeAddress(t *testing.T) string {
	address, err := mcstandin.FreeAddress()
	require.NoError(t, err)
	return address
}

func (f *fleet) load(seed uint64, d time.Duration) mcload.Settings {
	return mcload.Settings{
		Targets: f.targets(), Key: testKey, Seed: seed, Rate: 30, Duration: d, RetryNow: true, HealthChecks: true,
		Classes: []mcload.Class{
			{Name: "short", Template: "caption", Weight: 0.65, MinTokens: 1000, MaxTokens: 4000, OutputTokens: 20, Deadline: 10 * time.Second},
			// Answers of 2 s outlast the lame-duck time, so that a stop that cuts them shows.
			{Name: "slow", Template: "comparison", Weight: 0.3, MinTokens: 1000, MaxTokens: 4000, OutputTokens: 1000, Deadline: time.Minute},
			{Name: "long", Template: "comparison", Weight: 0.05, MinTokens: 100_000, MaxTokens: 300_000, OutputTokens: 20, Deadline: time.Minute},
		},
	}
}

func requireAllWhole(t *testing.T, report *mcload.Report, seed uint64) {
	for _, row := range report.Rows() {
		require.Equal(t, row.Callers, row.Outcomes[mcload.OutcomeWhole],
			"seed %d class %s: %v %v", seed, row.Class, row.Outcomes, row.Codes)
	}
}

// Guards against a planned stop that cuts off a request: every instance is restarted
// in turn under load, and each request still gets its whole answer.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.configure()
	const seed = 11
	done := make(chan *mcload.Report, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { done <- mcload.Run(ctx, f.load(seed, 12*time.Second)) }()
	for _, p := range f.entries {
		f.stop(p)
		f.start(p)
		f.waitReady(p)
	}
	requireAllWhole(t, <-done, seed)
}

// Guards against new work on an endpoint 3 s after an operator marked it as leaving,
// while the object store is down.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.configure()
	f.store.SetFaults(mcstandin.ObjectStoreFaults{Outage: true})
	const seed = 12
	done := make(chan *mcload.Report, 1)
	go func() { done <- mcload.Run(context.Background(), f.load(seed, 8*time.Second)) }()
	leaving := f.engines[0]
	require.Eventually(t, func() bool { return leaving.Accepted() > 0 }, startLimit, 10*time.Millisecond, "the engine never got work")
	output, err := f.operate("endpoint", "leave", "engine-1")
	require.NoError(t, err, output)
	const promised = 3 * time.Second
	<-time.After(promised)
	accepted := leaving.Accepted()
	requireAllWhole(t, <-done, seed)
	require.Equal(t, accepted, leaving.Accepted(), "the leaving engine got new work more than %s after the mark", promised)
	status, err := f.operate("status")
	require.NoError(t, err, status)
	require.True(t, strings.Contains(status, "leaving"), status)
}

// Guards against one prompt that ends engine after engine because its caller sends it
// again at once to every instance.
func TestCrashingPromptLosesFewEngines(t *testing.T) {
	const poison = "poison"
	f := newFleet(t, 3, 6)
	f.configure()
	for _, e := range f.engines {
		e.SetFaults(mcstandin.EngineFaults{CrashOn: poison})
	}
	const retries = 40
	var codes []string
	var message string
	for i := range retries {
		var code string
		code, message = f.ask(f.entries[i%len(f.entries)], poison)
		codes = append(codes, code)
	}
	const promised = 3
	require.LessOrEqual(t, f.crashed.Load(), int32(promised), "engines lost; answers: %v", codes)
	require.Equal(t, "quarantined", codes[retries-1], "answers: %v", codes)
	code, _ := f.ask(f.entries[0], "harmless")
	require.Equal(t, "ok", code)
	id := regexp.MustCompile("quarantine ([0-9a-f]{16})").FindStringSubmatch(message)
	require.Len(t, id, 2, "the answer names no quarantine: %s", message)
	output, err := f.operate("quarantine", "clear", id[1])
	require.NoError(t, err, output)
}

// ask sends one short question and returns the error code or "ok", and the message.
func (f *fleet) ask(p *process, text string) (code, message string) {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":5}`, text)
	r, err := http.NewRequest(http.MethodPost, "http://"+p.caller+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(f.t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("X-Template", "caption")
	response, err := http.DefaultClient.Do(r)
	require.NoError(f.t, err)
	defer response.Body.Close()
	var problem struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	require.NoError(f.t, json.NewDecoder(response.Body).Decode(&problem))
	if response.StatusCode == http.StatusOK {
		return "ok", ""
	}
	return problem.Code, problem.Message
}
