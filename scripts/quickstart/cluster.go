package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcload"
	"marigoldcroft/mcstandin"
)

const (
	engineCount = 4
	entryCount  = 3
	// addressCount: one address each for the store, the instance list and the service, one for
	// each engine and three for each entry instance.
	addressCount      = 3 + engineCount + 3*entryCount
	dataCentre        = "lima-1"
	readyPollInterval = 50 * time.Millisecond
	startTimeout      = 30 * time.Second
	stopTimeout       = 30 * time.Second
)

type (
	// cluster is the set of processes that the script started.
	cluster struct {
		folder    string
		processes []*exec.Cmd
		entries   []entryInstance
		// service is the base URL of the stand-in of the plain service.
		service string
	}

	// entryInstance has the addresses of an entry instance.
	entryInstance struct{ caller, peer, admin string }
)

// start starts the stand-ins, then the entry instances, and waits until these answer /healthz.
func (c *cluster) start(ctx context.Context) error {
	fmt.Println("== starting 4 engines, 1 plain service, object store, instance list and 3 entry instances")
	addresses, err := mcstandin.FreeAddresses(addressCount)
	if err != nil {
		return err
	}
	nextAddress := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	store, list, listing := nextAddress(), nextAddress(), marigoldcroft.InstanceListing{}
	for i := range engineCount {
		name, address := fmt.Sprintf("engine-%d", i+1), nextAddress()
		if err := c.startProcess("marigoldcroft-standin", "engine", "--address", address, "--name", name); err != nil {
			return err
		}
		listing.Endpoints = append(listing.Endpoints, listedEndpoint(name, marigoldcroft.EndpointEngine, address, "caption"))
	}
	service := nextAddress()
	c.service = "http://" + service
	if err := c.startProcess("marigoldcroft-standin", "service", "--address", service, "--name", "orders-1"); err != nil {
		return err
	}
	listing.Endpoints = append(listing.Endpoints, listedEndpoint("orders-1", marigoldcroft.EndpointService, service, "orders"))
	for i := range entryCount {
		e := entryInstance{caller: nextAddress(), peer: nextAddress(), admin: nextAddress()}
		c.entries = append(c.entries, e)
		listing.Instances = append(listing.Instances, marigoldcroft.ListedInstance{
			Name: entryName(i), DataCentre: dataCentre, Region: "peru", PeerAddress: e.peer,
		})
	}
	if err := c.startPlatform(store, list, listing); err != nil {
		return err
	}
	for i, e := range c.entries {
		if err := c.startEntry(i, e, store, list); err != nil {
			return err
		}
	}
	return c.waitFor(ctx, "/healthz")
}

func (c *cluster) startPlatform(store, list string, listing marigoldcroft.InstanceListing) error {
	text, err := json.Marshal(listing)
	if err != nil {
		return err
	}
	file := filepath.Join(c.folder, "listing.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	if err := c.startProcess("marigoldcroft-standin", "store", "--address", store); err != nil {
		return err
	}
	return c.startProcess("marigoldcroft-standin", "instances", "--address", list, "--listing", file)
}

func (c *cluster) startEntry(i int, e entryInstance, store, list string) error {
	settings := fmt.Sprintf(`deployment: quickstart
region: peru
dataCentre: %s
instance: %s
callerAddress: %s
peerAddress: %s
adminAddress: %s
objectStore: http://%s
instanceList: http://%s
stop: {lameDuck: 200ms, limit: 20s}
log: {level: warn}
`, dataCentre, entryName(i), e.caller, e.peer, e.admin, store, list)
	file := filepath.Join(c.folder, entryName(i)+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	return c.startProcess("marigoldcroft", "serve", "--config", file)
}

func entryName(i int) string { return fmt.Sprintf("%s-%d", dataCentre, i+1) }

func listedEndpoint(name string, kind marigoldcroft.EndpointKind, address, pool string) marigoldcroft.ListedEndpoint {
	return marigoldcroft.ListedEndpoint{Name: name, Kind: kind, Address: "http://" + address, DataCentre: dataCentre, Pool: pool}
}

// startProcess starts a program from bin/ in the background, with its stderr on the script's stderr.
func (c *cluster) startProcess(program string, arguments ...string) error {
	command := exec.Command(filepath.Join("bin", program), arguments...)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return err
	}
	c.processes = append(c.processes, command)
	return nil
}

// stop stops all processes in the reverse order of their start and returns an error for each
// that did not exit with 0. A process that takes longer than stopLimit is killed.
func (c *cluster) stop() error {
	fmt.Println("== stopping")
	var failures []error
	for i := len(c.processes) - 1; i >= 0; i-- {
		command := c.processes[i]
		if err := command.Process.Signal(syscall.SIGTERM); err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", strings.Join(command.Args, " "), err))
			continue
		}
		killTimer := time.AfterFunc(stopTimeout, func() { _ = command.Process.Kill() })
		if err := command.Wait(); err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", strings.Join(command.Args, " "), err))
		}
		killTimer.Stop()
	}
	return errors.Join(failures...)
}

// waitFor polls the path at each entry instance until it answers with status 200.
func (c *cluster) waitFor(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range c.entries {
		for !mcload.IsReady(ctx, "http://"+e.caller+path) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry instance %s does not answer %s: %w", e.caller, path, ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}
