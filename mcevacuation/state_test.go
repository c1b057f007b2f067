package mcevacuation_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcevacuation"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcobserve"
)

type (
	change    = mcfollow.Change[marigoldcroft.Evacuation]
	record    = marigoldcroft.Record[marigoldcroft.Evacuation]
	statement = marigoldcroft.EvacuationStatement
)

// recordingState is a state that records what it reports.
type recordingState struct {
	*mcevacuation.State

	mu        sync.Mutex
	changed   []string
	announced []statement
}

func newState() *recordingState {
	s := &recordingState{}
	s.State = &mcevacuation.State{
		Logger: zerolog.Nop(), Metrics: mcobserve.NewMetrics(),
		OnChange: func(evacuated []string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.changed = evacuated
		},
		Announce: func(statement statement) {
			s.mu.Lock()
			defer s.mu.Unlock()
			statement.Since = time.Time{}
			s.announced = append(s.announced, statement)
		},
	}
	s.MarkCompared()
	return s
}

// evacuated returns what the last call of OnChange reported.
func (s *recordingState) evacuated() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// takeAnnounced returns the statements that were announced since the last call.
func (s *recordingState) takeAnnounced() []statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	announced := s.announced
	s.announced = nil
	return announced
}

// list applies a listing of the store, and event a change, in which a name with a leading minus sign is
// one that was removed.
func (s *recordingState) list(era, revision int64, names ...string) {
	s.ApplyStore(time.Now(), era, change{Snapshot: true, Revision: revision, Records: records(names)})
}

func (s *recordingState) event(era, revision int64, names ...string) {
	s.ApplyStore(time.Now(), era, change{Revision: revision, Records: records(names)})
}

func (s *recordingState) peer(statements ...statement) {
	for i := range statements {
		statements[i].Since = time.Now()
	}
	s.Merge(time.Now(), statements)
}

func records(names []string) []record {
	var list []record
	for _, name := range names {
		if name[0] == '-' {
			list = append(list, record{Name: name[1:], Deleted: true})
		} else {
			list = append(list, record{Name: name, Value: &marigoldcroft.Evacuation{DataCentre: name}})
		}
	}
	return list
}

// settled returns a state that knows the given content of the store since a minute.
func settled(names ...string) *recordingState {
	s := newState()
	s.list(0, 100, names...)
	time.Sleep(time.Minute)
	s.takeAnnounced()
	return s
}

// Guards against a state that follows an older statement, from the store or a peer, after a newer one.
func TestNewestStatementHolds(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(s *recordingState)
		want  []string
	}{
		{"store", func(s *recordingState) { s.event(0, 110, "y") }, []string{"y", "z"}},
		{"withdrawn", func(s *recordingState) { s.event(0, 110, "-z") }, nil},
		{"withdrawn and evacuated in one answer", func(s *recordingState) { s.event(0, 110, "-z", "z") }, []string{"z"}},
		{"listed again", func(s *recordingState) { s.list(0, 110, "x") }, []string{"x"}},
		{"peer, newer", func(s *recordingState) { s.peer(statement{DataCentre: "z", Revision: 120}) }, nil},
		{"peer, older", func(s *recordingState) { s.peer(statement{DataCentre: "z", Revision: 90}) }, []string{"z"}},
		{"peer, older than the listing", func(s *recordingState) { s.peer(statement{DataCentre: "y", Revision: 90, Evacuated: true}) }, []string{"z"}},
		{"store, older than a peer", func(s *recordingState) {
			s.peer(statement{DataCentre: "z", Revision: 120})
			s.event(0, 110, "x")
		}, []string{"x"}},
		{"store, newer than a peer", func(s *recordingState) {
			s.peer(statement{DataCentre: "y", Revision: 120, Evacuated: true})
			s.event(0, 130)
		}, []string{"z"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := settled("z")
				c.steps(s)
				require.Equal(t, c.want, s.evacuated())
				time.Sleep(time.Minute)
				require.Equal(t, c.want, s.evacuated())
			})
		})
	}
}

