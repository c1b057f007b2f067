package mcmember

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"marigoldcroft/mcmessage"
)

const (
	// MaxEvacuations limits the records of evacuations, of which there is one for each data centre.
	MaxEvacuations = 256
	// endedEvacuationRetention is how long the end of an evacuation is shared. It keeps a member that
	// was cut off from bringing back the evacuation.
	endedEvacuationRetention = time.Hour
)

// SetEvacuation stores and shares whether a data centre is evacuated, unless a newer statement or an
// equal one of the same era is known: each instance that follows the store announces each change.
// Invalid records are ignored.
func (t *Table) SetEvacuation(now time.Time, e *mcmessage.Evacuation) {
	cur := t.evacuations[e.GetDataCentre()]
	if !ValidEvacuation(e) || cur != nil && cur.GetEra() == e.GetEra() && cur.GetEvacuated() == e.GetEvacuated() {
		return
	}
	t.applyEvacuation(now, e, true)
}

// ValidEvacuation reports whether peers accept the record. The store may hold entries with names of any
// length.
func ValidEvacuation(e *mcmessage.Evacuation) bool {
	return validName(e.GetDataCentre()) && e.GetEra() <= maxRevision && e.GetRevision() <= maxRevision && clampUnixMs(e.GetSinceUnixMs()) == e.GetSinceUnixMs()
}

// applyEvacuation merges a statement about a data centre.
func (t *Table) applyEvacuation(now time.Time, r *mcmessage.Evacuation, push bool) {
	cur := t.evacuations[r.GetDataCentre()]
	if evacuationExpired(now, r) || cur == nil && len(t.evacuations) >= MaxEvacuations || cur != nil && !evacuationNewer(r, cur) {
		return
	}
	t.evacuations[r.GetDataCentre()] = r
	stamp := hashOf(r.GetDataCentre(), r.GetEra(), r.GetRevision(), bit(r.GetEvacuated()), uint64(r.GetSinceUnixMs()))
	if t.updateStamp(now, recordID{recordEvacuation, r.GetDataCentre()}, stamp, push) {
		t.emit(Event{Kind: EventEvacuation, Name: r.GetDataCentre()})
		t.urgent = t.urgent || push
	}
}

// evacuationNewer is a total order, so that all members pick the same one of two records.
func evacuationNewer(a, b *mcmessage.Evacuation) bool {
	return cmp.Or(
		cmp.Compare(a.GetEra(), b.GetEra()),
		cmp.Compare(a.GetRevision(), b.GetRevision()),
		cmp.Compare(bit(a.GetEvacuated()), bit(b.GetEvacuated())),
		cmp.Compare(b.GetSinceUnixMs(), a.GetSinceUnixMs()),
	) > 0
}

// evacuationExpired reports whether the record is that of an evacuation that ended long ago. An
// evacuation in force does not expire.
func evacuationExpired(now time.Time, r *mcmessage.Evacuation) bool {
	return !r.GetEvacuated() && now.UnixMilli()-r.GetSinceUnixMs() > endedEvacuationRetention.Milliseconds()
}

func (t *Table) expireEvacuations(now time.Time) {
	for name, r := range t.evacuations {
		if evacuationExpired(now, r) {
			delete(t.evacuations, name)
			t.stopReplicating(recordID{recordEvacuation, name})
		}
	}
}

// Evacuations returns the statements about all data centres, sorted by data centre.
func (t *Table) Evacuations() []*mcmessage.Evacuation {
	return slices.SortedFunc(maps.Values(t.evacuations), func(a, b *mcmessage.Evacuation) int {
		return cmp.Compare(a.GetDataCentre(), b.GetDataCentre())
	})
}
