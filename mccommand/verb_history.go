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
	call := newAdminCall(historyVerb(), stdout, stderr)
	call.parser.AddPositionalValue(&kind, "KIND", 1, true, "template or team")
	call.parser.AddPositionalValue(&name, "NAME", 2, true, "name")
	call.parser.String(&call.output, "o", "output", "yaml, json or table")
	return call.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		object, err := parseObjectName(kind, name)
		if err != nil {
			return err
		}
		entries, err := client.History(ctx, object)
		if err != nil {
			return err
		}
		return call.printEntries(entries)
	})
}
