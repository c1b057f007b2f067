package mcsoak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"marigoldcroft/mcstandin"
)

const (
	graceTime = 3 * time.Second
	// memoryMB is the memory of the smallest machine at the users' sites. It is set as the
	// memory of each instance, and its resident memory must not exceed it.
	memoryMB = 184
	// keyLease is a second shorter than revokeLimit, as a change takes time to reach instances.
	keyLease = 4 * time.Second
)

// instance is an entry process with the proxies between callers and it and between it and
// the store.
type instance struct {
	name, settingsFile string
	// callerProxy is the proxy that callers connect to, storeProxy the one through which the
	// process reaches the store.
	callerProxy, storeProxy *proxy

	// restartMu is held during a restart, so that restarts of one instance do not overlap.
	restartMu sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// exitExpected is true once the soak has sent SIGTERM or SIGKILL, so that an exit is not a
	// violation.
	exitExpected bool
	// disruptions are the times of the signals that stop, pause, resume or kill the process.
	disruptions []time.Time
	log         *os.File
}

func (s *Soak) newInstance(n int, store string) (*instance, error) {
	addresses, err := mcstandin.FreeAddresses(4)
	if err != nil {
		return nil, err
	}
	i := &instance{name: fmt.Sprintf("z-%d", n)}
	if i.callerProxy, err = newProxy(addresses[0]); err != nil {
		return nil, err
	}
	if i.storeProxy, err = newProxy(store); err != nil {
		return nil, err
	}
	i.settingsFile = filepath.Join(s.Folder, i.name+".yaml")
	text := fmt.Sprintf("deployment: d\nregion: r\ndataCentre: z\ninstance: %s\npeerAddress: %s\nadminAddress: %s\nscheduler: passModel\n"+
		"forward:\n  address: %s\n  readyAddress: %s\n  platformStore: %s\n  grace: %s\n  memoryMB: %d\n  keyLease: %s\n  instances: %d\n  evacuationDelay: %s\nlog: {level: info}\n",
		i.name, addresses[1], addresses[2], addresses[0], addresses[3], i.storeProxy.address, graceTime, memoryMB, keyLease, s.Instances, evacuationLimit)
	if err := os.WriteFile(i.settingsFile, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if i.log, err = os.Create(filepath.Join(s.Folder, i.name+".log")); err != nil {
		return nil, err
	}
	return i, i.start(s)
}

func (i *instance) start(s *Soak) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.command = exec.Command(s.Binary, "serve", "--config", i.settingsFile)
	i.command.Stdout, i.command.Stderr = i.log, i.log
	i.exitExpected, i.exited = false, make(chan struct{})
	if err := i.command.Start(); err != nil {
		return err
	}
	command, exited := i.command, i.exited
	s.processes.Go(func() {
		err := command.Wait()
		i.mu.Lock()
		unexpected := !i.exitExpected
		i.mu.Unlock()
		close(exited)
		if unexpected {
			s.violation("process", "%s exited unexpectedly: %v", i.name, err)
		}
	})
	return nil
}

// signal sends a signal to the process and records the time of the disruption.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disruptions = append(i.disruptions, time.Now())
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		i.exitExpected = true
	}
	// The process may have exited already; the error is of no interest then.
	_ = i.command.Process.Signal(sig)
}

// end signals the process, kills it if it has not exited after graceTime and waits for its
// exit. It sends SIGCONT before, as the process may be paused.
func (i *instance) end(sig syscall.Signal) {
	i.signal(sig)
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-exited
	}
}

// residentMB returns the resident memory of the process in MiB, or 0 when it cannot be read,
// as after its exit.
func (i *instance) residentMB() int {
	i.mu.Lock()
	pid := i.command.Process.Pid
	i.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(bytes.TrimSpace(text)), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// disruptedSince reports whether the process got a disruptive signal after the given time.
func (i *instance) disruptedSince(at time.Time) bool { return i.disruptedBetween(at, time.Now()) }

// disruptedBetween reports whether the process got a disruptive signal later than from and not
// later than to.
func (i *instance) disruptedBetween(from, to time.Time) bool {
	return slices.ContainsFunc(i.disruptionTimes(), func(at time.Time) bool { return at.After(from) && !at.After(to) })
}

func (i *instance) disruptionTimes() []time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.disruptions)
}

// address returns the address that callers connect to.
func (i *instance) address() string { return i.callerProxy.address }
