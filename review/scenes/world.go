package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"marigoldcroft/mcstandin"
)

const (
	// binary is built by the build line of the deploy file.
	binary = "target/marigoldcroft"
	// apiKey is the key of the only team of the configuration.
	apiKey = "n2ctnfzs989anu6wsjnb"
	// host is the host of all routes.
	host = "ficu95.example"
	// readyLimit limits the time until a process that was started is ready.
	readyLimit = 20 * time.Second
	// memoryMB and descriptors are those of the smallest machine of the site copo-lima-grown.
	memoryMB    = 184
	descriptors = 4100
)

type (
	// world is a small deployment on loopback addresses: the platform's store, and entry processes with the
	// settings that deploy/entry.yaml.tmpl gives for the site copo-lima-grown.
	world struct {
		folder string
		store  *mcstandin.PlatformStore
		// storeAddress is the address that the processes get for the store.
		storeAddress string
		entries      []*entry

		recordMu sync.Mutex
		record   *os.File
		begun    time.Time
	}

	// entry is one entry process.
	entry struct {
		name                        string
		callers, ready, admin, peer string
		settings, log               string
		command                     *exec.Cmd
		ended                       chan struct{}
	}

	// caseError is the error of a case that could not run.
	caseError struct{ reason string }
)

func (e caseError) Error() string { return e.reason }

// newWorld returns a world without processes whose record is written to the file.
func newWorld(recordFile string) (*world, error) {
	folder, err := os.MkdirTemp("", "scene")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, store: mcstandin.NewPlatformStore(1), record: record, begun: time.Now()}
	w.storeAddress, err = w.listen(w.store)
	return w, err
}

// note writes a line to the record, with the time since the begin.
func (w *world) note(format string, arguments ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	line := fmt.Sprintf("%7.3f  ", time.Since(w.begun).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
	_, _ = io.WriteString(w.record, line)
}

// say writes a line to the record and to the output.
func (w *world) say(format string, arguments ...any) {
	w.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// listen serves the handler at a free port and returns the address.
func (w *world) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// putConfig writes the configuration. A route is given as a JSON object.
func (w *world) putConfig(version int, routes []map[string]any, services []map[string]any) error {
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api-keys": []string{apiKey}}},
	})
	if err == nil {
		w.store.Put("config", "main", raw)
	}
	return err
}

// putServer writes the entry of a server.
func (w *world) putServer(id, service, address string, slots int) {
	w.store.PutEntry(id, mcstandin.PlatformEntry{
		Service: service, Address: address, DataCentre: "lima-miraflores", Slots: slots, State: mcstandin.PlatformReady,
		Started: time.Now().UnixMilli(),
	})
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// newEntry writes the settings of an entry process.
func (w *world) newEntry(name string) (*entry, error) {
	e := &entry{name: name}
	for _, address := range []*string{&e.callers, &e.ready, &e.admin, &e.peer} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	e.settings, e.log = filepath.Join(w.folder, name+".yaml"), filepath.Join(w.folder, name+".log")
	text := fmt.Sprintf(`deployment: fleet
region: "lima"
dataCentre: "lima-miraflores"
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
  grace: 8s
  keyLease: 5000ms
  retryRatio: 0.2
  retrySlack: 196
  retryWindow: 10s
  memoryMB: %d
  dataCentreRegions: {"lima-miraflores":"lima","lima-surco":"lima","lima-callao":"lima"}
`, name, e.peer, e.admin, e.callers, e.ready, w.storeAddress, memoryMB)
	w.entries = append(w.entries, e)
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// start starts the process.
func (w *world) start(e *entry) error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.command, e.ended = exec.Command(binary, "serve", "--config", e.settings), make(chan struct{})
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return err
	}
	w.note("%s: process %d started", e.name, e.command.Process.Pid)
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(e.command, e.ended)
	return nil
}

// awaitReady waits until the process says that it is ready.
func (w *world) awaitReady(e *entry) error {
	for limit := time.Now().Add(readyLimit); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + e.ready + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			w.note("%s: ready", e.name)
			return nil
		}
	}
	return caseError{e.name + " is not ready"}
}

// hasEnded reports whether the process has ended.
func (e *entry) hasEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (w *world) signal(e *entry, s syscall.Signal) {
	w.note("%s: %s", e.name, s)
	_ = e.command.Process.Signal(s)
}

// close ends all processes that were started.
func (w *world) close() {
	for _, e := range w.entries {
		if e.command == nil || e.command.Process == nil {
			continue
		}
		_ = e.command.Process.Signal(syscall.SIGCONT)
		_ = e.command.Process.Kill()
		<-e.ended
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// memoryOf returns a field of the process's memory figures in MB.
func (e *entry) memoryOf(field string) float64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(e.command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, field+":"); found {
			kB, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kB / 1024
		}
	}
	return 0
}

// get sends one plain request and returns the status of the answer, or 0 without a whole one.
func get(ctx context.Context, address, path, id string, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	r.Host, r.Close = host, true
	r.Header.Set("Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
