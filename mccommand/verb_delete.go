package mccommand

import "io"

func deleteVerb() Verb {
	return Verb{
		Name:    "delete",
		Summary: "remove a template or a team",
		Example: "marigoldcroft delete team copo-andino",
		Run:     runDelete,
	}
}

func runDelete(arguments []string, stdout, stderr io.Writer) int {
	var kind, name string
	wait := defaultApplyWait
	c := newClientCall(deleteVerb(), stdout, stderr)
	c.positional(&kind, "KIND", true)
	c.positional(&name, "NAME", true)
	c.duration(&wait, "wait", "time to wait until the change is in force everywhere (default 17s)")
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	object, err := c.object(kind, name)
	if err != nil {
		return c.usage(err)
	}
	ctx, cancel := c.limit()
	defer cancel()
	result, err := c.client().Delete(ctx, object)
	if err != nil {
		return c.fail(err)
	}
	c.result(result)
	return c.awaitInForce(result.Revision, wait)
}
