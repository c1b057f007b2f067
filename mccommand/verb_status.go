package mccommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"marigoldcroft/mcadmin"
)

func statusVerb() Verb {
	return Verb{
		Name:    "status",
		Summary: "show instances, data centres, endpoints and the revision in force",
		Example: "marigoldcroft status --server 127.0.0.1:7003",
		Run:     runStatus,
	}
}

func runStatus(arguments []string, stdout, stderr io.Writer) int {
	call := newAdminCall(statusVerb(), stdout, stderr)
	call.parser.String(&call.output, "o", "output", "yaml, json or table")
	return call.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		switch call.output {
		case "json":
			encoder := json.NewEncoder(call.stdout)
			encoder.SetIndent("", "  ")
			return encoder.Encode(status)
		case "yaml":
			return call.printYAML(status)
		}
		return printStatus(call.stdout, status)
	})
}

func printStatus(w io.Writer, s mcadmin.Status) error {
	fmt.Fprintf(w, "instance %s in %s: revision %d in force, newest known %d, stale %t, store %s, in flight %d, queued %d\n\n",
		s.Instance, s.DataCentre, s.Config.Revision, s.Config.Newest, s.Config.Stale, s.Store, s.InFlight, s.Queued)
	members := newTable(w, "INSTANCE", "DATA CENTRE", "STATE", "REVISION", "HEARD MS AGO")
	for _, m := range s.Members {
		members.row(m.Instance, m.DataCentre, m.State, m.Revision, m.AgeMs)
	}
	if err := members.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	endpoints := newTable(w, "ENDPOINT", "KIND", "POOL", "STATE", "RUNNING", "WAITING", "REPORTED MS AGO")
	for _, e := range s.Endpoints {
		endpoints.row(e.Name, e.Kind, e.Pool, e.State, e.Running, e.Waiting, e.AgeMs)
	}
	return endpoints.flush()
}
