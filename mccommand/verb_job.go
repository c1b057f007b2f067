package mccommand

import (
	"encoding/json"
	"fmt"
	"io"
)

func jobVerb() Verb {
	return Verb{
		Name:    "job",
		Summary: "print (get) or end (cancel) a durable job",
		Example: "marigoldcroft job get 12-0191d6f0-7a55-7c3e-9f62-1f3b5a7d9c10",
		Run:     runJob,
	}
}

func runJob(arguments []string, stdout, stderr io.Writer) int {
	var action, id string
	c := newClientCall(jobVerb(), stdout, stderr)
	c.positional(&action, "get|cancel", true)
	c.positional(&id, "ID", true)
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	ctx, cancel := c.limit()
	defer cancel()
	switch action {
	case "get":
		job, err := c.client().Job(ctx, id)
		if err != nil {
			return c.fail(err)
		}
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(job); err != nil {
			return c.fail(err)
		}
		return exitDone
	case "cancel":
		return c.done(c.client().CancelJob(ctx, id), "job %s is cancelled", id)
	default:
		return c.usage(fmt.Errorf("%q is neither get nor cancel", action))
	}
}
