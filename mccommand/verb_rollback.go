package mccommand

import (
	"context"
	"io"
	"time"

	"marigoldcroft/mcadmin"
)

func rollbackVerb() Verb {
	return Verb{
		Name:    "rollback",
		Summary: "store the content of an older revision as a new revision",
		Example: "marigoldcroft rollback template caption --to 3",
		Run:     runRollback,
	}
}

func runRollback(arguments []string, stdout, stderr io.Writer) int {
	kind, name, to, wait := "", "", uint64(0), time.Duration(defaultWait)
	call := newAdminCall(rollbackVerb(), stdout, stderr)
	call.parser.AddPositionalValue(&kind, "KIND", 1, true, "template or team")
	call.parser.AddPositionalValue(&name, "NAME", 2, true, "name")
	call.parser.UInt64(&to, "t", "to", "revision whose content is restored")
	call.parser.Duration(&wait, "w", "wait", "time to wait until the change is in force everywhere")
	return call.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		object, err := parseObjectName(kind, name)
		if err != nil {
			return err
		}
		if to == 0 {
			return usageError("flag --to is missing")
		}
		result, err := client.Rollback(ctx, object, to)
		if err != nil {
			return err
		}
		call.printResult(result)
		return call.waitInForce(ctx, client, result.Revision, wait)
	})
}
