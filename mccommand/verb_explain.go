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
	o := newOperator(explainVerb(), stdout, stderr)
	o.parser.String(&team, "", "team", "name of the team")
	o.parser.String(&template, "", "template", "name of the template")
	o.parser.Int64(&tokens, "", "tokens", "length of the prompt in tokens")
	return o.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		if team == "" || template == "" {
			return usage("flags --team and --template are needed")
		}
		decision, err := client.Explain(ctx, team, template, tokens)
		if err != nil {
			return err
		}
		return o.printYAML(decision)
	})
}
