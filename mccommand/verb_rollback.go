package mccommand

import (
	"errors"
	"io"
)

func rollbackVerb() Verb {
	return Verb{
		Name:    "rollback",
		Summary: "store an earlier content of an object as a new change",
		Example: "marigoldcroft rollback template caption --to 41",
		Run:     runRollback,
	}
}

func runRollback(arguments []string, stdout, stderr io.Writer) int {
	var (
		kind, name string
		to         uint64
		wait       = defaultApplyWait
	)
	c := newClientCall(rollbackVerb(), stdout, stderr)
	c.positional(&kind, "KIND", true)
	c.positional(&name, "NAME", true)
	c.number(&to, "to", "revision whose content is wanted")
	c.duration(&wait, "wait", "time to wait until the change is in force everywhere (default 17s)")
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	object, err := c.object(kind, name)
	if err == nil && to == 0 {
		err = errors.New("flag --to is missing")
	}
	if err != nil {
		return c.usage(err)
	}
	ctx, cancel := c.limit()
	defer cancel()
	result, err := c.client().Rollback(ctx, object, to)
	if err != nil {
		return c.fail(err)
	}
	c.result(result)
	return c.awaitInForce(result.Revision, wait)
}
