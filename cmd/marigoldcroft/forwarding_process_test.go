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
	// recoverLimit is recover-s of the users' sites: the time until requests are served again
	// after a failure.
	recoverLimit = 12 * time.Second
	// revokeLimit is revoke-ms of the users' sites: the time until a removed key is refused.
	revokeLimit = 5 * time.Second
	// slowBody is the length in bytes of a body whose sender stalls before the last byte.
	slowBody = 2 << 20
	// callsASecond bounds the store calls per second of a starting instance. With it, 400
	// instances whose watches have settled stay within the store's 2,000 reads per second.
	callsASecond = 5
)

// forwardingFleet is a set of entry processes that forward requests. The platform's store and
// the server behind it are stand-ins in the test process.
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
	f.platform.Enter("i-1", mcstandin.PlatformEntry{
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
	f.platform.Configure(mcstandin.PlatformConfig{
		Version: version, Services: []mcstandin.PlatformService{{Name: "s"}},
		Routes: []mcstandin.PlatformRoute{{
			Name: "r", Host: "svc.example", Prefix: "/x/", Kind: mcstandin.PlatformRepeatable, TimeoutMs: 3000, ObjectiveMs: 300,
			Service: "s", MaxAttempts: 2,
		}},
		Teams: []mcstandin.PlatformTeam{{Name: "team", Keys: []string{key}}},
	})
}

// ask sends a request with the key and returns its status, or 0 without a complete response.
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
		"no response with status %d within %s", status, limit)
}

func (f *forwardingFleet) calls() int {
	n := 0
	for _, calls := range f.platform.Calls() {
		n += calls
	}
	return n
}

// Guards against three faults when all instances are killed and restart during a store outage:
// a replaced configuration is in force again, recovery exceeds recoverLimit, or the instances
// flood the store with calls once it is back.
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
	require.NotEqual(t, http.StatusOK, f.ask(f.entries[0], "second"), "a request succeeded although the keys cannot be read during the store outage")
	f.platform.SetFaults(mcstandin.PlatformStoreFaults{})
	before := f.calls()
	for _, p := range f.entries {
		f.waitStatus(p, "second", http.StatusOK, recoverLimit-time.Since(started))
		require.Equal(t, http.StatusUnauthorized, f.ask(p, "key"), "the first configuration is in force again")
	}
	back := time.Now()
	time.Sleep(3 * time.Second)
	// Beside its watches, each instance lists three kinds of records and writes its own record.
	limit := entries * (6 + callsASecond*int(1+time.Since(back).Seconds()))
	require.LessOrEqual(t, f.calls()-before, limit)
}

// Guards against a suspended instance (SIGSTOP) that still accepts, when it continues, a key
// that was removed meanwhile.
func TestSuspendedInstanceForgetsKeys(t *testing.T) {
	f := newForwardingFleet(t, 1)
	p := f.entries[0]
	require.NoError(t, p.command.Process.Signal(syscall.SIGSTOP))
	f.configureRoute(2, "second")
	time.Sleep(revokeLimit)
	require.NoError(t, p.command.Process.Signal(syscall.SIGCONT))
	for range 50 {
		require.NotEqual(t, http.StatusOK, f.ask(p, "key"), "the removed key is still accepted")
		time.Sleep(2 * time.Millisecond)
	}
	f.waitStatus(p, "second", http.StatusOK, revokeLimit)
	require.Equal(t, http.StatusUnauthorized, f.ask(p, "key"))
}

// Guards against callers that stall after most of a body: the memory that their bodies take
// must stay under the limit, and other requests must still be served.
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

// memoryLimitMB is the memory of the smallest machine at the users' sites.
const memoryLimitMB = 184

// residentMB returns the resident memory of a process in MB.
func residentMB(t *testing.T, command *exec.Cmd) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", command.Process.Pid))
	require.NoError(t, err)
	var size, resident int
	_, err = fmt.Sscan(string(text), &size, &resident)
	require.NoError(t, err)
	return resident * os.Getpagesize() >> 20
}
