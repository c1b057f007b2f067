// Command soak builds the marigoldcroft program, runs the fault-injection soak test of mcsoak
// with a series of seeds, several in parallel, and prints one line for each seed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/integrii/flaggy"

	"marigoldcroft/mcsoak"
	"marigoldcroft/mcverb"
)

// options are the values of the command-line flags.
type options struct {
	firstSeed          uint64
	seeds, parallel    int
	instances, callers int
	length             time.Duration
	fault              string
}

func main() {
	o := options{firstSeed: uint64(time.Now().Unix()), seeds: 1, parallel: 1, instances: 3, callers: 24, length: 15 * time.Second}
	flaggy.SetName("soak")
	flaggy.SetDescription("run entry processes under random faults drawn from a seed and check the promises of docs/guarantees.md")
	flaggy.UInt64(&o.firstSeed, "s", "seed", "first seed; the following seeds are consecutive")
	flaggy.Int(&o.seeds, "n", "seeds", "number of seeds")
	flaggy.Int(&o.parallel, "p", "parallel", "number of seeds run in parallel")
	flaggy.Int(&o.instances, "i", "instances", "entry instances per seed")
	flaggy.Int(&o.callers, "c", "callers", "concurrent callers per seed")
	flaggy.Duration(&o.length, "l", "length", "time for which faults are injected")
	flaggy.String(&o.fault, "f", "fault", "inject only the fault with this name; default: all")
	flaggy.Parse()
	ctx, cancel := mcverb.SignalContext()
	defer cancel()
	failedSeeds, err := run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if failedSeeds > 0 {
		fmt.Printf("%d of %d seeds broke a promise\n", failedSeeds, o.seeds)
		os.Exit(1)
	}
	fmt.Printf("no promise was broken by %d seeds\n", o.seeds)
}

// run runs all seeds and returns how many broke a promise of docs/guarantees.md or could not
// be run.
func run(ctx context.Context, o options) (int, error) {
	folder, err := os.MkdirTemp("", "marigoldcroft-soak-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(folder)
	binary := filepath.Join(folder, "marigoldcroft")
	if output, err := exec.Command("go", "build", "-o", binary, "./cmd/marigoldcroft").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build: %w: %s", err, output)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	failedSeeds, semaphore := 0, make(chan struct{}, max(1, o.parallel))
	for n := range o.seeds {
		semaphore <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-semaphore }()
			failed, text := runSeed(ctx, o, o.firstSeed+uint64(n), binary)
			mu.Lock()
			defer mu.Unlock()
			fmt.Print(text)
			if failed {
				failedSeeds++
			}
		})
	}
	wg.Wait()
	return failedSeeds, ctx.Err()
}

// runSeed runs one seed. It reports whether the run failed, and the text to print. The logs of a
// failed run are kept.
func runSeed(ctx context.Context, o options, seed uint64, binary string) (bool, string) {
	folder, err := mcsoak.MakeRunFolder(seed)
	if err != nil {
		return true, fmt.Sprintf("seed=%d: %v\n", seed, err)
	}
	log, err := os.Create(filepath.Join(folder, "faults.log"))
	if err != nil {
		return true, fmt.Sprintf("seed=%d: %v\n", seed, err)
	}
	defer log.Close()
	s := &mcsoak.Soak{Binary: binary, Folder: folder, Seed: seed, Length: o.length, Fault: o.fault, Instances: o.instances, Callers: o.callers, Log: log}
	report, err := s.Run(ctx)
	text := report.String() + "\n"
	if err != nil {
		return true, text + err.Error() + "\n"
	}
	for _, line := range report.Broken {
		text += "  " + line + "\n"
	}
	if report.Failed() {
		return true, text + "  logs: " + folder + "\n"
	}
	if err := os.RemoveAll(folder); err != nil {
		text += "  " + err.Error() + "\n"
	}
	return false, text
}
