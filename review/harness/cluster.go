// Package harness starts entry instances as separate processes before stand-ins of the users'
// platform, for the cases of this review.
package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"marigoldcroft/mcstandin"
)

// Bounds of the users' site copo-lima.
const (
	RevokeLimit = 5 * time.Second
	StableTime  = 3 * time.Second
	GraceTime   = 8 * time.Second
	DrainTime   = 2 * time.Second
	memoryMB    = 284
	killWait    = 10 * time.Second
	firstPort   = 12000
	blockPorts  = 100
	blockCount  = 180
)

type (
	// Cluster is a set of entry processes before a stand-in of the platform's store.
	Cluster struct {
		Store   *mcstandin.PlatformStore
		Entries []*Entry
		Record  *Record
		// Grace is grace-s of the settings of entries that are added.
		Grace time.Duration

		program, folder, storeAddress string

		mu      sync.Mutex
		closers []func()
	}

	// Entry is one entry process.
	Entry struct {
		Name                          string
		Caller, Ready, peer, admin    string
		settings, program, outputPath string

		command *exec.Cmd
		ended   chan struct{}
	}

	// Record is the file in which a case writes what it sent, received and ran.
	Record struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}
)

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes one line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// NewCluster starts the store. folder is a temporary folder for settings and logs.
func NewCluster(program, folder string, record *Record) (*Cluster, error) {
	c := &Cluster{Store: mcstandin.NewPlatformStore(1), Record: record, Grace: GraceTime, program: program, folder: folder}
	var err error
	c.storeAddress, _, err = c.Serve(c.Store)
	return c, err
}

// Serve serves the handler on a free loopback port until Close. The function that it returns ends
// the server at once, with its connections.
func (c *Cluster) Serve(handler http.Handler) (address string, end func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	end = func() { _ = server.Close() }
	c.OnClose(end)
	return listener.Addr().String(), end, nil
}

// OnClose calls end when the cluster is closed.
func (c *Cluster) OnClose(end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closers = append(c.closers, end)
}

// ports hands out the ports of a block. The listener on its first port reserves it against other
// runs beside this one until the process ends.
var ports struct {
	sync.Mutex
	block net.Listener
	next  int
}

// FreeAddress returns a loopback address whose port is free, a different one each time. The ports are
// below those that the kernel gives to outgoing connections, which could take one before a process
// listens there.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	err := errors.New("no block of ports is free")
	for range 100 {
		if ports.block != nil {
			break
		}
		first := firstPort + blockPorts*rand.IntN(blockCount)
		if ports.block, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err != nil {
			ports.block = nil
			continue
		}
		ports.next = first + 1
	}
	if ports.block == nil {
		return "", err
	}
	for end := ports.next + blockPorts - 1; ports.next < end; {
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no port is free")
}

// AddEntry writes the settings of a further entry instance as deploy/entry.yaml.tmpl does.
func (c *Cluster) AddEntry() (*Entry, error) {
	e := &Entry{Name: fmt.Sprintf("edge-z-%d", len(c.Entries)+1), program: c.program}
	for _, address := range []*string{&e.Caller, &e.Ready, &e.peer, &e.admin} {
		var err error
		if *address, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	e.settings, e.outputPath = filepath.Join(c.folder, e.Name+".yaml"), filepath.Join(c.folder, e.Name+".log")
	if err := e.WriteSettings(c.storeAddress, c.Grace); err != nil {
		return nil, err
	}
	c.Entries = append(c.Entries, e)
	return e, nil
}

// WriteSettings writes the settings file, as the platform does at each start and whenever the
// settings change.
func (e *Entry) WriteSettings(store string, grace time.Duration) error {
	text := fmt.Sprintf(`deployment: fleet
region: "r"
dataCentre: "z"
instance: %q
peerAddress: %q
adminAddress: %q
scheduler: passModel
limits:
  maxInFlight: 4000
log:
  level: info
forward:
  address: %q
  readyAddress: %q
  platformStore: %q
  grace: %ds
  keyLease: %dms
  retryRatio: 0.2
  retrySlack: 100
  retryWindow: 10s
  memoryMB: %d
`, e.Name, e.peer, e.admin, e.Caller, e.Ready, store, int(grace.Seconds()), RevokeLimit.Milliseconds(), memoryMB)
	return os.WriteFile(e.settings, []byte(text), 0o600)
}

// StoreAddress returns the address of the store.
func (c *Cluster) StoreAddress() string { return c.storeAddress }

// Start starts the process with the command of the deploy file.
func (e *Entry) Start() error {
	output, err := os.OpenFile(e.outputPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	e.command = exec.Command(e.program, "serve", "--config", e.settings)
	e.command.Stdout, e.command.Stderr = output, output
	if err := e.command.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(e.command, e.ended)
	return nil
}

// Signal sends a signal to the process.
func (e *Entry) Signal(signal os.Signal) error { return e.command.Process.Signal(signal) }

// Kill kills the process and waits for its end.
func (e *Entry) Kill() {
	if e.command == nil {
		return
	}
	_ = e.command.Process.Kill()
	select {
	case <-e.ended:
	case <-time.After(killWait):
	}
}

// Running reports whether the process has not ended.
func (e *Entry) Running() bool {
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

// Log returns what the process wrote.
func (e *Entry) Log() []byte {
	text, _ := os.ReadFile(e.outputPath)
	return text
}

// IsReady asks the process as the platform's balancer does.
func (e *Entry) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Ready+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until the process is ready.
func (e *Entry) WaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.IsReady() {
			return true
		}
	}
	return false
}

// StartEntries starts n further entry processes and waits until they are ready.
func (c *Cluster) StartEntries(n int) error {
	for range n {
		e, err := c.AddEntry()
		if err != nil {
			return err
		}
		if err := e.Start(); err != nil {
			return err
		}
	}
	for _, e := range c.Entries {
		if !e.WaitReady(20 * time.Second) {
			return fmt.Errorf("%s is not ready: %s", e.Name, e.Log())
		}
	}
	return nil
}

// Close ends all processes and servers.
func (c *Cluster) Close() {
	for _, e := range c.Entries {
		e.Kill()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range c.closers {
		end()
	}
}
