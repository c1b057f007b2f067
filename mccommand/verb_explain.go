package mccommand

import (
	"errors"
	"fmt"
	"io"

	"marigoldcroft/mcadmin"
)

func explainVerb() Verb {
	return Verb{
		Name:    "explain",
		Summary: "tell how a request would be served now",
		Example: "marigoldcroft explain --team copo-andino --template caption --tokens 4000",
		Run:     runExplain,
	}
}

func runExplain(arguments []string, stdout, stderr io.Writer) int {
	var (
		request mcadmin.ExplainRequest
		tokens  uint64
	)
	c := newClientCall(explainVerb(), stdout, stderr)
	c.text(&request.Team, "", "team", "team of the request")
	c.text(&request.Template, "", "template", "template of the request")
	c.number(&tokens, "tokens", "length of the prompt in tokens")
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	if request.Team == "" || request.Template == "" {
		return c.usage(errors.New("flags --team and --template are required"))
	}
	request.Tokens = int(min(tokens, 1<<31-1))
	ctx, cancel := c.limit()
	defer cancel()
	explanation, err := c.client().Explain(ctx, request)
	if err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(stdout, "class %s: %s %s\n", explanation.Class, explanation.Decision, explanation.Endpoint)
	for _, reason := range explanation.Reasons {
		fmt.Fprintf(stdout, "  %s\n", reason)
	}
	return exitDone
}
