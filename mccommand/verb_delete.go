package mccommand

import (
	"context"
	"io"
	"time"

	"marigoldcroft/mcadmin"
)

func deleteVerb() Verb {
	return Verb{
		Name:    "delete",
		Summary: "delete a template or a team",
		Example: "marigoldcroft delete team studio-cusco",
		Run:     runDelete,
	}
}

func runDelete(arguments []string, stdout, stderr io.Writer) int {
	kind, name, wait := "", "", time.Duration(defaultWait)
	call := newAdminCall(deleteVerb(), stdout, stderr)
	call.parser.AddPositionalValue(&kind, "KIND", 1, true, "template or team")
	call.parser.AddPositionalValue(&name, "NAME", 2, true, "name")
	call.parser.Duration(&wait, "w", "wait", "time to wait until the change is in force everywhere")
	return call.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		object, err := parseObjectName(kind, name)
		if err != nil {
			return err
		}
		result, err := client.Delete(ctx, object)
		if err != nil {
			return err
		}
		call.printResult(result)
		return call.waitInForce(ctx, client, result.Revision, wait)
	})
}
