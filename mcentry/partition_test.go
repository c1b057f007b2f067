package mcentry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcentry"
	"marigoldcroft/mcpeer"
	"marigoldcroft/mcsetting"
	"marigoldcroft/mcstandin"
)

const (
	eventuallyTimeout = 40 * time.Second
	pollInterval      = 50 * time.Millisecond
)

// abortingHandler wraps an HTTP handler between a data centre and the platform. While
// blocked is set, it aborts every call.
type abortingHandler struct {
	blocked atomic.Bool
	next    http.Handler
}

func (c *abortingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.blocked.Load() {
		panic(http.ErrAbortHandler)
	}
	c.next.ServeHTTP(w, r)
}

// dataCentre is a data centre with one instance and its connections to the platform.
type dataCentre struct {
	name           string
	entry          *mcentry.Entry
	faults         *mcpeer.PartitionInjector
	store, listing *abortingHandler
	// stop begins a graceful shutdown of the instance, abort ends it, and served receives its
	// result.
	stop   context.CancelFunc
	abort  chan struct{}
	served chan error
}

// testDeployment is a deployment of two data centres on one platform. Each has an
// instance, an engine and an endpoint of the plain service.
type testDeployment struct {
	t       *testing.T
	store   *mcstandin.ObjectStore
	service *mcstandin.Service
	list    *mcstandin.InstanceList
	centres [2]*dataCentre
}

func newTestDeployment(t *testing.T) *testDeployment {
	w := &testDeployment{t: t, store: mcstandin.NewObjectStore(1), service: mcstandin.NewService("orders", 1), list: &mcstandin.InstanceList{}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var listing marigoldcroft.InstanceListing
	for i, name := range []string{"a", "b"} {
		engine := &mcstandin.Engine{Crash: func() {}, Settings: mcstandin.EngineSettings{
			Name: "engine-" + name, Model: "caption", PrefillRate: 500_000, TokenTime: time.Millisecond, KVCapacity: 450_000,
		}}
		running.Go(func() { engine.Run(ctx) })
		c := &dataCentre{name: name, faults: &mcpeer.PartitionInjector{}, store: &abortingHandler{next: w.store}, listing: &abortingHandler{next: w.list.Handler()}, abort: make(chan struct{}), served: make(chan error, 1)}
		w.centres[i] = c
		s := w.settings(name, name+"-1", c.store, c.listing)
		c.entry = &mcentry.Entry{Settings: s, Output: os.Stderr, Faults: c.faults, Abort: c.abort}
		require.NoError(t, c.entry.Start(ctx))
		listing.Instances = append(listing.Instances, marigoldcroft.ListedInstance{Name: s.Instance, DataCentre: name, Region: "r", PeerAddress: c.entry.PeerAddress()})
		listing.Endpoints = append(listing.Endpoints,
			marigoldcroft.ListedEndpoint{Name: "engine-" + name, Kind: marigoldcroft.EndpointEngine, Address: w.serve(engine.Handler()), DataCentre: name, Pool: "caption"},
			marigoldcroft.ListedEndpoint{Name: "orders-" + name, Kind: marigoldcroft.EndpointService, Address: w.serve(w.service), DataCentre: name, Pool: "orders"})
	}
	w.list.Show(listing)
	// Cleanups run in reverse order, so the instances stop before the servers that they use.
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, c := range w.centres {
		served, stop := context.WithCancel(ctx)
		c.stop = stop
		running.Go(func() {
			err := c.entry.Serve(served)
			c.served <- err
			select {
			case <-c.abort:
			default:
				assert.NoError(t, err, "graceful shutdown of %s", c.name)
			}
		})
	}
	w.configure()
	return w
}

// settings returns the settings of an instance that reaches the platform through the handlers.
func (w *testDeployment) settings(dataCentre, instance string, store, listing http.Handler) mcsetting.Settings {
	s := mcsetting.Default()
	s.Deployment, s.Region, s.DataCentre, s.Instance = "test", "r", dataCentre, instance
	s.CallerAddress, s.PeerAddress, s.AdminAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.ObjectStore, s.InstanceList = w.serve(store), w.serve(listing)
	s.Store.CallTimeout, s.Stop.LameDuck, s.Stop.Limit, s.Log.Level = 500*time.Millisecond, 0, 10*time.Second, "warn"
	return s
}

func (w *testDeployment) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	w.t.Cleanup(func() {
		server.CloseClientConnections()
		_ = server.Listener.Close()
	})
	return server.URL
}

func (w *testDeployment) configure() {
	text, err := os.ReadFile("../examples/copo-andino.yaml")
	require.NoError(w.t, err)
	changes, err := mcconfig.DecodeFile("copo-andino.yaml", text)
	require.NoError(w.t, err)
	w.eventually("the configuration is accepted", func() bool {
		_, err := w.centres[0].entry.Editor().Apply(context.Background(), changes, false)
		return err == nil
	})
	for _, c := range w.centres {
		w.eventually("data centre "+c.name+" serves model requests, lookups and orders", func() bool {
			return c.requestModel() == http.StatusOK && c.lookUp() == http.StatusOK && c.order(newKey()).status == http.StatusOK
		})
	}
}

func (w *testDeployment) eventually(what string, holds func() bool) {
	require.Eventually(w.t, holds, eventuallyTimeout, pollInterval, "timed out waiting for: %s", what)
}

// orderReply is the response to an order.
type orderReply struct {
	status  int
	notRun  bool
	outcome string
}

func (c *dataCentre) call(method, path, template, key, body string) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+c.entry.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Authorization", "Bearer copo-key")
	r.Header.Set("X-Template", template)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

