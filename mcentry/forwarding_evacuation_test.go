package mcentry_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcevacuation"
	"marigoldcroft/mcsetting"
	"marigoldcroft/mcstandin"
)

// addServer adds a server to a site in a data centre.
func (s *site) addServer(name, dataCentre string) *mcstandin.PlatformServer {
	server := &mcstandin.PlatformServer{ID: name}
	back := httptest.NewServer(server)
	s.t.Cleanup(back.Close)
	s.store.Put("servers", name, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":%q,"batch-slots":8,"state":"ready","born":5}`,
		strings.TrimPrefix(back.URL, "http://"), dataCentre))
	return server
}

func followEvacuations(settings *mcsetting.Settings) {
	settings.Forward.EvacuationDelay = 5 * time.Second
}

// Guards against requests to an evacuated data centre, against one whose entry cannot be decoded and
// is ignored, and against one that gets no requests after the evacuation was withdrawn.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	s := newSite(t, 2, followEvacuations)
	other := s.addServer("i-2", "y")
	serve := func() {
		for range 20 {
			for _, in := range s.instances {
				require.Equal(t, http.StatusOK, in.get(t, "/v1/x", "key"))
			}
		}
	}
	require.Eventually(t, func() bool {
		serve()
		return len(other.Runs()) > 0
	}, 10*time.Second, time.Millisecond)
	for _, spec := range []string{`{}`, "not JSON"} {
		s.store.Put("evacuations", "y", []byte(spec))
		time.Sleep(300 * time.Millisecond)
		before := len(other.Runs())
		serve()
		require.Len(t, other.Runs(), before)
		s.store.Remove("evacuations", "y")
		require.Eventually(t, func() bool {
			serve()
			return len(other.Runs()) > before
		}, 10*time.Second, time.Millisecond)
	}
}

// storeFront is an address of the store of a site that can be made unreachable for one instance.
type storeFront struct {
	address string
	silent  atomic.Bool
}

func (s *site) newStoreFront() *storeFront {
	f := &storeFront{}
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.silent.Load() {
			<-r.Context().Done()
			return
		}
		s.store.ServeHTTP(w, r)
		if f.silent.Load() {
			panic(http.ErrAbortHandler)
		}
	}))
	s.t.Cleanup(front.CloseClientConnections)
	f.address = strings.TrimPrefix(front.URL, "http://")
	return f
}

// mustNotReach sends requests through the instances for a time and fails if one reaches the server.
func (s *site) mustNotReach(server *mcstandin.PlatformServer, duration time.Duration, instances ...*instance) {
	s.t.Helper()
	before := len(server.Runs())
	for end := time.Now().Add(duration); time.Now().Before(end); {
		for _, in := range instances {
			require.Equal(s.t, http.StatusOK, in.get(s.t, "/v1/x", "key"))
		}
		require.Len(s.t, server.Runs(), before)
	}
}

// Guards against an instance that has lost the store, but not its peers, and neither learns of an
// evacuation nor of its end.
func TestEvacuationIsLearnedFromPeers(t *testing.T) {
	s := newSite(t, 2, followEvacuations)
	other := s.addServer("i-2", "y")
	front := s.newStoreFront()
	s.start(2, front.address, followEvacuations)
	cut := s.instances[2]
	reach := func() bool {
		before := len(other.Runs())
		require.Equal(t, http.StatusOK, cut.get(t, "/v1/x", "key"))
		return len(other.Runs()) > before
	}
	require.Eventually(t, reach, 10*time.Second, time.Millisecond)
	front.silent.Store(true)
	s.store.Put("evacuations", "y", []byte(`{}`))
	time.Sleep(1500 * time.Millisecond)
	s.mustNotReach(other, time.Second, s.instances...)
	s.store.Remove("evacuations", "y")
	require.Eventually(t, reach, 3*time.Second, time.Millisecond)
}

// Guards against an instance without peers that waits for the answer to a watch, which the store has lost,
// while a data centre is evacuated.
func TestLostAnswerDelaysNoEvacuation(t *testing.T) {
	s := newSite(t, 0, followEvacuations)
	other := s.addServer("i-2", "y")
	var lose atomic.Bool
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		s.store.ServeHTTP(answer, r)
		if lose.Load() && strings.HasSuffix(r.URL.Path, "/evacuations") && len(r.URL.Query().Get("wait-ms")) > 2 {
			<-r.Context().Done()
			return
		}
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}))
	t.Cleanup(front.CloseClientConnections)
	s.start(0, strings.TrimPrefix(front.URL, "http://"), followEvacuations)
	in := s.instances[0]
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, in.get(t, "/v1/x", "key"))
		return len(other.Runs()) > 0
	}, 10*time.Second, time.Millisecond)
	lose.Store(true)
	time.Sleep(1500 * time.Millisecond)
	s.store.Put("evacuations", "y", []byte(`{}`))
	time.Sleep(4 * time.Second)
	s.mustNotReach(other, time.Second, in)
}

