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
	// slowBodyBytes is the length in bytes of a body whose sender stalls before the last byte.
	slowBodyBytes = 2 << 20
	// storeCallsPerSecond bounds the store calls per second of a starting instance. With it, 400
	// instances whose watches have settled stay within the store's 2,000 reads per second.
	storeCallsPerSecond = 5
)

// forwardingCluster is a set of entry processes that forward requests. The platform's store and
// the server behind it are stand-ins in the test process.
type forwardingCluster struct {
	*cluster
	platform *mcstandin.PlatformStore
	server   *mcstandin.PlatformServer
}

// newForwardingCluster starts the processes. Each of settings is a line of the section forward of their
// settings files.
func newForwardingCluster(t *testing.T, entries int, settings ...string) *forwardingCluster {
	return newForwardingClusterWith(t, entries, memoryLimitMB, 0, nil, settings...)
}

// newLimitedForwardingCluster returns one entry process with the limits of callers_process_test.go.
func newLimitedForwardingCluster(t *testing.T) *forwardingCluster {
	return newForwardingClusterWith(t, 1, crowdMemoryMB, crowdDescriptors, nil)
}

// newForwardingClusterWith sets the memory and, unless they are 0 or nil, the limit of descriptors and the
// output of the log.
func newForwardingClusterWith(t *testing.T, entries, memoryMB, descriptors int, output *os.File, settings ...string) *forwardingCluster {
	c := &forwardingCluster{
		cluster:  &cluster{t: t, binary: buildBinary(t)},
		platform: mcstandin.NewPlatformStore(1), server: &mcstandin.PlatformServer{ID: "i-1"},
	}
	c.configureRoute(1, "key")
	c.platform.PutEntry("i-1", mcstandin.PlatformEntry{
		Service: "s", Address: strings.TrimPrefix(c.startServer(c.server), "http://"), DataCentre: "z", Slots: 8,
		State: mcstandin.PlatformReady, Started: 5,
	})
	store := strings.TrimPrefix(c.startServer(c.platform), "http://")
	for i := range entries {
		p := &process{
			callerAddress: freeAddress(t), adminAddress: freeAddress(t), readyAddress: freeAddress(t), peerAddress: freeAddress(t), descriptors: descriptors, output: output,
		}
		p.settingsFile = filepath.Join(t.TempDir(), "entry.yaml")
		text := fmt.Sprintf("deployment: d\nregion: r\ndataCentre: z\ninstance: z-%d\npeerAddress: %s\nadminAddress: %s\nscheduler: passModel\n"+
			"forward:\n  address: %s\n  readyAddress: %s\n  platformStore: %s\n  grace: 2s\n  memoryMB: %d\n  keyLease: %s\n",
			i+1, p.peerAddress, p.adminAddress, p.callerAddress, p.readyAddress, store, memoryMB, revokeLimit*4/5)
		for _, line := range settings {
			text += "  " + line + "\n"
		}
		text += "log: {level: warn}\n"
		require.NoError(t, os.WriteFile(p.settingsFile, []byte(text), 0o600))
		c.entries = append(c.entries, p)
		c.start(p)
	}
	t.Cleanup(c.killAll)
	for _, p := range c.entries {
		c.waitStatus(p, "key", http.StatusOK, startTimeout)
	}
	return c
}

func (c *forwardingCluster) configureRoute(version int, key string) {
	c.platform.PutConfig(mcstandin.PlatformConfig{
		Version: version, Services: []mcstandin.PlatformService{{Name: "s"}},
		Routes: []mcstandin.PlatformRoute{{
			Name: "r", Host: "svc.example", Prefix: "/x/", Kind: mcstandin.PlatformIdempotent, TimeoutMs: 3000, ObjectiveMs: 300,
			Service: "s", MaxAttempts: 2,
		}},
		Teams: []mcstandin.PlatformTeam{{Name: "team", Keys: []string{key}}},
	})
}

