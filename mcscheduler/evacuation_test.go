package mcscheduler_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
)

// evacuate sets n engines, the named of which are in an evacuated data centre.
func evacuate(s marigoldcroft.Scheduler, ms int, n int, evacuated string) {
	var list []marigoldcroft.Endpoint
	for i := range n {
		name := "e" + string(rune('a'+i))
		list = append(list, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: name, Kind: marigoldcroft.EndpointEngine, Pool: "m", Performance: passFigures(), Evacuated: strings.Contains(evacuated, name),
		}))
	}
	s.SetEndpoints(at(ms), list)
}

// Guards against work that is placed in an evacuated data centre, alone or as a part of a prompt.
func TestEvacuatedEndpointGetsNoWork(t *testing.T) {
	s := newPassModel(t, 3)
	evacuate(s, 0, 3, "ea ec")
	for n := range 3 {
		d := s.Submit(at(n), passWork(n, 100))
		require.Equal(t, marigoldcroft.ActionDispatch, d.Action)
		require.Equal(t, "eb", d.Endpoint)
		s.Finish(at(n), id(n), marigoldcroft.Completion{})
	}
	d := s.Submit(at(10), passWork(3, 60_000))
	require.Equal(t, "eb", d.Endpoint)
	require.Empty(t, d.Helpers)
	s.Finish(at(20), id(3), marigoldcroft.Completion{})
	evacuate(s, 20, 3, "")
	d = s.Submit(at(30), passWork(4, 60_000))
	require.NotEmpty(t, d.Helpers, "after the evacuation")
}

// Guards against work that waits until its deadline although all endpoints are in evacuated data
// centres, and against refusals that name another reason. Work that may have run stays, as does work for
// an endpoint that is only down.
func TestWorkIsRefusedAtOnceIfAllDataCentresAreEvacuated(t *testing.T) {
	fill := func(s marigoldcroft.Scheduler) {
		for n := range 4 {
			require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(0), passWork(n, 100)).Action)
		}
		require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(0), passWork(4, 100)).Action)
		begun := passWork(5, 100)
		begun.Begun = true
		require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(0), begun).Action)
	}
	s := newPassModel(t, 1)
	fill(s)
	evacuate(s, 10, 1, "ea")
	decisions := s.Poll(at(11), nil)
	require.Len(t, decisions, 1)
	require.Equal(t, id(4), decisions[0].ID)
	require.Equal(t, marigoldcroft.ActionExpire, decisions[0].Action)
	require.Equal(t, marigoldcroft.ReasonEvacuated, decisions[0].Reason)
	require.GreaterOrEqual(t, decisions[0].RetryAfter, 2*time.Second)
	d := s.Submit(at(12), passWork(6, 100))
	require.Equal(t, marigoldcroft.ActionRefuse, d.Action)
	require.Equal(t, marigoldcroft.ReasonEvacuated, d.Reason)
	evacuate(s, 20, 1, "")
	for n := range 4 {
		s.Finish(at(20), id(n), marigoldcroft.Completion{})
	}
	decisions = s.Poll(at(21), nil)
	require.Len(t, decisions, 1, "the work that may have run")
	require.Equal(t, marigoldcroft.ActionDispatch, decisions[0].Action)

	s = newPassModel(t, 2)
	s.EndpointDown(at(0), "eb")
	fill(s)
	evacuate(s, 10, 2, "ea")
	require.Empty(t, s.Poll(at(11), nil), "eb may come back")
	require.Equal(t, marigoldcroft.ReasonNoEndpoint, s.Submit(at(12), passWork(6, 100)).Reason)
}

// Guards against queued work that waits for an endpoint of an evacuated data centre while another one
// has room.
func TestQueuedWorkIsPlacedElsewhereAtOnce(t *testing.T) {
	s := newPassModel(t, 2)
	for n := range 4 {
		work := passWork(n, 100)
		work.Exclude = []string{"eb"}
		require.Equal(t, "ea", s.Submit(at(0), work).Endpoint)
	}
	for n := 4; n < 8; n++ {
		require.Equal(t, "eb", s.Submit(at(0), passWork(n, 100)).Endpoint)
	}
	require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(0), passWork(8, 100)).Action)
	s.Finish(at(5), id(0), marigoldcroft.Completion{})
	evacuate(s, 5, 2, "ea")
	require.Empty(t, s.Poll(at(6), nil), "the free slot is in the evacuated data centre")
	s.Finish(at(7), id(4), marigoldcroft.Completion{})
	decisions := s.Poll(at(8), nil)
	require.Len(t, decisions, 1)
	require.Equal(t, "eb", decisions[0].Endpoint)
}

// Guards against queued work that the remaining endpoints cannot serve in time and that learns of it only
// at its deadline, with a Retry-After that ends before they have room.
func TestQueuedWorkThatNoLongerFitsIsRefusedAtOnce(t *testing.T) {
	s := newPassModel(t, 4)
	waiting := 0
	for n := range 400 {
		work := passWork(n, 100)
		work.OutputTokens, work.Deadline = 1000, at(20_000)
		if s.Submit(at(0), work).Action == marigoldcroft.ActionWait {
			waiting++
		}
	}
	require.Positive(t, waiting)
	require.Empty(t, s.Poll(at(1), nil))
	evacuate(s, 2, 4, "ea eb ec")
	refused := 0
	for _, d := range s.Poll(at(3), nil) {
		require.Equal(t, marigoldcroft.ActionExpire, d.Action)
		require.Equal(t, marigoldcroft.ReasonEvacuated, d.Reason)
		require.Greater(t, d.RetryAfter, time.Second)
		refused++
	}
	require.Greater(t, refused, waiting/2, "a quarter of the endpoints is left")
	require.Less(t, refused, waiting)
	require.Empty(t, s.Poll(at(10), nil), "the rest is served")
}
