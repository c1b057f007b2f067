package mccommand

import (
	"fmt"
	"io"
)

func quarantineVerb() Verb {
	return Verb{
		Name:    "quarantine",
		Summary: "take a request's fingerprint out of quarantine (clear)",
		Example: "marigoldcroft quarantine clear 9f86d081884c7d65",
		Run:     runQuarantine,
	}
}

func runQuarantine(arguments []string, stdout, stderr io.Writer) int {
	var action, id string
	c := newClientCall(quarantineVerb(), stdout, stderr)
	c.positional(&action, "clear", true)
	c.positional(&id, "ID", true)
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	if action != "clear" {
		return c.usage(fmt.Errorf("%q is not clear", action))
	}
	ctx, cancel := c.limit()
	defer cancel()
	return c.done(c.client().ClearQuarantine(ctx, id), "fingerprint %s is cleared", id)
}
