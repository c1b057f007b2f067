package mccommand

import "io"

func drainVerb() Verb {
	return Verb{
		Name:    "drain",
		Summary: "start a planned stop of an instance",
		Example: "marigoldcroft drain entry-3",
		Run:     runDrain,
	}
}

func runDrain(arguments []string, stdout, stderr io.Writer) int {
	var instance string
	c := newClientCall(drainVerb(), stdout, stderr)
	c.positional(&instance, "INSTANCE", true)
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	ctx, cancel := c.limit()
	defer cancel()
	return c.done(c.client().Drain(ctx, instance), "instance %s drains", instance)
}
