package mcfleet

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuated replaces the set of evacuated data centres. Their endpoints get no new work.
func (f *Fleet) SetEvacuated(dataCentres []string) {
	now := time.Now()
	f.mu.Lock()
	previous := f.evacuated
	f.evacuated = make(map[string]time.Time, len(dataCentres))
	for _, name := range dataCentres {
		f.evacuated[name] = now
		if since, evacuated := previous[name]; evacuated {
			f.evacuated[name] = since
		}
	}
	if previous != nil && maps.Equal(previous, f.evacuated) {
		f.mu.Unlock()
		return
	}
	var ended []string
	for _, name := range slices.Sorted(maps.Keys(previous)) {
		if _, evacuated := f.evacuated[name]; !evacuated {
			ended = append(ended, name)
		}
	}
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
		f.Logger.Info().Str("dataCentre", name).Msg("evacuationEnded")
	}
	f.assumeColdLocked(now, "evacuation", func(entry *fleetEntry) bool { return slices.Contains(dataCentres, entry.record.DataCentre) })
}

// EvacuatedSince returns when the evacuation of the endpoint's data centre became known here, and
// false if it is not evacuated or the endpoint is not known.
func (f *Fleet) EvacuatedSince(endpoint string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry := f.entries[endpoint]
	if entry == nil {
		return time.Time{}, false
	}
	since, evacuated := f.evacuated[entry.record.DataCentre]
	return since, evacuated
}
