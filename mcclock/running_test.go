package mcclock_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcclock"
)

const pausedProcessEnv = "MCCLOCK_PAUSED_PROCESS"

// Guards against the time in which a process is stopped being counted as time in which it ran.
func TestRunningTimeLeavesOutPause(t *testing.T) {
	const pause, ownTime = 1500 * time.Millisecond, 500 * time.Millisecond
	if os.Getenv(pausedProcessEnv) != "" {
		var running mcclock.RunningTime
		start, before := time.Now(), running.Elapsed()
		fmt.Println("begun")
		for time.Since(start) < pause+ownTime {
			time.Sleep(time.Millisecond)
		}
		fmt.Println("elapsed", running.Elapsed()-before)
		return
	}
	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), pausedProcessEnv+"=1")
	output, err := child.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, child.Start())
	lines := bufio.NewScanner(output)
	for begun := false; !begun && lines.Scan(); {
		begun = lines.Text() == "begun"
	}
	require.NoError(t, child.Process.Signal(syscall.SIGSTOP))
	time.Sleep(pause)
	require.NoError(t, child.Process.Signal(syscall.SIGCONT))
	var elapsed time.Duration
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "elapsed "); found {
			elapsed, err = time.ParseDuration(text)
			require.NoError(t, err)
		}
	}
	require.NoError(t, child.Wait())
	require.Positive(t, elapsed)
	require.Less(t, elapsed, ownTime+pause/2)
}

// Guards against running time that stands still while the process runs, also between two calls.
func TestRunningTimeCountsWholeTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running mcclock.RunningTime
		before := running.Elapsed()
		time.Sleep(3 * time.Second)
		require.Equal(t, 3*time.Second, running.Elapsed()-before)
		// The ticks have ended after the first ten seconds, and continue with the next call.
		time.Sleep(time.Hour)
		before = running.Elapsed()
		time.Sleep(3 * time.Second)
		require.Equal(t, 3*time.Second, running.Elapsed()-before)
	})
}
