package mccommand_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcadmin"
	"marigoldcroft/mccommand"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcstore"
)

// fakeInstance serves a fixed status. Its member b-1 stays at revision 3, so that a change
// from revision 4 on is never in force on all instances.
type fakeInstance struct{ follower *mcconfig.Follower }

func (f *fakeInstance) Drain(_ context.Context, instance string) error {
	return marigoldcroft.NewFailure("drain "+instance, mcadmin.KindNotFound, nil)
}
func (f *fakeInstance) SetLeaving(string, bool) error { return nil }
func (f *fakeInstance) ClearQuarantine(uint64) error  { return nil }

func (f *fakeInstance) Status() mcadmin.Status {
	revision := f.follower.Current().Revision()
	return mcadmin.Status{
		Instance: "a-1", DataCentre: "a", Store: "reachable", Config: mcconfig.FollowerStatus{Revision: revision, Newest: revision},
		Members: []mcadmin.MemberStatus{
			{Instance: "a-1", DataCentre: "a", State: "live", Revision: revision},
			{Instance: "b-1", DataCentre: "b", State: "live", Revision: min(revision, 3), AgeMs: 120},
			{Instance: "b-2", DataCentre: "b", State: "gone", Revision: 1, AgeMs: 99000},
		},
		Endpoints: []mcadmin.EndpointStatus{{Name: "engine-1", Kind: "engine", Pool: "caption", State: "live", Running: 3, AgeMs: 40}},
	}
}

func (f *fakeInstance) Explain(string, string, int64) (mcadmin.SchedulingDecision, error) {
	return mcadmin.SchedulingDecision{Action: "dispatch", Endpoint: "engine-1", Class: "short", FirstTokenMs: 12.5, Revision: f.follower.Current().Revision()}, nil
}

// Guards against unintended changes of a verb's output, exit code or effect. The cases run in
// the order of their folder names against one server, so that each sees the state that the
// earlier ones left.
func TestCases(t *testing.T) {
	address := startServer(t)
	folders, err := filepath.Glob("cases/*")
	require.NoError(t, err)
	require.NotEmpty(t, folders)
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			command, err := os.ReadFile(filepath.Join(folder, "command"))
			require.NoError(t, err)
			output := runCommand(strings.Fields(string(command)), address)
			golden := goldie.New(t, goldie.WithFixtureDir(folder), goldie.WithNameSuffix(""))
			golden.Assert(t, "expected", []byte(output))
		})
	}
}

// runCommand executes one command and returns its stdout, stderr and exit code as one text.
func runCommand(arguments []string, address string) string {
	if needsServer(arguments) {
		arguments = append(arguments, "--server", address)
	}
	var stdout, stderr bytes.Buffer
	code := mccommand.Main(arguments, &stdout, &stderr)
	return fmt.Sprintf("%s%sexit %d\n", &stdout, &stderr, code)
}

func needsServer(arguments []string) bool {
	switch arguments[0] {
	case "--help", "frobnicate", "validate", "completion", "version", "evacuate", "restore":
		return false
	}
	return !strings.Contains(strings.Join(arguments, " "), "--server")
}

// startServer serves the admin API over an in-memory store and returns its address.
func startServer(t *testing.T) string {
	ctx, cancel := context.WithCancel(context.Background())
	store := &mcstore.Memory{}
	follower := &mcconfig.Follower{Store: store, Deployment: "test", Logger: zerolog.Nop()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	<-follower.Ready()
	instance := &fakeInstance{follower: follower}
	server := httptest.NewServer((&mcadmin.Server{
		Editor: &mcconfig.Editor{Store: store, Follower: follower}, Query: &mcconfig.Query{Store: store, Follower: follower},
		Command: instance, Instance: instance, Logger: zerolog.Nop(),
	}).Handler())
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-done
	})
	return strings.TrimPrefix(server.URL, "http://")
}
