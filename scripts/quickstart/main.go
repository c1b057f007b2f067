// Command quickstart starts the stand-ins and three entry instances on free loopback
// ports, applies the two sample configurations, sends one request of each kind, prints
// the responses and stops everything that it started. Run it with: make quickstart
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// runTimeout bounds the whole run.
const runTimeout = 2 * time.Minute

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) (err error) {
	folder, err := os.MkdirTemp("", "marigoldcroft-quickstart-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	c := &cluster{folder: folder}
	defer func() {
		if stopErr := c.stop(); err == nil {
			err = stopErr
		}
	}()
	if err := c.start(ctx); err != nil {
		return err
	}
	steps := []func(context.Context, *cluster) error{applySamples, streamShortPrompt, runJob, repeatOrder, showStatus}
	for _, step := range steps {
		if err := step(ctx, c); err != nil {
			return err
		}
	}
	return nil
}
