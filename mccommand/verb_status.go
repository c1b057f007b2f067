package mccommand

import (
	"encoding/json"
	"fmt"
	"io"
)

func statusVerb() Verb {
	return Verb{
		Name:    "status",
		Summary: "print what an instance knows of the deployment",
		Example: "marigoldcroft status --server 10.0.0.7:7003",
		Run:     runStatus,
	}
}

func runStatus(arguments []string, stdout, stderr io.Writer) int {
	output := "table"
	c := newClientCall(statusVerb(), stdout, stderr)
	c.text(&output, "o", "output", "table or json (default table)")
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	if output != "table" && output != "json" {
		return c.usage(fmt.Errorf("output %q is neither table nor json", output))
	}
	ctx, cancel := c.limit()
	defer cancel()
	status, err := c.client().Status(ctx, 0)
	if err != nil {
		return c.fail(err)
	}
	if output == "json" {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return c.done(encoder.Encode(status), "")
	}
	fmt.Fprintf(stdout, "%s in %s of %s: %s, revision %d, stale %t, %d jobs held\n", status.Instance, status.DataCentre,
		status.Deployment, status.State, status.Config.Revision, status.Config.Stale, status.JobsHeld)
	if status.Config.Problem != "" {
		fmt.Fprintf(stdout, "configuration problem: %s\n", status.Config.Problem)
	}
	rows := [][]string{{"DATA CENTRE", "INSTANCES", "IN FORCE", "REACHABLE"}}
	for _, d := range status.DataCentres {
		rows = append(rows, []string{d.Name, fmt.Sprint(d.Instances), fmt.Sprint(d.InForce), fmt.Sprint(d.Reachable)})
	}
	c.table(rows)
	if len(status.Endpoints) == 0 {
		return exitDone
	}
	rows = [][]string{{"ENDPOINT", "DATA CENTRE", "STATE"}}
	for _, e := range status.Endpoints {
		rows = append(rows, []string{e.Name, e.DataCentre, e.State})
	}
	c.table(rows)
	return exitDone
}
