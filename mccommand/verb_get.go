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
	o := newOperator(getVerb(), stdout, stderr)
	o.parser.AddPositionalValue(&kind, "KIND", 1, true, "template or team")
	o.parser.AddPositionalValue(&name, "NAME", 2, false, "name; if omitted, all objects of the kind are shown")
	o.parser.String(&o.output, "o", "output", "yaml, json or table")
	return o.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		parsed, err := mcconfig.ParseKind(kind)
		if err != nil {
			return usage(err.Error())
		}
		if name == "" {
			entries, err := client.List(ctx, parsed)
			if err != nil {
				return err
			}
			return o.printEntries(entries)
		}
		entry, err := client.Get(ctx, mcconfig.ObjectName{Kind: parsed, Name: name})
		if err != nil {
			return err
		}
		return o.printEntries([]mcconfig.Entry{entry})
	})
}
