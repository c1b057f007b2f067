// Package mcevacuation holds which data centres are evacuated. It decides which of two statements
// about a data centre is newer, and what holds while the store comes back from an older copy.
package mcevacuation

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcobserve"
)

const (
	// settleTime is how long what was known of a data centre holds after the store came back from an
	// older copy, unless the store changes it. The operator writes the entries that the copy lacks
	// again within a few seconds. The same time applies after the start of this process, which may
	// have begun just after a restore.
	settleTime = 5 * time.Second
	// endedRetention is how long the end of an evacuation is remembered. The copies from which the
	// store is restored are seconds old.
	endedRetention = 10 * time.Minute
	// changeLogInterval and changeLogBurst bound the log lines of changes, which other programs may
	// write at any rate.
	changeLogInterval = time.Second
	changeLogBurst    = 32
)

// State holds which data centres are evacuated. Exported fields must be set before use. It is safe
// for concurrent use.
type State struct {
	Logger  zerolog.Logger
	Metrics *mcobserve.Metrics
	// OnChange is called after each change with the evacuated data centres, sorted, by one goroutine at
	// a time, so that no older set follows a newer one. The first call is made when the state is known.
	OnChange func(evacuated []string)
	// Announce is called with each statement that peers may lack.
	Announce func(statement marigoldcroft.EvacuationStatement)

	// changeLog limits the lines of changes.
	changeLog rate.Sometimes
	// changeMu is locked before mu.
	changeMu sync.Mutex
	mu       sync.Mutex
	// statements holds the statement in force about each data centre of which one is known.
	statements map[string]marigoldcroft.EvacuationStatement
	// stored is the content of the store at era and revision; nil before the first listing.
	stored        map[string]bool
	era, revision int64
	// settled is when the content of the store counts even where older statements differ.
	settled time.Time
	// provisional holds the data centres whose statements come from a listing that was read while the
	// store settled.
	provisional map[string]bool
	// compared is true once peers had the time to state what the first listing may lack, and confirmed
	// once what peers have stated was found equal to the copy of one of them.
	compared, confirmed bool
}

func (s *State) init() {
	if s.statements == nil {
		s.statements, s.provisional = make(map[string]marigoldcroft.EvacuationStatement), make(map[string]bool)
		s.changeLog = rate.Sometimes{First: changeLogBurst, Interval: changeLogInterval}
	}
}

// Known reports whether the evacuations are known, from the store or from a peer.
func (s *State) Known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored != nil && s.compared || s.confirmed
}

// HasListing reports whether the store has been read.
func (s *State) HasListing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored != nil
}

// MarkCompared records that a peer has answered, or that none will. The first listing counts from then
// on: the store may have lost an evacuation that peers know of.
func (s *State) MarkCompared() {
	s.mu.Lock()
	s.compared = true
	s.mu.Unlock()
	s.notify(nil)
}

// MarkConfirmed records that what peers have stated is equal to the copy of one of them.
func (s *State) MarkConfirmed() {
	s.mu.Lock()
	s.confirmed = true
	s.mu.Unlock()
	s.notify(nil)
}

// Merge takes the statements of peers. It announces the newer statement about a data centre of which a
// peer has stated the contrary.
func (s *State) Merge(now time.Time, statements []marigoldcroft.EvacuationStatement) {
	s.mu.Lock()
	s.init()
	var announced []marigoldcroft.EvacuationStatement
	changed := false
	for _, statement := range statements {
		current, known := s.statements[statement.DataCentre]
		if !known && s.stored != nil {
			current = marigoldcroft.EvacuationStatement{DataCentre: statement.DataCentre, Era: s.era, Revision: s.revision, Since: now}
			// What peers know of the time before the store was restored holds until it has settled.
			known = statement.Era == s.era || !now.Before(s.settled)
		}
		if s.provisional[statement.DataCentre] && statement.Era < s.era {
			// The listing may be that of the older copy.
			known = false
		}
		switch {
		case known && !statement.NewerThan(current):
			if statement.Evacuated != current.Evacuated && s.stored != nil && !s.provisional[statement.DataCentre] {
				announced = append(announced, current)
			}
		case !statement.Evacuated && now.Sub(statement.Since) > endedRetention:
		default:
			differs := current.Evacuated != statement.Evacuated
			s.put(statement, differs, "peer")
			delete(s.provisional, statement.DataCentre)
			changed = changed || differs
		}
	}
	s.mu.Unlock()
	if changed || len(announced) > 0 {
		s.notify(announced)
	}
}

