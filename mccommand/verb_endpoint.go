package mccommand

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"marigoldcroft/mcadmin"
)

func endpointVerb() Verb {
	return Verb{
		Name:    "endpoint",
		Summary: "mark an endpoint as leaving, or clear the mark",
		Example: "marigoldcroft endpoint leave engine-3",
		Run:     runEndpoint,
	}
}

func runEndpoint(arguments []string, stdout, stderr io.Writer) int {
	action, name := "", ""
	call := newAdminCall(endpointVerb(), stdout, stderr)
	call.parser.AddPositionalValue(&action, "leave|join", 1, true, "leave: it gets no new work; join: clear the mark")
	call.parser.AddPositionalValue(&name, "NAME", 2, true, "name of the endpoint")
	return call.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		if action != "leave" && action != "join" {
			return usageError("action must be leave or join, got " + action)
		}
		if err := client.Command(ctx, "endpoints/"+url.PathEscape(name)+"/"+action); err != nil {
			return err
		}
		fmt.Fprintf(call.stdout, "endpoint %s: %s\n", name, action)
		return nil
	})
}
