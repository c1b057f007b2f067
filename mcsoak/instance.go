package mcsoak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"marigoldcroft/mcstandin"
)

const (
	graceTime = 3 * time.Second
	// memoryMB is the memory of the smallest machine of the users' sites.
	memoryMB = 184
	// keyLease leaves a second of revokeLimit for a change on its way.
	keyLease = 4 * time.Second
)

// instance is one entry process with the links to it and from it to the store.
type instance struct {
	name, settings string
	// callers is where callers connect: a proxy before the process.
	callers, store *proxy

	// life is held while the process is ended and started again.
	life sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// expected is true while the soak itself ends the process.
	expected bool
	// harmedAt is when the process was last stopped, paused or killed.
	harmedAt time.Time
	log      *os.File
}

func (s *Soak) newInstance(n int, store string) (*instance, error) {
	addresses, err := mcstandin.FreeAddresses(4)
	if err != nil {
		return nil, err
	}
	i := &instance{name: fmt.Sprintf("z-%d", n)}
	if i.callers, err = newProxy(addresses[0]); err != nil {
		return nil, err
	}
	if i.store, err = newProxy(store); err != nil {
		return nil, err
	}
	i.settings = filepath.Join(s.Folder, i.name+".yaml")
	text := fmt.Sprintf("deployment: d\nregion: r\ndataCentre: z\ninstance: %s\npeerAddress: %s\nadminAddress: %s\nscheduler: passModel\n"+
		"forward:\n  address: %s\n  readyAddress: %s\n  platformStore: %s\n  grace: %s\n  memoryMB: %d\n  keyLease: %s\n  instances: %d\nlog: {level: info}\n",
		i.name, addresses[1], addresses[2], addresses[0], addresses[3], i.store.address, graceTime, memoryMB, keyLease, s.Instances)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
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
	i.command = exec.Command(s.Binary, "serve", "--config", i.settings)
	i.command.Stdout, i.command.Stderr = i.log, i.log
	i.expected, i.exited = false, make(chan struct{})
	if err := i.command.Start(); err != nil {
		return err
	}
	command, exited := i.command, i.exited
	s.waits.Go(func() {
		err := command.Wait()
		i.mu.Lock()
		unexpected := !i.expected
		i.mu.Unlock()
		close(exited)
		if unexpected {
			s.broken("process", "%s ended by itself: %v", i.name, err)
		}
	})
	return nil
}

// signal sends a signal to the process and notes that it is harmed by it.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.harmedAt = time.Now()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		i.expected = true
	}
	// A process that has ended cannot be signalled.
	_ = i.command.Process.Signal(sig)
}

// end signals the process, kills it after the grace time and waits for its end.
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

// residentMB returns the resident memory of the process, or 0 when it has ended.
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

// harmedSince tells whether the process was stopped, paused or killed since a time.
func (i *instance) harmedSince(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.harmedAt.After(at)
}

// address is where callers connect.
func (i *instance) address() string { return i.callers.address }
