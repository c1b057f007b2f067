package mcevacuation_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// modelStore is a store whose entries change, and which comes back from older copies.
type modelStore struct {
	era, revision int64
	entries       map[string]bool
	// changes holds the names that changed since a revision, oldest first.
	changes []modelChange
}

type modelChange struct {
	revision int64
	text     string
}

func (s *modelStore) set(name string, evacuated bool) {
	if s.entries[name] == evacuated {
		return
	}
	s.revision++
	text := name
	if evacuated {
		s.entries[name] = true
	} else {
		delete(s.entries, name)
		text = "-" + name
	}
	s.changes = append(s.changes, modelChange{s.revision, text})
}

// modelInstance is an instance that reads the store at times and hears of peers at others.
type modelInstance struct {
	*recordingState
	era, revision int64
	listed        bool
}

// read reads the store like a follower: it lists in a new era, and takes the changes otherwise.
func (i *modelInstance) read(s *modelStore, list bool) {
	if list || !i.listed || i.era != s.era {
		i.list(s.era, s.revision, slices.Sorted(maps.Keys(s.entries))...)
	} else {
		var names []string
		for _, c := range s.changes {
			if c.revision > i.revision {
				names = append(names, c.text)
			}
		}
		i.event(s.era, s.revision, names...)
	}
	i.era, i.revision, i.listed = s.era, s.revision, true
}

// Guards against instances whose views stay different, or differ from the store, after any order of
// changes, restores, reads of the store and lost, late or repeated statements of peers.
func TestInstancesAgreeWithTheStoreInTheEnd(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 1))
				store := &modelStore{revision: 1, entries: make(map[string]bool)}
				older := modelStore{revision: 1, entries: make(map[string]bool)}
				instances := make([]*modelInstance, 4)
				for i := range instances {
					instances[i] = &modelInstance{recordingState: newState()}
				}
				var sent []statement
				names := []string{"x", "y", "z"}
				for range 60 {
					time.Sleep(time.Duration(r.Int64N(int64(400 * time.Millisecond))))
					instance := instances[r.IntN(len(instances))]
					switch r.IntN(8) {
					case 0, 1:
						store.set(names[r.IntN(len(names))], r.IntN(2) == 0)
					case 2:
						older = modelStore{revision: store.revision, entries: maps.Clone(store.entries)}
					case 3:
						if r.IntN(4) == 0 {
							*store = modelStore{era: store.era + 1, revision: older.revision, entries: maps.Clone(older.entries)}
						}
					case 4, 5:
						instance.read(store, r.IntN(4) == 0)
					default:
						if len(sent) > 0 {
							instance.peer(sent[r.IntN(len(sent))])
						}
					}
					for _, i := range instances {
						sent = append(sent, i.takeAnnounced()...)
					}
				}
				for round := range 2 {
					for _, i := range instances {
						i.read(store, round == 0)
						i.peer(sent...)
					}
					time.Sleep(10 * time.Second)
				}
				want := slices.Sorted(maps.Keys(store.entries))
				for n, i := range instances {
					require.ElementsMatch(t, want, i.evacuated(), "instance %d", n)
				}
			})
		})
	}
}