// Guards against an instance that starts during an evacuation and sends requests before it knows of it,
// also if the store came back from a copy without the entry just before.
func TestInstanceThatStartsKnowsTheEvacuations(t *testing.T) {
	s := newSite(t, 2, followEvacuations)
	other := s.addServer("i-2", "y")
	older := s.store.Copy()
	s.store.Put("evacuations", "y", []byte(`{}`))
	time.Sleep(500 * time.Millisecond)
	s.start(2, s.storeAddress, followEvacuations)
	s.mustNotReach(other, 200*time.Millisecond, s.instances[2])
	s.store.Restore(older)
	s.start(3, s.storeAddress, followEvacuations)
	s.mustNotReach(other, 2*time.Second, s.instances...)
	s.store.Put("evacuations", "y", []byte(`{}`))
	s.mustNotReach(other, 5*time.Second, s.instances...)
}

// Guards against a store that comes back from an older copy and brings back an evacuation that was
// withdrawn.
func TestRestoredStoreBringsBackNoEvacuation(t *testing.T) {
	s := newSite(t, 2, followEvacuations)
	s.store.Put("evacuations", "z", []byte(`{}`))
	refused := func(in *instance) bool { return in.get(t, "/v1/x", "key") == http.StatusServiceUnavailable }
	for _, in := range s.instances {
		require.Eventually(t, func() bool { return refused(in) }, 2*time.Second, time.Millisecond)
	}
	older := s.store.Copy()
	s.store.Remove("evacuations", "z")
	for _, in := range s.instances {
		require.Eventually(t, func() bool { return !refused(in) }, 2*time.Second, time.Millisecond)
	}
	s.store.Restore(older)
	s.mustNotReach(&mcstandin.PlatformServer{}, 2*time.Second, s.instances...)
	s.store.Remove("evacuations", "z")
	s.mustNotReach(&mcstandin.PlatformServer{}, 5*time.Second, s.instances...)
}

// Guards against evacuations that multiply the calls to the store while nothing changes.
func TestEvacuationsAddFewCalls(t *testing.T) {
	s := newSite(t, 3, followEvacuations)
	time.Sleep(2 * time.Second)
	before := s.store.Calls()
	time.Sleep(6 * time.Second)
	calls := 0
	for kind, n := range s.store.Calls() {
		calls += n - before[kind]
	}
	t.Log("store calls in 6 s:", calls)
	require.LessOrEqual(t, calls, 18+3, "one watch of 1.2 s for each of three kinds, and a few long ones")
}

// Guards against operators who do not see which instances follow, and how many requests still run in an
// evacuated data centre.
func TestInstancesReportTheirEvacuations(t *testing.T) {
	s := newSite(t, 2, followEvacuations)
	s.server.CallTime = time.Second
	answered := make(chan int, 1)
	go func() { answered <- s.instances[0].get(t, "/v1/x", "key") }()
	require.Eventually(t, func() bool { return len(s.server.Runs()) == 1 }, 5*time.Second, time.Millisecond)
	s.store.Put("evacuations", "z", []byte(`{}`))
	report := func(in *instance) mcevacuation.Report {
		response, err := http.Get("http://" + in.admin + mcevacuation.ReportPath)
		require.NoError(t, err)
		defer response.Body.Close()
		var r mcevacuation.Report
		require.NoError(t, json.NewDecoder(response.Body).Decode(&r))
		return r
	}
	for i, in := range s.instances {
		require.Eventually(t, func() bool {
			r := report(in)
			return r.Followed && r.Known && len(r.DataCentres) == 1 && r.DataCentres[0].DataCentre == "z" && r.DataCentres[0].Running == 1-i &&
				time.Since(r.DataCentres[0].Since) < time.Minute && len(r.AdminAddresses) == 2 && r.AdminAddresses[r.Instance] == in.admin
		}, 900*time.Millisecond, 10*time.Millisecond)
	}
	require.Equal(t, http.StatusOK, <-answered, "work that runs there ends there")
}
