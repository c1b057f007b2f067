package mccommand

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"marigoldcroft/mcadmin"
)

func quarantineVerb() Verb {
	return Verb{
		Name:    "quarantine",
		Summary: "let a quarantined request run again",
		Example: "marigoldcroft quarantine clear 9c0f3a5d2b7e1846",
		Run:     runQuarantine,
	}
}

func runQuarantine(arguments []string, stdout, stderr io.Writer) int {
	action, id := "", ""
	call := newAdminCall(quarantineVerb(), stdout, stderr)
	call.parser.AddPositionalValue(&action, "clear", 1, true, "end the quarantine")
	call.parser.AddPositionalValue(&id, "ID", 2, true, "fingerprint of the request in hex, as in the caller's error message")
	return call.run(arguments, func(ctx context.Context, client *mcadmin.Client) error {
		if action != "clear" {
			return usageError("action must be clear, got " + action)
		}
		if err := client.Command(ctx, "quarantine/"+url.PathEscape(id)+"/clear"); err != nil {
			return err
		}
		fmt.Fprintf(call.stdout, "fingerprint %s is cleared\n", id)
		return nil
	})
}
