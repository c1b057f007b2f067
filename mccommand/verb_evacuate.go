package mccommand

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"marigoldcroft/mcclock"
	"marigoldcroft/mcverb"
	"marigoldcroft/platform"
)

const (
	// writeAttempts is how often a write to the store is tried. The outcome of a write whose answer is
	// lost is unknown; trying again settles it, as both writes may be repeated.
	writeAttempts = 5
	// writeBackoff is the pause after the first failed write; it doubles with each further one.
	writeBackoff = 200 * time.Millisecond
	// maxDataCentreBytes is the longest name of a data centre that instances exchange.
	maxDataCentreBytes = 64
)

func evacuateVerb() Verb {
	return Verb{
		Name:    "evacuate",
		Summary: "send nothing more to the endpoints of a data centre",
		Example: "marigoldcroft evacuate lima-1 --store 10.0.0.1:8304",
		Run: func(arguments []string, stdout, stderr io.Writer) int {
			return runEvacuation(evacuateVerb(), arguments, stdout, stderr, (*platform.Store).Evacuate, "is evacuated")
		},
	}
}

func restoreVerb() Verb {
	return Verb{
		Name:    "restore",
		Summary: "end the evacuation of a data centre",
		Example: "marigoldcroft restore lima-1 --store 10.0.0.1:8304",
		Run: func(arguments []string, stdout, stderr io.Writer) int {
			return runEvacuation(restoreVerb(), arguments, stdout, stderr, (*platform.Store).EndEvacuation, "is not evacuated")
		},
	}
}

// runEvacuation writes the state of a data centre to the platform's store.
func runEvacuation(verb Verb, arguments []string, stdout, stderr io.Writer, write func(*platform.Store, context.Context, string) error, state string) int {
	dataCentre, address := "", ""
	parser := mcverb.NewParser(program, verb)
	parser.AddPositionalValue(&dataCentre, "DATACENTRE", 1, true, "name of the data centre")
	parser.String(&address, "", "store", "IP and port of the platform's store")
	fail := func(code int, err error) int {
		fmt.Fprintf(stderr, "%s %s: %v\n", program, verb.Name, err)
		return code
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return fail(exitUsage, err)
	}
	switch {
	case address == "":
		return fail(exitUsage, usageError("flag --store is missing"))
	case strings.ContainsAny(dataCentre, "/?#%") || len(dataCentre) > maxDataCentreBytes:
		return fail(exitUsage, usageError(fmt.Sprintf("DATACENTRE must have at most %d bytes and none of /?#%%", maxDataCentreBytes)))
	}
	ctx, cancel := mcverb.SignalContext()
	defer cancel()
	store := platform.NewStore(address)
	defer store.Close()
	if err := writeUntilSettled(ctx, func() error { return write(store, ctx, dataCentre) }); err != nil {
		return fail(exitFailed, err)
	}
	fmt.Fprintf(stdout, "data centre %s %s in the store; see marigoldcroft evacuations\n", dataCentre, state)
	return exitOK
}

// writeUntilSettled repeats a write that may be repeated until its outcome is known.
func writeUntilSettled(ctx context.Context, write func() error) error {
	for attempt := 1; ; attempt++ {
		err := write()
		if err == nil || attempt == writeAttempts || !mcclock.Sleep(ctx, writeBackoff<<(attempt-1)) {
			return err
		}
	}
}
