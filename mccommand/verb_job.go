package mccommand

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"marigoldcroft/mcadmin"
)

func jobVerb() Verb {
	return Verb{
		Name:    "job",
		Summary: "show or cancel a durable job",
		Example: "marigoldcroft job get 0192f0c1-7e5a-7abc-8def-001122334455",
		Run:     runJob,
	}
}

func runJob(arguments []string, stdout, stderr io.Writer) int {
	action, id := "", ""
	call := newAdminCall(jobVerb(), stdout, stderr)
	call.parser.AddPositionalValue(&action, "get|cancel", 1, true, "show or cancel the job")
	call.parser.AddPositionalValue(&id, "ID", 2, true, "id of the job")
	return call.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		switch action {
		case "get":
			status, err := client.Job(ctx, id)
			if err != nil {
				return err
			}
			return call.printYAML(status)
		case "cancel":
			if err := client.Command(ctx, "jobs/"+url.PathEscape(id)+"/cancel"); err != nil {
				return err
			}
			fmt.Fprintf(call.stdout, "job %s is cancelled\n", id)
			return nil
		}
		return usageError("action must be get or cancel, got " + action)
	})
}