// Statements returns the statements in force, sorted by data centre.
func (s *State) Statements() []marigoldcroft.EvacuationStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	statements := make([]marigoldcroft.EvacuationStatement, 0, len(s.statements))
	for _, name := range slices.Sorted(maps.Keys(s.statements)) {
		statements = append(statements, s.statements[name])
	}
	return statements
}

// ApplyStore applies an answer of the store, given in the era.
func (s *State) ApplyStore(now time.Time, era int64, change mcfollow.Change[marigoldcroft.Evacuation]) {
	s.mu.Lock()
	first := s.stored == nil
	if era != s.era || first {
		s.settled = now.Add(settleTime)
		time.AfterFunc(settleTime, s.settle)
		s.Logger.Info().Int64("era", era).Int64("previous", s.era).Bool("first", first).Msg("evacuationsSettling")
	}
	if change.Snapshot || first {
		s.stored = make(map[string]bool, len(change.Records))
	}
	s.era, s.revision = era, change.Revision
	fresh := make(map[string]bool)
	for _, r := range change.Records {
		if r.Deleted {
			delete(s.stored, r.Name)
		} else {
			s.stored[r.Name] = true
		}
		// A listing may show entries that were changed long before.
		fresh[r.Name] = !change.Snapshot
	}
	announced := s.takeStored(now, fresh)
	s.mu.Unlock()
	s.notify(announced)
}

// takeStored applies the content of the store and returns the statements to announce. While the store
// settles, only what is fresh replaces a statement of an older era. mu must be held.
func (s *State) takeStored(now time.Time, fresh map[string]bool) []marigoldcroft.EvacuationStatement {
	settling := now.Before(s.settled)
	s.init()
	names := make(map[string]bool)
	for name := range s.stored {
		names[name] = true
	}
	for name, current := range s.statements {
		names[name] = true
		if !current.Evacuated && !s.stored[name] && now.Sub(current.Since) > endedRetention {
			delete(s.statements, name)
			delete(names, name)
		}
	}
	var announced []marigoldcroft.EvacuationStatement
	for name := range names {
		current, known := s.statements[name]
		statement := marigoldcroft.EvacuationStatement{DataCentre: name, Evacuated: s.stored[name], Era: s.era, Revision: s.revision, Since: now}
		if known && (settling && !fresh[name] && current.Era < s.era || !statement.NewerThan(current)) {
			continue
		}
		changed := !known || current.Evacuated != statement.Evacuated
		if !changed {
			statement.Since = current.Since
		}
		s.put(statement, changed, "store")
		if settling && !fresh[name] {
			s.provisional[name] = true
		} else {
			delete(s.provisional, name)
		}
		// What a listing shows while the store settles may be older than what peers know.
		if changed && (!settling || fresh[name]) || !changed && current.Era != s.era {
			announced = append(announced, statement)
		}
	}
	return announced
}

// settle takes the content of the store as it is, once it has settled.
func (s *State) settle() {
	now := time.Now()
	s.mu.Lock()
	if now.Before(s.settled) {
		s.mu.Unlock()
		return
	}
	clear(s.provisional)
	announced := s.takeStored(now, nil)
	for _, statement := range s.statements {
		if statement.Era == s.era {
			announced = append(announced, statement)
		}
	}
	s.mu.Unlock()
	s.notify(announced)
}

// put records a statement; mu must be held.
func (s *State) put(statement marigoldcroft.EvacuationStatement, changed bool, source string) {
	s.statements[statement.DataCentre] = statement
	if !changed {
		return
	}
	s.Metrics.EvacuationChanges.WithLabelValues(source).Inc()
	s.changeLog.Do(func() {
		s.Logger.Warn().Str("dataCentre", statement.DataCentre).Bool("evacuated", statement.Evacuated).Int64("era", statement.Era).
			Int64("revision", statement.Revision).Str("source", source).Msg("evacuationChanged")
	})
}

// notify passes the evacuated data centres to OnChange and the statements to Announce. mu must not be
// held.
func (s *State) notify(announced []marigoldcroft.EvacuationStatement) {
	s.changeMu.Lock()
	if s.Known() {
		evacuated := s.Evacuated()
		s.Metrics.Evacuated.Set(float64(len(evacuated)))
		s.OnChange(evacuated)
	}
	s.changeMu.Unlock()
	for _, statement := range announced {
		s.Announce(statement)
	}
}

// Evacuated returns the names of the evacuated data centres, sorted.
func (s *State) Evacuated() []string {
	var names []string
	for _, statement := range s.Statements() {
		if statement.Evacuated {
			names = append(names, statement.DataCentre)
		}
	}
	return names
}
