package mccommand

import "io"

func historyVerb() Verb {
	return Verb{
		Name:    "history",
		Summary: "print the earlier contents of an object, the newest first",
		Example: "marigoldcroft history template caption",
		Run:     runHistory,
	}
}

func runHistory(arguments []string, stdout, stderr io.Writer) int {
	var kind, name string
	output := "table"
	c := newClientCall(historyVerb(), stdout, stderr)
	c.positional(&kind, "KIND", true)
	c.positional(&name, "NAME", true)
	c.text(&output, "o", "output", "table, yaml or json (default table)")
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	object, err := c.object(kind, name)
	if err != nil {
		return c.usage(err)
	}
	ctx, cancel := c.limit()
	defer cancel()
	entries, err := c.client().History(ctx, object)
	if err != nil {
		return c.fail(err)
	}
	return c.entries(entries, output)
}
