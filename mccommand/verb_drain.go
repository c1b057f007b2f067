package mccommand

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"marigoldcroft/mcadmin"
)

func drainVerb() Verb {
	return Verb{
		Name:    "drain",
		Summary: "begin the planned stop of an instance",
		Example: "marigoldcroft drain lima-1-2",
		Run:     runDrain,
	}
}

func runDrain(arguments []string, stdout, stderr io.Writer) int {
	instance := ""
	call := newAdminCall(drainVerb(), stdout, stderr)
	call.parser.AddPositionalValue(&instance, "INSTANCE", 1, true, "name of the instance")
	return call.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		if err := client.Command(ctx, "instances/"+url.PathEscape(instance)+"/drain"); err != nil {
			return err
		}
		fmt.Fprintf(call.stdout, "instance %s is stopping\n", instance)
		return nil
	})
}
