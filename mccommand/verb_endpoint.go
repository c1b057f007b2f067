package mccommand

import (
	"fmt"
	"io"
)

func endpointVerb() Verb {
	return Verb{
		Name:    "endpoint",
		Summary: "take an endpoint out of use (leave) or back into it (join)",
		Example: "marigoldcroft endpoint leave caption-12",
		Run:     runEndpoint,
	}
}

func runEndpoint(arguments []string, stdout, stderr io.Writer) int {
	var action, name string
	c := newClientCall(endpointVerb(), stdout, stderr)
	c.positional(&action, "leave|join", true)
	c.positional(&name, "NAME", true)
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	if action != "leave" && action != "join" {
		return c.usage(fmt.Errorf("%q is neither leave nor join", action))
	}
	ctx, cancel := c.limit()
	defer cancel()
	return c.done(c.client().MarkEndpoint(ctx, name, action == "leave"), "endpoint %s: %s", name, action)
}
