package mccommand

import (
	"context"
	"io"

	"marigoldcroft/mcadmin"
)

func historyVerb() Verb {
	return Verb{
		Name:    "history",
		Summary: "show the stored revisions of a template or team, newest first",
		Example: "marigoldcroft history team studio-cusco",
		Run:     runHistory,
	}
}

func runHistory(arguments []string, stdout, stderr io.Writer) int {
	kind, name := "", ""
	o := newOperator(historyVerb(), stdout, stderr)
	o.parser.AddPositionalValue(&kind, "KIND", 1, true, "template or team")
	o.parser.AddPositionalValue(&name, "NAME", 2, true, "name")
	o.parser.String(&o.output, "o", "output", "yaml, json or table")
	return o.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		object, err := objectName(kind, name)
		if err != nil {
			return err
		}
		entries, err := client.History(ctx, object)
		if err != nil {
			return err
		}
		return o.printEntries(entries)
	})
}
