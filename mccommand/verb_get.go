package mccommand

import (
	"context"
	"io"

	"marigoldcroft/mcadmin"
	"marigoldcroft/mcconfig"
)

func getVerb() Verb {
	return Verb{
		Name:    "get",
		Summary: "show templates or teams in force",
		Example: "marigoldcroft get template caption -o yaml",
		Run:     runGet,
	}
}

func runGet(arguments []string, stdout, stderr io.Writer) int {
	kind, name := "", ""
	call := newAdminCall(getVerb(), stdout, stderr)
	call.parser.AddPositionalValue(&kind, "KIND", 1, true, "template or team")
	call.parser.AddPositionalValue(&name, "NAME", 2, false, "name; if omitted, all objects of the kind are shown")
	call.parser.String(&call.output, "o", "output", "yaml, json or table")
	return call.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		parsed, err := mcconfig.ParseKind(kind)
		if err != nil {
			return usageError(err.Error())
		}
		if name == "" {
			entries, err := client.List(ctx, parsed)
			if err != nil {
				return err
			}
			return call.printEntries(entries)
		}
		entry, err := client.Get(ctx, mcconfig.ObjectName{Kind: parsed, Name: name})
		if err != nil {
			return err
		}
		return call.printEntries([]mcconfig.Entry{entry})
	})
}