func (c *dataCentre) requestModel() int {
	status, _ := c.call(http.MethodPost, "/v1/chat/completions", "caption", "", `{"messages":[{"role":"user","content":"caption"}],"max_tokens":3}`)
	return status
}

func (c *dataCentre) lookUp() int {
	status, _ := c.call(http.MethodGet, "/v1/services/orders/catalogue", "catalogue-lookup", "", "")
	return status
}

func (c *dataCentre) order(key string) orderReply {
	status, text := c.call(http.MethodPost, "/v1/services/orders/prints", "print-order", key, `{"print":1}`)
	var problem struct {
		NotRun  bool   `json:"notRun"`
		Outcome string `json:"outcome"`
	}
	// A successful response of the service has other fields, so these stay empty.
	_ = json.Unmarshal(text, &problem)
	return orderReply{status, problem.NotRun, problem.Outcome}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// partition describes the faults of one test case. The first three fields cut data centre
// b off from its peers, in either direction, and from the platform.
type partition struct {
	toPeers, fromPeers, platform    bool
	storeDown, storeSlow, listStale bool
}

func (w *testDeployment) apply(p partition) {
	a, b := w.centres[0], w.centres[1]
	var toA, fromA []string
	if p.toPeers {
		toA = []string{a.entry.PeerAddress()}
	}
	if p.fromPeers {
		fromA = []string{a.entry.PeerAddress()}
	}
	b.faults.SetBlocked(toA, fromA)
	b.store.blocked.Store(p.platform)
	b.listing.blocked.Store(p.platform || p.listStale)
	a.listing.blocked.Store(p.listStale)
	faults := mcstandin.ObjectStoreFaults{Outage: p.storeDown}
	if p.storeSlow {
		faults.SlowMs = 200
	}
	w.store.SetFaults(faults)
}

// Guards against a partition or an outage that stops work that could continue, runs an
// action twice, reports an action as not run although it did run, or reverts the
// configuration.
func TestPartitions(t *testing.T) {
	cases := []struct {
		name   string
		faults partition
		// ordersAtA and ordersAtB tell whether data centres a and b can still run actions.
		ordersAtA, ordersAtB bool
		// follows tells whether b receives a new revision while the fault lasts.
		follows bool
	}{
		{"cut from peers", partition{toPeers: true, fromPeers: true}, true, true, true},
		{"cut in one direction", partition{toPeers: true}, true, true, true},
		{"cut from the platform", partition{platform: true}, true, true, true},
		{"cut from both", partition{toPeers: true, fromPeers: true, platform: true}, true, false, false},
		{"store slow", partition{storeSlow: true}, true, true, true},
		{"store down", partition{storeDown: true}, false, false, false},
		{"instance list out of reach", partition{listStale: true}, true, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestDeployment(t)
			w.apply(c.faults)
			ordersRun := [2]bool{c.ordersAtA, c.ordersAtB}
			keys := [2]string{newKey(), newKey()}
			for i, centre := range w.centres {
				w.eventually("model requests and lookups succeed in "+centre.name, func() bool {
					return centre.requestModel() == http.StatusOK && centre.lookUp() == http.StatusOK
				})
				w.checkOrder(centre, keys[i], ordersRun[i])
			}
			revision := w.editTemplate(!c.faults.storeDown)
			b := w.centres[1].entry
			if c.follows {
				w.eventually("b applies the new revision", func() bool { return b.Editor().Follower.Current().Revision() >= revision })
			}
			before := b.Editor().Follower.Current().Revision()
			w.apply(partition{})
			w.eventually("b applies the new revision after the fault has ended", func() bool { return b.Editor().Follower.Current().Revision() >= revision })
			require.GreaterOrEqual(t, b.Editor().Follower.Current().Revision(), before)
			for i, centre := range w.centres {
				w.eventually("the order has a final outcome in "+centre.name, func() bool {
					r := centre.order(keys[i])
					return r.status == http.StatusOK || r.outcome == "unknown" && r.status == http.StatusBadGateway
				})
				w.centres[1-i].order(keys[i])
			}
			for key, runs := range w.service.Runs() {
				if key != "" {
					require.Equal(t, 1, runs, "runs of key %s", key)
				}
			}
		})
	}
}

// checkOrder sends an order. Where actions cannot run, the order must be rejected and the
// service must not have run it.
func (w *testDeployment) checkOrder(c *dataCentre, key string, mustRun bool) {
	if mustRun {
		w.eventually("the order runs in "+c.name, func() bool { return c.order(key).status == http.StatusOK })
		return
	}
	for range 3 {
		r := c.order(key)
		require.NotEqual(w.t, http.StatusOK, r.status)
		require.Contains(w.t, []string{"unknown", "notRun"}, r.outcome, fmt.Sprint(r))
		require.Zero(w.t, w.service.Runs()["studio-cusco/"+key], "a rejected order ran")
	}
}

// editTemplate edits a template in data centre a and returns the resulting revision. If
// the store is down, the edit must fail.
func (w *testDeployment) editTemplate(storeUp bool) uint64 {
	template := marigoldcroft.TemplateSpec{Name: "extra", Model: "caption", Urgency: "batch", Repeat: marigoldcroft.RepeatIdempotent, DeadlineMs: 1000}
	object := mcconfig.Object{Template: &template}
	editor := w.centres[0].entry.Editor()
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	result, err := editor.Apply(ctx, []mcconfig.Change{{Name: object.ID(), Object: object}}, false)
	if !storeUp {
		require.Error(w.t, err)
		return editor.Follower.Current().Revision()
	}
	require.NoError(w.t, err)
	return result.Revision
}
