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
	o := newOperator(rollbackVerb(), stdout, stderr)
	o.parser.AddPositionalValue(&kind, "KIND", 1, true, "template or team")
	o.parser.AddPositionalValue(&name, "NAME", 2, true, "name")
	o.parser.UInt64(&to, "t", "to", "revision whose content is restored")
	o.parser.Duration(&wait, "w", "wait", "time to wait until the change is in force everywhere")
	return o.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		object, err := objectName(kind, name)
		if err != nil {
			return err
		}
		if to == 0 {
			return usage("flag --to is missing")
		}
		result, err := client.Rollback(ctx, object, to)
		if err != nil {
			return err
		}
		o.printResult(result)
		return o.waitInForce(ctx, client, result.Revision, wait)
	})
}