// Guards against a store that comes back from an older copy and brings back an evacuation that was
// withdrawn, or makes the instances forget one in force, before the operator has written again.
func TestRestoredStoreChangesNothingAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// known is what the store held before, and restored what it holds after it came back.
		known, restored []string
		after           func(s *recordingState)
		atOnce, later   []string
	}{
		{"forgotten and written again", []string{"z"}, nil, func(s *recordingState) { s.event(1, 51, "z") }, []string{"z"}, []string{"z"}},
		{"forgotten for good", []string{"z"}, nil, func(*recordingState) {}, []string{"z"}, nil},
		{"withdrawn, and removed again", nil, []string{"z"}, func(s *recordingState) { s.event(1, 51, "-z") }, nil, nil},
		{"withdrawn, and evacuated again", nil, []string{"z"}, func(*recordingState) {}, nil, []string{"z"}},
		{"evacuated meanwhile", []string{"z"}, nil, func(s *recordingState) { s.event(1, 51, "y") }, []string{"y", "z"}, []string{"y"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := settled("z")
				s.list(0, 110, c.known...)
				s.list(1, 50, c.restored...)
				require.Equal(t, c.known, s.evacuated())
				time.Sleep(time.Second)
				c.after(s)
				require.Equal(t, c.atOnce, s.evacuated())
				time.Sleep(3 * time.Second)
				require.Equal(t, c.atOnce, s.evacuated())
				time.Sleep(3 * time.Second)
				require.Equal(t, c.later, s.evacuated())
			})
		})
	}
}

// Guards against an instance that starts after a restore of the store, and sends to a data centre whose
// evacuation the store has lost, or persuades its peers of one that was withdrawn.
func TestFirstListingAfterARestoreYieldsToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newState()
		s.list(1, 50, "x")
		require.Empty(t, s.takeAnnounced())
		s.peer(statement{DataCentre: "z", Revision: 110, Evacuated: true}, statement{DataCentre: "x", Revision: 120})
		require.Equal(t, []string{"z"}, s.evacuated())
		require.Empty(t, s.takeAnnounced(), "peers that know better are not corrected")
		s.event(1, 52)
		require.Equal(t, []string{"z"}, s.evacuated())
		time.Sleep(time.Minute)
		require.Equal(t, []string{"x"}, s.evacuated())
	})
}

// Guards against peers that have lost the store and never learn of a change.
func TestChangesAreAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := settled("z")
		s.event(0, 110, "y")
		s.event(0, 120, "-z")
		require.Equal(t, []statement{{DataCentre: "y", Evacuated: true, Revision: 110}, {DataCentre: "z", Revision: 120}}, s.takeAnnounced())
		s.event(0, 130)
		require.Empty(t, s.takeAnnounced(), "nothing has changed")
		s.peer(statement{DataCentre: "z", Revision: 90, Evacuated: true})
		require.Equal(t, []statement{{DataCentre: "z", Revision: 130}}, s.takeAnnounced(), "a peer that is behind is corrected")
	})
}

// Guards against requests before the evacuations are known, and against an instance that never serves
// because the store is away while its peers know the evacuations.
func TestStateIsKnownFromTheStoreOrAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		newOne := func() *mcevacuation.State {
			calls = 0
			return &mcevacuation.State{Logger: zerolog.Nop(), Metrics: mcobserve.NewMetrics(), OnChange: func([]string) { calls++ }, Announce: func(statement) {}}
		}
		s := newOne()
		s.ApplyStore(time.Now(), 0, change{Snapshot: true, Revision: 1})
		require.False(t, s.Known(), "peers may know more")
		require.Zero(t, calls)
		s.MarkCompared()
		require.True(t, s.Known())
		require.Equal(t, 1, calls)

		s = newOne()
		s.MarkCompared()
		s.Merge(time.Now(), []statement{{DataCentre: "z", Revision: 1, Evacuated: true}})
		require.False(t, s.Known())
		s.MarkConfirmed()
		require.True(t, s.Known())
		require.Equal(t, []string{"z"}, s.Evacuated())
	})
}
