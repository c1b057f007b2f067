package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstandin"
)

const (
	// recoverLimit is recover-s of the users' sites.
	recoverLimit = 12 * time.Second
	// revokeLimit is revoke-ms of the users' sites.
	revokeLimit = 5 * time.Second
	// slowBody is the length in bytes of a body whose sender stops.
	slowBody = 2 << 20
	// callsASecond bounds the store calls of a starting instance: with 400 instances and
	// settled watches the store's 2,000 reading calls a second are never reached.
	callsASecond = 5
)

// forwardingFleet is a set of real entry processes that forward requests, over stand-ins of
// the platform in the test process.
type forwardingFleet struct {
	*fleet
	platform *mcstandin.PlatformStore
	server   *mcstandin.PlatformServer
}

func newForwardingFleet(t *testing.T, entries int) *forwardingFleet {
	f := &forwardingFleet{
		fleet:    &fleet{t: t, binary: build(t)},
		platform: mcstandin.NewPlatformStore(1), server: &mcstandin.PlatformServer{ID: "i-1"},
	}
	f.configureRoute(1, "key")
	f.platform.PutEntry("i-1", mcstandin.PlatformEntry{
		Service: "s", Address: strings.TrimPrefix(f.serve(f.server), "http://"), DataCentre: "z", Slots: 8,
		State: mcstandin.PlatformReady, Started: 5,
	})
	store := strings.TrimPrefix(f.serve(f.platform), "http://")
	for i := range entries {
		p := &process{caller: freeAddress(t), admin: freeAddress(t)}
		p.settings = filepath.Join(t.TempDir(), "entry.yaml")
		text := fmt.Sprintf("deployment: d\nregion: r\ndataCentre: z\ninstance: z-%d\npeerAddress: %s\nadminAddress: %s\nscheduler: passModel\n"+
			"forward:\n  address: %s\n  readyAddress: %s\n  platformStore: %s\n  grace: 2s\n  memoryMB: %d\n  keyLease: %s\nlog: {level: warn}\n",
			i+1, freeAddress(t), p.admin, p.caller, freeAddress(t), store, memoryLimitMB, revokeLimit*4/5)
		require.NoError(t, os.WriteFile(p.settings, []byte(text), 0o600))
		f.entries = append(f.entries, p)
		f.start(p)
	}
	t.Cleanup(f.killAll)
	for _, p := range f.entries {
		f.waitStatus(p, "key", http.StatusOK, startLimit)
	}
	return f
}

func (f *forwardingFleet) configureRoute(version int, key string) {
	f.platform.PutConfig(mcstandin.PlatformConfig{
		Version: version, Services: []mcstandin.PlatformService{{Name: "s"}},
		Routes: []mcstandin.PlatformRoute{{
			Name: "r", Host: "svc.example", Prefix: "/x/", Kind: mcstandin.PlatformIdempotent, TimeoutMs: 3000, ObjectiveMs: 300,
			Service: "s", MaxAttempts: 2,
		}},
		Teams: []mcstandin.PlatformTeam{{Name: "team", Keys: []string{key}}},
	})
}

// ask returns the status of a request with the key, or 0 when there is none.
func (f *forwardingFleet) ask(p *process, key string) int {
	ctx, cancel := context.WithTimeout(f.t.Context(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.caller+"/x/y", nil)
	require.NoError(f.t, err)
	r.Host = "svc.example"
	r.Header.Set("Request-Id", fmt.Sprintf("q-%d", time.Now().UnixNano()))
	r.Header.Set("Authorization", "Bearer "+key)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

func (f *forwardingFleet) waitStatus(p *process, key string, status int, limit time.Duration) {
	require.Eventually(f.t, func() bool { return f.ask(p, key) == status }, limit, 20*time.Millisecond,
		"no status %d within %s", status, limit)
}

func (f *forwardingFleet) calls() int {
	n := 0
	for _, calls := range f.platform.Calls() {
		n += calls
	}
	return n
}

// Guards against a loss of all instances that takes a configuration back which was in
// force, that is not over in time, or whose end brings a storm of store calls.
func TestAllInstancesAreKilled(t *testing.T) {
	const entries = 3
	f := newForwardingFleet(t, entries)
	f.configureRoute(2, "second")
	for _, p := range f.entries {
		f.waitStatus(p, "second", http.StatusOK, revokeLimit)
	}
	f.killAll()
	f.platform.SetFaults(mcstandin.PlatformStoreFaults{Status: http.StatusServiceUnavailable})
	started := time.Now()
	for _, p := range f.entries {
		f.start(p)
	}
	time.Sleep(2 * time.Second)
	require.NotEqual(t, http.StatusOK, f.ask(f.entries[0], "second"), "no key is known while the store is out")
	f.platform.SetFaults(mcstandin.PlatformStoreFaults{})
	before := f.calls()
	for _, p := range f.entries {
		f.waitStatus(p, "second", http.StatusOK, recoverLimit-time.Since(started))
		require.Equal(t, http.StatusUnauthorized, f.ask(p, "key"), "the first configuration is in force again")
	}
	back := time.Now()
	time.Sleep(3 * time.Second)
	// Each instance lists three kinds and writes its record beside its watches.
	limit := entries * (6 + callsASecond*int(1+time.Since(back).Seconds()))
	require.LessOrEqual(t, f.calls()-before, limit)
}

// Guards against a suspended instance that honours a removed key when it goes on.
func TestSuspendedInstanceForgetsKeys(t *testing.T) {
	f := newForwardingFleet(t, 1)
	p := f.entries[0]
	require.NoError(t, p.command.Process.Signal(syscall.SIGSTOP))
	f.configureRoute(2, "second")
	time.Sleep(revokeLimit)
	require.NoError(t, p.command.Process.Signal(syscall.SIGCONT))
	for range 50 {
		require.NotEqual(t, http.StatusOK, f.ask(p, "key"), "the removed key is honoured")
		time.Sleep(2 * time.Millisecond)
	}
	f.waitStatus(p, "second", http.StatusOK, revokeLimit)
	require.Equal(t, http.StatusUnauthorized, f.ask(p, "key"))
}

// Guards against callers that send most of a body and then no more: what they hold stays
// under the memory limit, and others are served beside them.
func TestSlowSendersLeaveRoom(t *testing.T) {
	f := newForwardingFleet(t, 1)
	p := f.entries[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 200 {
		reader, writer := io.Pipe()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.caller+"/x/y", reader)
		require.NoError(t, err)
		r.Host, r.ContentLength = "svc.example", slowBody
		r.Header.Set("Request-Id", fmt.Sprintf("slow-%d", i))
		r.Header.Set("Authorization", "Bearer key")
		go func() {
			answer, err := http.DefaultClient.Do(r)
			if err == nil {
				answer.Body.Close()
			}
		}()
		go func() {
			defer writer.Close()
			if _, err := writer.Write(make([]byte, slowBody-1)); err == nil {
				<-ctx.Done()
			}
		}()
	}
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		require.Equal(t, http.StatusOK, f.ask(p, "key"))
		require.Less(t, residentMB(t, p.command), memoryLimitMB)
		time.Sleep(20 * time.Millisecond)
	}
}

// memoryLimitMB is the memory of the smallest machine of the users' sites.
const memoryLimitMB = 184

// residentMB returns the resident memory of a process.
func residentMB(t *testing.T, command *exec.Cmd) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", command.Process.Pid))
	require.NoError(t, err)
	var size, resident int
	_, err = fmt.Sscan(string(text), &size, &resident)
	require.NoError(t, err)
	return resident * os.Getpagesize() >> 20
}
