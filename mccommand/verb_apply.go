package mccommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"marigoldcroft/mcadmin"
)

const (
	// defaultApplyWait is the time in which an accepted change is in force everywhere.
	defaultApplyWait = 17 * time.Second
	statusPause      = 500 * time.Millisecond
)

func applyVerb() Verb {
	return Verb{
		Name:    "apply",
		Summary: "store the templates and teams of a file",
		Example: "marigoldcroft apply -f teams.yaml --dry-run",
		Run:     runApply,
	}
}

func runApply(arguments []string, stdout, stderr io.Writer) int {
	var (
		file   string
		dryRun bool
		wait   = defaultApplyWait
	)
	c := newClientCall(applyVerb(), stdout, stderr)
	c.text(&file, "f", "file", "file with documents of kind template or team")
	c.boolean(&dryRun, "dry-run", "tell what would change and change nothing")
	c.duration(&wait, "wait", "time to wait until the change is in force everywhere (default 17s)")
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	if file == "" {
		return c.usage(errors.New("flag --file is missing"))
	}
	changes, err := readFile(file)
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := c.limit()
	defer cancel()
	result, err := c.client().Apply(ctx, changes, dryRun)
	if err != nil {
		return c.fail(err)
	}
	c.result(result)
	if dryRun {
		fmt.Fprintln(stdout, "dry run: nothing was changed")
		return exitDone
	}
	return c.awaitInForce(result.Revision, wait)
}

// awaitInForce waits until the revision is in force everywhere and prints how far it is.
func (c *call) awaitInForce(revision uint64, wait time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var status mcadmin.Status
	for {
		next, err := c.client().Status(ctx, revision)
		if err == nil {
			status = next
		}
		if err == nil && inForceEverywhere(status) {
			break
		}
		select {
		case <-time.After(statusPause):
			continue
		case <-ctx.Done():
		}
		break
	}
	for _, d := range status.DataCentres {
		unreachable := ""
		if !d.Reachable {
			unreachable = ", unreachable"
		}
		fmt.Fprintf(c.stdout, "revision %d in force on %d of %d instances in %s%s\n", revision, d.InForce, d.Instances, d.Name, unreachable)
	}
	if inForceEverywhere(status) {
		return exitDone
	}
	fmt.Fprintf(c.stderr, "marigoldcroft %s: revision %d is accepted, but not in force everywhere after %v\n", c.verb.Name, revision, wait)
	return exitNotInForce
}

func inForceEverywhere(status mcadmin.Status) bool {
	for _, d := range status.DataCentres {
		if !d.Reachable || d.InForce < d.Instances {
			return false
		}
	}
	return len(status.DataCentres) > 0
}
