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
	o := newOperator(deleteVerb(), stdout, stderr)
	o.parser.AddPositionalValue(&kind, "KIND", 1, true, "template or team")
	o.parser.AddPositionalValue(&name, "NAME", 2, true, "name")
	o.parser.Duration(&wait, "w", "wait", "time to wait until the change is in force everywhere")
	return o.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		object, err := objectName(kind, name)
		if err != nil {
			return err
		}
		result, err := client.Delete(ctx, object)
		if err != nil {
			return err
		}
		o.printResult(result)
		return o.waitInForce(ctx, client, result.Revision, wait)
	})
}
