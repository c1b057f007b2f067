package mccommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft/mcadmin"
)

// defaultWait is the time in which an accepted change must be in force everywhere.
const defaultWait = 17 * time.Second

func applyVerb() Verb {
	return Verb{
		Name:    "apply",
		Summary: "create or update templates and teams",
		Example: "marigoldcroft apply -f examples/copo-andino.yaml",
		Run:     runApply,
	}
}

func runApply(arguments []string, stdout, stderr io.Writer) int {
	file, dryRun, wait := "", false, defaultWait
	o := newOperator(applyVerb(), stdout, stderr)
	o.parser.String(&file, "f", "file", "YAML file with templates and teams")
	o.parser.Bool(&dryRun, "d", "dry-run", "show the changes without making them")
	o.parser.Duration(&wait, "w", "wait", "time to wait until the change is in force everywhere")
	return o.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		if file == "" {
			return usage("flag -f is missing")
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return usage(err.Error())
		}
		result, err := client.Apply(ctx, file, text, dryRun)
		if err != nil {
			return err
		}
		o.printResult(result)
		if dryRun {
			fmt.Fprintln(o.stdout, "dry run: nothing was stored")
			return nil
		}
		return o.waitInForce(ctx, client, result.Revision, wait)
	})
}

// waitInForce reports where the revision is in force and where not yet.
func (o *operator) waitInForce(ctx context.Context, client *mcadmin.Client, revision uint64, wait time.Duration) error {
	reached, missing, err := client.WaitApplied(ctx, revision, wait)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "revision %d is stored", revision), errNotInForce)
	}
	fmt.Fprintf(o.stdout, "revision %d stored, in force on %d of %d instances\n", revision, reached, reached+len(missing))
	if len(missing) > 0 {
		return errors.Mark(errors.Newf("revision %d is not in force yet on %s", revision, strings.Join(missing, ", ")), errNotInForce)
	}
	return nil
}
