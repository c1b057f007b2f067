package mcfleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// foreignRecord is a record of another program under the name of an endpoint.
func foreignRecord(name string) record { return record{Name: name} }

// Guards against a record of another program that takes an endpoint out of use, or brings one back
// that has announced its leaving.
func TestRecordOfAnotherProgramChangesNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		foreign change
	}{
		{"event", change{Records: []record{foreignRecord("a"), foreignRecord("b"), foreignRecord("c"), foreignRecord("new")}}},
		{"listing", change{Snapshot: true, Records: []record{foreignRecord("a"), foreignRecord("b"), foreignRecord("c"), foreignRecord("new")}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet()
			f.Apply(change{Snapshot: true, Records: []record{readyRecord("a", 1), readyRecord("b", 1), readyRecord("c", 1)}})
			f.Apply(change{Records: []record{leavingRecord("b", 1)}})
			f.MarkLeaving("c")
			for range 2 {
				f.Apply(c.foreign)
				endpoints, ended := f.recorded()
				require.Equal(t, []string{"a"}, endpoints)
				require.Empty(t, ended, "the process has not ended")
				require.Len(t, f.Endpoints(), 3)
			}
			f.Apply(change{Records: []record{readyRecord("a", 1), leavingRecord("b", 1), readyRecord("c", 1)}})
			endpoints, _ := f.recorded()
			require.Equal(t, []string{"a"}, endpoints, "their own records, written again")
		})
	}
}

// Guards against requests to an endpoint that left without an announcement, by the removal of its
// record, and whose last write is carried out afterwards. One that lives is used as soon as it is
// confirmed, or once its record has stayed.
func TestReturnedRecordIsNotUsedBeforeItsEndpointIsConfirmed(t *testing.T) {
	for _, c := range []struct {
		name   string
		then   func(f *recordingFleet)
		later  []string
		atOnce []string
	}{
		{"confirmed", func(f *recordingFleet) { f.Confirm("a", 1) }, []string{"a"}, []string{"a"}},
		{"another process is confirmed", func(f *recordingFleet) { f.Confirm("a", 2) }, []string{"a"}, nil},
		{"the record stays", func(*recordingFleet) {}, []string{"a"}, nil},
		{"the record disappears", func(f *recordingFleet) { f.Apply(change{Records: []record{{Name: "a", Deleted: true}}}) }, nil, nil},
		{"it says that it is leaving", func(f *recordingFleet) {
			f.MarkLeaving("a")
			f.Confirm("a", 1)
		}, nil, nil},
		{"its record says that it is leaving", func(f *recordingFleet) {
			f.Apply(change{Records: []record{leavingRecord("a", 1)}})
			f.Confirm("a", 1)
		}, nil, nil},
		{"the next process starts", func(f *recordingFleet) { f.Apply(change{Records: []record{readyRecord("a", 2)}}) }, []string{"a"}, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				f.Apply(change{Snapshot: true, Records: []record{readyRecord("a", 1)}})
				f.Apply(change{Records: []record{{Name: "a", Deleted: true}}})
				f.Apply(change{Records: []record{readyRecord("a", 1)}})
				endpoints, _ := f.recorded()
				require.Empty(t, endpoints)
				require.Equal(t, []string{"a/1 false"}, f.returned)
				c.then(f)
				endpoints, _ = f.recorded()
				require.Equal(t, c.atOnce, endpoints)
				time.Sleep(7 * time.Second)
				synctest.Wait()
				endpoints, _ = f.recorded()
				require.Equal(t, c.later, endpoints)
				require.Len(t, f.returned, 1)
			})
		})
	}
}

