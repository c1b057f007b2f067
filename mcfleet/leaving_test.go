package mcfleet_test

import (
	"testing"

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
