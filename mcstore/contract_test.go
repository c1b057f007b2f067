package mcstore_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"marigoldcroft"
	"marigoldcroft/mccontract"
	"marigoldcroft/mcstandin"
	"marigoldcroft/mcstore"
)

// Guards against differences between store implementations in the behaviour that the
// ledger, jobs and configuration depend on.
func TestContract(t *testing.T) {
	for name, newStore := range map[string]func(t *testing.T) marigoldcroft.ObjectStore{
		"memory": func(*testing.T) marigoldcroft.ObjectStore { return &mcstore.Memory{} },
		"client": func(*testing.T) marigoldcroft.ObjectStore {
			return mcstore.NewClient(mcstore.ClientConfig{Store: &mcstore.Memory{}})
		},
		"http": func(t *testing.T) marigoldcroft.ObjectStore {
			store, _ := newHTTPStore(t)
			return store
		},
	} {
		t.Run(name, func(t *testing.T) { mccontract.Run(t, newStore) })
	}
}

// newHTTPStore returns an HTTP store and the stand-in server that it calls. The faults of the
// stand-in are random with seed 1.
func newHTTPStore(t *testing.T) (*mcstore.HTTP, *mcstandin.ObjectStore) {
	standin := mcstandin.NewObjectStore(1)
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	return &mcstore.HTTP{BaseURL: server.URL, Client: server.Client()}, standin
}

// Guards against a watch that returns the whole value again when the object has not
// changed. At 18 KB every 5 s, that would be a quarter of an instance's allowed control
// traffic.
func TestUnchangedWatchCarriesNoValue(t *testing.T) {
	store, _ := newHTTPStore(t)
	version, err := store.Put(t.Context(), "k", []byte("value"), "", "w")
	if err != nil {
		t.Fatal(err)
	}
	object, err := store.Watch(t.Context(), "k", version, time.Millisecond)
	if err != nil || object.Version() != version || object.WriteID() != "w" || len(object.Value()) > 0 {
		t.Fatalf("got version %q, %d bytes, %v; want version %q without a value", object.Version(), len(object.Value()), err, version)
	}
}