// Guards against an endpoint that stays in use although it has announced its leaving, because its clock
// went back before its last start and its records count as those of an older process; and against one
// that is taken out of use by a late record of an older process.
func TestOlderIncarnationCountsOnceItsRecordHasStayed(t *testing.T) {
	for _, c := range []struct {
		name string
		// older follows a ready record of incarnation 5, and then is what comes within a heartbeat.
		older, then []record
		// afterwards is what may be used 1.9 s after the older record, returned what had to be checked.
		afterwards, returned []string
	}{
		{"leaving", []record{leavingRecord("a", 3)}, nil, nil, nil},
		{"leaving, written late", []record{leavingRecord("a", 3)}, []record{readyRecord("a", 5)}, []string{"a"}, nil},
		{"ready", []record{readyRecord("a", 3)}, nil, nil, []string{"a/3 false"}},
		{"ready, then leaving", []record{readyRecord("a", 3)}, []record{leavingRecord("a", 3)}, []string{"a"}, nil},
		{"removed", []record{{Name: "a", Deleted: true}, readyRecord("a", 3)}, nil, nil, []string{"a/3 false"}},
		{"removed, leaving", []record{{Name: "a", Deleted: true}, leavingRecord("a", 3)}, nil, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				f.Apply(change{Snapshot: true, Records: []record{readyRecord("a", 5)}})
				for _, r := range c.older {
					f.Apply(change{Records: []record{r}})
				}
				time.Sleep(1200 * time.Millisecond)
				for _, r := range c.then {
					f.Apply(change{Records: []record{r}})
				}
				time.Sleep(700 * time.Millisecond)
				synctest.Wait()
				endpoints, _ := f.recorded()
				require.Equal(t, c.afterwards, endpoints)
				require.Equal(t, c.returned, f.returned)

				time.Sleep(time.Second)
				synctest.Wait()
				last := append(c.older, c.then...)
				f.Confirm("a", last[len(last)-1].Value.Incarnation)
				endpoints, _ = f.recorded()
				if last[len(last)-1].Value.Leaving {
					require.Empty(t, endpoints, "its leaving counts after the time for a late record")
				} else {
					require.Equal(t, []string{"a"}, endpoints)
				}
				f.Apply(change{Records: []record{readyRecord("a", 6)}})
				endpoints, _ = f.recorded()
				require.Equal(t, []string{"a"}, endpoints, "the next process")
			})
		})
	}
}

// Guards against a record of an older process that counts although it is gone, as it was removed while
// its endpoint is kept after an outage.
func TestOlderRecordThatIsGoneDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.Apply(change{Snapshot: true, Records: []record{readyRecord("a", 5)}})
		f.Apply(change{OutageDuration: 5 * time.Second, Records: []record{leavingRecord("a", 3)}})
		f.Apply(change{Records: []record{{Name: "a", Deleted: true}}})
		time.Sleep(1600 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, uint64(5), f.Incarnation("a"))
		time.Sleep(time.Second)
		synctest.Wait()
		require.False(t, f.Known("a"), "its record did not come back")
	})
}

// Guards against an endpoint that left and is kept for the time after an outage counted from the moment
// at which this instance could read the records again, which may be later than its end.
func TestMissingRecordIsAwaitedFromTheEndOfTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.Apply(change{Snapshot: true, Records: []record{readyRecord("a", 1), readyRecord("b", 1), readyRecord("c", 1)}})
		f.Apply(change{Snapshot: true, OutageDuration: 5 * time.Second, OutageEndedAt: time.Now().Add(-1500 * time.Millisecond), Records: []record{readyRecord("b", 1), readyRecord("c", 1)}})
		endpoints, _ := f.recorded()
		require.Equal(t, []string{"a", "b", "c"}, endpoints)
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		endpoints, _ = f.recorded()
		require.Equal(t, []string{"b", "c"}, endpoints)
		f.Apply(change{Snapshot: true, OutageDuration: 5 * time.Second, OutageEndedAt: time.Now().Add(-3 * time.Second), Records: []record{readyRecord("c", 1)}})
		endpoints, _ = f.recorded()
		require.Equal(t, []string{"c"}, endpoints, "the time is over")
	})
}
