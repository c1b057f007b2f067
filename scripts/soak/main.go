// Command soak runs the fault soak with a series of seeds, several at a time, and prints a
// line for each. It builds the program of the entry instances first.
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

// options are what the command line says.
type options struct {
	first            uint64
	seeds, parallel  int
	instances, calls int
	length           time.Duration
}

func main() {
	o := options{first: uint64(time.Now().Unix()), seeds: 1, parallel: 1, instances: 3, calls: 24, length: 15 * time.Second}
	flaggy.SetName("soak")
	flaggy.SetDescription("real processes under faults that a seed draws, with the promises checked")
	flaggy.UInt64(&o.first, "s", "seed", "first seed; the others follow it")
	flaggy.Int(&o.seeds, "n", "seeds", "number of seeds")
	flaggy.Int(&o.parallel, "p", "parallel", "runs at a time")
	flaggy.Int(&o.instances, "i", "instances", "entry instances of a run")
	flaggy.Int(&o.calls, "c", "callers", "callers of a run")
	flaggy.Duration(&o.length, "l", "length", "time in which faults are drawn")
	flaggy.Parse()
	ctx, cancel := mcverb.UntilSignal()
	defer cancel()
	broken, err := run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if broken > 0 {
		fmt.Printf("%d of %d seeds broke a promise\n", broken, o.seeds)
		os.Exit(1)
	}
	fmt.Printf("no promise was broken by %d seeds\n", o.seeds)
}

// run plays the seeds and returns how many broke a promise.
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
	var all sync.WaitGroup
	broken, slots := 0, make(chan struct{}, max(1, o.parallel))
	for n := range o.seeds {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		all.Go(func() {
			defer func() { <-slots }()
			kept, text := play(ctx, o, o.first+uint64(n), binary)
			mu.Lock()
			defer mu.Unlock()
			fmt.Print(text)
			if kept {
				broken++
			}
		})
	}
	all.Wait()
	return broken, ctx.Err()
}

// play plays one seed. The logs of a run that breaks a promise are kept.
func play(ctx context.Context, o options, seed uint64, binary string) (bool, string) {
	folder, err := mcsoak.Temporary(seed)
	if err != nil {
		return true, fmt.Sprintf("seed=%d: %v\n", seed, err)
	}
	log, err := os.Create(filepath.Join(folder, "faults.log"))
	if err != nil {
		return true, fmt.Sprintf("seed=%d: %v\n", seed, err)
	}
	defer log.Close()
	s := &mcsoak.Soak{Binary: binary, Folder: folder, Seed: seed, Length: o.length, Instances: o.instances, Callers: o.calls, Log: log}
	report, err := s.Run(ctx)
	text := report.String() + "\n"
	if err != nil {
		return true, text + err.Error() + "\n"
	}
	for _, line := range report.Broken {
		text += "  " + line + "\n"
	}
	if report.Keep() {
		return true, text + "  logs: " + folder + "\n"
	}
	if err := os.RemoveAll(folder); err != nil {
		text += "  " + err.Error() + "\n"
	}
	return false, text
}
