package mccommand_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcevacuation"
	"marigoldcroft/mcstandin"
)

// Guards against an evacuation that is reported as written and is not, because the answer of the store
// was lost or another operator has written it before.
func TestEvacuationIsWritten(t *testing.T) {
	store := mcstandin.NewPlatformStore(1)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	for _, faults := range []mcstandin.PlatformStoreFaults{{}, {LostWrites: 0.5}} {
		store.SetFaults(faults)
		for range 2 {
			require.Contains(t, runCommand([]string{"evacuate", "lima-1", "--store", address}, ""), "data centre lima-1 is evacuated in the store")
			require.JSONEq(t, `{}`, string(store.Spec("evacuations", "lima-1")))
		}
		for range 2 {
			require.Contains(t, runCommand([]string{"restore", "lima-1", "--store", address}, ""), "exit 0")
			require.Nil(t, store.Spec("evacuations", "lima-1"))
		}
	}
	store.SetFaults(mcstandin.PlatformStoreFaults{Status: http.StatusServiceUnavailable})
	require.Contains(t, runCommand([]string{"evacuate", "lima-1", "--store", address}, ""), "exit 1")
}

// Guards against a list that hides an instance which does not follow, or does not answer.
func TestEvacuationsNamesInstancesThatDoNotFollow(t *testing.T) {
	since := time.Date(2026, 12, 6, 20, 0, 0, 0, time.UTC)
	following := []mcevacuation.ReportedCentre{{DataCentre: "lima-1", Since: since, Running: 2}}
	reports := map[string]mcevacuation.Report{
		"a": {Known: true, DataCentres: following}, "b": {Known: true, DataCentres: following}, "c": {Known: true},
	}
	addresses := map[string]string{"d": "127.0.0.1:1"}
	for name, report := range reports {
		report.Instance, report.Followed, report.AdminAddresses = name, true, addresses
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == mcevacuation.ReportPath {
				_ = json.NewEncoder(w).Encode(report)
			}
		}))
		t.Cleanup(server.Close)
		addresses[name] = strings.TrimPrefix(server.URL, "http://")
	}
	list := func() string { return runCommand([]string{"evacuations", "--server", addresses["a"]}, "") }
	require.Equal(t, "DATACENTRE  SINCE                 RUNNING  FOLLOWING  NOT FOLLOWING\n"+
		"lima-1      2026-12-06T20:00:00Z  4        2 of 4     c\nno answer: d\nexit 4\n", list())
	delete(addresses, "c")
	delete(addresses, "d")
	require.Equal(t, "DATACENTRE  SINCE                 RUNNING  FOLLOWING  NOT FOLLOWING\n"+
		"lima-1      2026-12-06T20:00:00Z  4        2 of 2     -\nexit 0\n", list())
}
