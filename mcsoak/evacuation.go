package mcsoak

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"marigoldcroft/mcstandin"
)

const (
	// evacuationFault is the name of the fault that evacuates a data centre.
	evacuationFault = "data centre is evacuated"
	// evacuationLimit is evacuate-ms of the users' sites: how long after the store has accepted an
	// evacuation the servers of the data centre may still get requests.
	evacuationLimit = 5 * time.Second
	// maxEvacuationTime bounds the random part of the time for which an evacuation lasts beyond the
	// limit, maxQuickChange the time between two changes in quick succession.
	maxEvacuationTime = 3 * time.Second
	maxQuickChange    = 300 * time.Millisecond
)

// dataCentres are the data centres of the servers.
var dataCentres = []string{dataCentre, "y"}

// evacuation is the evacuation of a data centre, from when the store had accepted it until it was
// withdrawn.
type evacuation struct {
	dataCentre string
	interval
}

// nextDataCentre returns the data centre of a new server: that of the server that had the address, or
// else the one that has the fewest servers of the service.
func (s *Soak) nextDataCentre(service, address string) string {
	for _, b := range s.currentAndRemovedServers() {
		if b.link.address == address {
			return b.dataCentre
		}
	}
	count := make(map[string]int)
	for _, b := range s.currentServers() {
		if b.service == service {
			count[b.dataCentre]++
		}
	}
	least := dataCentres[0]
	for _, name := range dataCentres {
		if count[name] < count[least] {
			least = name
		}
	}
	return least
}

// evacuate evacuates a data centre, sometimes after evacuations that are withdrawn at once, while the
// store is away or an instance restarts, or neither. One evacuation lasts at a time.
func (s *Soak) evacuate(r *rand.Rand) {
	if !s.evacuating.TryLock() {
		return
	}
	defer s.evacuating.Unlock()
	name := dataCentres[r.IntN(len(dataCentres))]
	for range r.IntN(3) {
		s.beginEvacuation(name)
		s.pause(time.Duration(r.Int64N(int64(maxQuickChange))))
		s.endEvacuation(name)
		s.pause(time.Duration(r.Int64N(int64(maxQuickChange))))
	}
	s.beginEvacuation(name)
	begun := time.Now()
	s.pause(time.Duration(r.Int64N(int64(maxQuickChange))))
	storeAway, restart := r.IntN(2) == 0, r.IntN(2) == 0
	if storeAway {
		faults := []mcstandin.PlatformStoreFaults{{Status: 503}, {Silent: true}}[r.IntN(2)]
		s.activeFaults.Go(func() {
			s.disruptFor(evacuationFault, func() {
				s.store.SetFaults(faults)
				s.pause(maxFaultTime / 2)
				s.store.SetFaults(mcstandin.PlatformStoreFaults{})
			})
		})
	}
	if restart {
		s.restartFor(evacuationFault, s.anyInstance(r), []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[r.IntN(2)], r)
	}
	s.pause(evacuationLimit - time.Since(begun) + time.Duration(r.Int64N(int64(maxEvacuationTime))))
	s.endEvacuation(name)
}

func (s *Soak) beginEvacuation(name string) {
	s.store.Put("evacuations", name, []byte(`{}`))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations = append(s.evacuations, evacuation{dataCentre: name, interval: interval{from: time.Now()}})
}

// endEvacuation withdraws the last evacuation.
func (s *Soak) endEvacuation(name string) {
	s.mu.Lock()
	s.evacuations[len(s.evacuations)-1].to = time.Now()
	s.mu.Unlock()
	s.store.Remove("evacuations", name)
}

// checkEvacuations counts the requests that reached servers of an evacuated data centre later than
// evacuationLimit. Those shortly after a disruption that other faults caused are left out.
func (s *Soak) checkEvacuations() {
	for _, e := range s.evacuations {
		var late []string
		for _, b := range s.currentAndRemovedServers() {
			if b.dataCentre != e.dataCentre {
				continue
			}
			for _, run := range b.server.Runs() {
				if run.Time.After(e.from.Add(evacuationLimit)) && run.Time.Before(e.to) &&
					!s.disruptedByOthers(evacuationFault, run.Time.Add(-evacuationLimit-stableTime), run.Time) {
					late = append(late, run.ID)
				}
			}
		}
		if len(late) > 0 {
			s.violation("evacuated data centres", "%d requests reached %s later than %s after its evacuation: %s", len(late), e.dataCentre,
				evacuationLimit, strings.Join(late[:min(len(late), maxBroken)], ", "))
		}
		if !e.to.Before(e.from.Add(evacuationLimit)) {
			s.report.Evacuations++
		}
	}
}