// requestStatus sends a request with the key and returns its status, or 0 without a complete
// response.
func (c *forwardingCluster) requestStatus(p *process, key string) int {
	ctx, cancel := context.WithTimeout(c.t.Context(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.callerAddress+"/x/y", nil)
	require.NoError(c.t, err)
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

func (c *forwardingCluster) waitStatus(p *process, key string, status int, limit time.Duration) {
	require.Eventually(c.t, func() bool { return c.requestStatus(p, key) == status }, limit, 20*time.Millisecond,
		"no response with status %d within %s", status, limit)
}

func (c *forwardingCluster) storeCalls() int {
	n := 0
	for _, calls := range c.platform.Calls() {
		n += calls
	}
	return n
}

// Guards against three faults when all instances are killed and restart during a store outage:
// a replaced configuration is in force again, recovery exceeds recoverLimit, or the instances
// flood the store with calls once it is back.
func TestAllInstancesAreKilled(t *testing.T) {
	const entries = 3
	c := newForwardingCluster(t, entries)
	c.configureRoute(2, "second")
	for _, p := range c.entries {
		c.waitStatus(p, "second", http.StatusOK, revokeLimit)
	}
	c.killAll()
	c.platform.SetFaults(mcstandin.PlatformStoreFaults{Status: http.StatusServiceUnavailable})
	restartedAt := time.Now()
	for _, p := range c.entries {
		c.start(p)
	}
	time.Sleep(2 * time.Second)
	require.NotEqual(t, http.StatusOK, c.requestStatus(c.entries[0], "second"), "a request succeeded although the keys cannot be read during the store outage")
	c.platform.SetFaults(mcstandin.PlatformStoreFaults{})
	before := c.storeCalls()
	for _, p := range c.entries {
		c.waitStatus(p, "second", http.StatusOK, recoverLimit-time.Since(restartedAt))
		require.Equal(t, http.StatusUnauthorized, c.requestStatus(p, "key"), "the first configuration is in force again")
	}
	recoveredAt := time.Now()
	time.Sleep(3 * time.Second)
	// Beside its watches, each instance lists three kinds of records and writes its own record.
	limit := entries * (6 + storeCallsPerSecond*int(1+time.Since(recoveredAt).Seconds()))
	require.LessOrEqual(t, c.storeCalls()-before, limit)
}

// Guards against a suspended instance (SIGSTOP) that still accepts, when it continues, a key
// that was removed meanwhile.
func TestSuspendedInstanceForgetsKeys(t *testing.T) {
	c := newForwardingCluster(t, 1)
	p := c.entries[0]
	require.NoError(t, p.command.Process.Signal(syscall.SIGSTOP))
	c.configureRoute(2, "second")
	time.Sleep(revokeLimit)
	require.NoError(t, p.command.Process.Signal(syscall.SIGCONT))
	for range 50 {
		require.NotEqual(t, http.StatusOK, c.requestStatus(p, "key"), "the removed key is still accepted")
		time.Sleep(2 * time.Millisecond)
	}
	c.waitStatus(p, "second", http.StatusOK, revokeLimit)
	require.Equal(t, http.StatusUnauthorized, c.requestStatus(p, "key"))
}

// Guards against callers that stall after most of a body: the memory that their bodies take
// must stay under the limit, and other requests must still be served.
func TestSlowSendersLeaveRoom(t *testing.T) {
	c := newForwardingCluster(t, 1)
	p := c.entries[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 200 {
		reader, writer := io.Pipe()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callerAddress+"/x/y", reader)
		require.NoError(t, err)
		r.Host, r.ContentLength = "svc.example", slowBodyBytes
		r.Header.Set("Request-Id", fmt.Sprintf("slow-%d", i))
		r.Header.Set("Authorization", "Bearer key")
		go func() {
			response, err := http.DefaultClient.Do(r)
			if err == nil {
				response.Body.Close()
			}
		}()
		go func() {
			defer writer.Close()
			if _, err := writer.Write(make([]byte, slowBodyBytes-1)); err == nil {
				<-ctx.Done()
			}
		}()
	}
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		require.Equal(t, http.StatusOK, c.requestStatus(p, "key"))
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
