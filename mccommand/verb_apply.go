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

// defaultWait bounds how long a verb waits for its change to be in force on all instances.
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
	call := newAdminCall(applyVerb(), stdout, stderr)
	call.parser.String(&file, "f", "file", "YAML file with templates and teams")
	call.parser.Bool(&dryRun, "d", "dry-run", "show the changes without storing them")
	call.parser.Duration(&wait, "w", "wait", "time to wait until the change is in force everywhere")
	return call.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		if file == "" {
			return usageError("flag -f is missing")
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return usageError(err.Error())
		}
		result, err := client.Apply(ctx, file, text, dryRun)
		if err != nil {
			return err
		}
		call.printResult(result)
		if dryRun {
			fmt.Fprintln(call.stdout, "dry run: nothing was stored")
			return nil
		}
		return call.waitInForce(ctx, client, result.Revision, wait)
	})
}

// waitInForce waits until the revision is in force on all known instances, prints how many
// have it, and returns errNotInForce with the missing instances if wait ends first.
func (call *adminCall) waitInForce(ctx context.Context, client *mcadmin.Client, revision uint64, wait time.Duration) error {
	reached, missing, err := client.WaitApplied(ctx, revision, wait)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "revision %d is stored", revision), errNotInForce)
	}
	fmt.Fprintf(call.stdout, "revision %d stored, in force on %d of %d instances\n", revision, reached, reached+len(missing))
	if len(missing) > 0 {
		return errors.Mark(errors.Newf("revision %d is not in force yet on %s", revision, strings.Join(missing, ", ")), errNotInForce)
	}
	return nil
}
