package mcfleet

import (
	"slices"
	"time"
)

// SetEvacuated replaces the set of evacuated data centres. Their endpoints get no new work.
func (f *Fleet) SetEvacuated(dataCentres []string) {
	now := time.Now()
	f.mu.Lock()
	if f.evacuationsKnown && slices.Equal(f.evacuated, dataCentres) {
		f.mu.Unlock()
		return
	}
	var ended []string
	for _, name := range f.evacuated {
		if !slices.Contains(dataCentres, name) {
			ended = append(ended, name)
		}
	}
	f.evacuated, f.evacuationsKnown = slices.Clone(dataCentres), true
	f.evacuationsEnded(now, ended)
	for _, entry := range f.entries {
		entry.endpoint = f.buildEndpoint(entry)
	}
	f.mu.Unlock()
	f.announce()
}

// evacuationsEnded is called with the data centres whose evacuation has ended, before their endpoints
// get new work. The endpoints count as cold from now on, until they state otherwise: they may have been
// restarted shortly before. mu must be held.
func (f *Fleet) evacuationsEnded(now time.Time, dataCentres []string) {
	for _, name := range dataCentres {
		f.Logger.Info().Str("dataCentre", name).Time("at", now).Msg("evacuationEnded")
	}
	f.assumeColdLocked(now, "evacuation", func(entry *fleetEntry) bool { return slices.Contains(dataCentres, entry.record.DataCentre) })
}

// Evacuated reports whether the data centre is evacuated.
func (f *Fleet) Evacuated(dataCentre string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.evacuated, dataCentre)
}
