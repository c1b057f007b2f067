package mccommand_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcadmin"
	"marigoldcroft/mccommand"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcjob"
	"marigoldcroft/mcstore"
)

// offline names the verbs that talk to no server.
var offline = map[string]bool{"validate": true, "version": true, "completion": true, "help": true, "--help": true, "frob": true}

// daemon stands in for the parts that the daemon supplies.
type daemon struct {
	follower *mcconfig.Follower
	// partitioned adds a data centre that has no news.
	partitioned bool
}

func (d *daemon) Status(_ context.Context, revision uint64) (mcadmin.Status, error) {
	status := mcadmin.Status{
		Deployment: "test", DataCentre: "north", Instance: "entry-1", State: "live", Config: d.follower.Status(),
		DataCentres: []mcadmin.DataCentreStatus{{Name: "north", Instances: 1, Reachable: true}},
		Endpoints:   []mcadmin.EndpointStatus{{Name: "caption-1", DataCentre: "north", State: "up"}},
	}
	if d.follower.Current().Revision() >= revision {
		status.DataCentres[0].InForce = 1
	}
	if d.partitioned {
		status.DataCentres = append(status.DataCentres, mcadmin.DataCentreStatus{Name: "south", Instances: 2})
	}
	return status, nil
}

func (d *daemon) Drain(_ context.Context, instance string) error { return known(instance, "entry-1") }

func (d *daemon) MarkEndpoint(_ context.Context, name string, _ bool) error {
	return known(name, "caption-1")
}

func (d *daemon) ClearQuarantine(_ context.Context, id string) error { return known(id, "f00d") }

func (d *daemon) Explain(_ context.Context, r mcadmin.ExplainRequest) (mcadmin.Explanation, error) {
	return mcadmin.Explanation{
		Class: "short", Decision: "admitted to", Endpoint: "caption-1",
		Reasons: []string{fmt.Sprintf("%d tokens of team %s", r.Tokens, r.Team)},
	}, nil
}

func known(name, only string) error {
	if name != only {
		return marigoldcroft.NewFailure("find "+name, mcadmin.KindNotFound, nil)
	}
	return nil
}

// serve starts an admin port over an empty store.
func serve(t *testing.T, partitioned bool) string {
	t.Helper()
	store := &mcstore.Memory{}
	follower := &mcconfig.Follower{Store: store, Deployment: "test"}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	<-follower.Ready()
	jobs := &mcjob.Jobs{Store: store, Identity: marigoldcroft.NewIdentity("test", "r", "north", "entry-1", time.Now(), 1)}
	d := &daemon{follower: follower, partitioned: partitioned}
	handler := &mcadmin.Handler{
		Editor: &mcconfig.Editor{Store: store, Follower: follower},
		Config: &mcconfig.Query{Store: store, Follower: follower},
		Jobs:   jobs, JobCommands: jobs, Status: d, Drainer: d, Endpoints: d, Explainer: d, Quarantine: d,
	}
	server := httptest.NewServer(handler.Routes())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against a verb whose output, exit code or error message changes unnoticed.
// Each folder of cases holds the commands, one a line, and the expected output.
func TestCases(t *testing.T) {
	var (
		times    = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`)
		versions = regexp.MustCompile(`go1\S*`)
	)
	folders, err := filepath.Glob("cases/*")
	require.NoError(t, err)
	require.NotEmpty(t, folders)
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			t.Chdir(folder)
			_, err := os.Stat("partitioned")
			address := serve(t, err == nil)
			commands, err := os.ReadFile("command")
			require.NoError(t, err)
			var out strings.Builder
			for line := range strings.Lines(string(commands)) {
				fmt.Fprintf(&out, "$ %s", line)
				arguments := strings.Fields(line)[1:]
				if len(arguments) > 0 && !offline[arguments[0]] && !strings.Contains(line, "--server") {
					arguments = append([]string{arguments[0], "--server", address}, arguments[1:]...)
				}
				var stdout, stderr bytes.Buffer
				code := mccommand.Main(arguments, &stdout, &stderr)
				fmt.Fprintf(&out, "%s%sexit code %d\n", &stdout, &stderr, code)
			}
			text := versions.ReplaceAllString(times.ReplaceAllString(out.String(), "TIME"), "GO")
			goldie.New(t, goldie.WithFixtureDir("."), goldie.WithNameSuffix(".txt")).Assert(t, "expected", []byte(text))
		})
	}
}

// Guards against a verb without an example, or whose help fails or omits it.
func TestHelpOfEachVerb(t *testing.T) {
	var list bytes.Buffer
	require.Zero(t, mccommand.Main([]string{"--help"}, &list, &list))
	for line := range strings.Lines(list.String()) {
		fields := strings.Fields(line)
		if !strings.HasPrefix(line, "  ") {
			continue
		}
		t.Run(fields[0], func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			require.Zero(t, mccommand.Main([]string{fields[0], "--help"}, &stdout, &stderr))
			require.Contains(t, stdout.String(), "Example:\n  marigoldcroft "+fields[0])
		})
	}
}
