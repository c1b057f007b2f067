package mccommand

import (
	"context"
	"io"

	"marigoldcroft/mcadmin"
)

func explainVerb() Verb {
	return Verb{
		Name:    "explain",
		Summary: "show what the scheduler would decide now, and why",
		Example: "marigoldcroft explain --team studio-cusco --template caption --tokens 2000",
		Run:     runExplain,
	}
}

func runExplain(arguments []string, stdout, stderr io.Writer) int {
	team, template, tokens := "", "", int64(1000)
	call := newAdminCall(explainVerb(), stdout, stderr)
	call.parser.String(&team, "", "team", "name of the team")
	call.parser.String(&template, "", "template", "name of the template")
	call.parser.Int64(&tokens, "", "tokens", "length of the prompt in tokens")
	return call.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		if team == "" || template == "" {
			return usageError("flags --team and --template are required")
		}
		decision, err := client.Explain(ctx, team, template, tokens)
		if err != nil {
			return err
		}
		return call.printYAML(decision)
	})
}
