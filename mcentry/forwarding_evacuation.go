package mcentry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcevacuation"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcmessage"
	"marigoldcroft/platform"
)

const (
	// countInterval is the time between two updates of the metric of the requests in evacuated data
	// centres.
	countInterval = time.Second
)

// evacuationFollower follows the evacuations of data centres in the store and those that peers state.
type evacuationFollower struct {
	*mcfollow.Follower[marigoldcroft.Evacuation]
	state *mcevacuation.State
	guard *mcevacuation.Guard
}

// buildEvacuations builds what follows the evacuations of data centres, if the operator asks for it.
func (e *Forwarding) buildEvacuations(gate *mcfollow.Gate) {
	if e.Settings.Forward.EvacuationDelay == 0 {
		return
	}
	state := &mcevacuation.State{Logger: e.logger, Metrics: e.metrics, OnChange: e.fleet.SetEvacuated, Announce: e.announceEvacuation}
	guard := &mcevacuation.Guard{Logger: e.logger, Metrics: e.metrics}
	feed := platform.Evacuations(e.store)
	e.evacuations = &evacuationFollower{state: state, guard: guard}
	e.evacuations.Follower = &mcfollow.Follower[marigoldcroft.Evacuation]{
		Name: recordsEvacuations, Feed: feed, Logger: e.logger, Gate: gate,
		WatchTimeout: e.watchTimeout(recordsEvacuations), StoreFallbackAge: e.storeFallbackAge(recordsEvacuations), Hash: hashEvacuation,
		Apply: func(change mcfollow.Change[marigoldcroft.Evacuation]) {
			state.ApplyStore(time.Now(), feed.Era(), change)
			guard.Confirm(change.CompleteAt)
		},
		OnConfirmed: guard.Confirm,
	}
	guard.Refresh = e.refreshEvacuations
	e.forwarder.AwaitEvacuations = guard.Await
}

// followEvacuations follows the evacuations until ctx ends.
func (e *Forwarding) followEvacuations(ctx context.Context) {
	if e.evacuations == nil {
		return
	}
	e.tasks.Go(func() { e.startEvacuations(ctx) })
	e.tasks.Go(func() { e.evacuations.guard.Run(ctx) })
	e.tasks.Go(func() { e.countEvacuatedRequests(ctx) })
	e.evacuations.Run(ctx)
}

// adminHandler serves operators: the report on the evacuations, and the metrics at any other path.
func (e *Forwarding) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(mcevacuation.ReportPath, e.serveEvacuations)
	mux.Handle("/", e.metrics.Handler())
	return mux
}

// serveEvacuations reports the view of this instance.
func (e *Forwarding) serveEvacuations(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: an operator that has left cannot be told.
	_ = json.NewEncoder(w).Encode(e.evacuationReport())
}

func (e *Forwarding) evacuationReport() mcevacuation.Report {
	report := mcevacuation.Report{Instance: e.Settings.Instance, ConfirmedAgeMs: -1, AdminAddresses: make(map[string]string)}
	for _, view := range e.member.Members() {
		if view.State != mcmessage.MemberState_MEMBER_STATE_GONE {
			report.AdminAddresses[view.Instance] = view.AdminAddress
		}
	}
	if e.evacuations == nil {
		return report
	}
	report.Followed, report.Known = true, e.evacuations.state.Known()
	if _, complete, known := e.evacuations.CopyStatus(); known {
		report.ConfirmedAgeMs = (mcclock.Now() - complete).Milliseconds()
	}
	running := e.evacuatedRequests()
	for _, s := range e.evacuations.state.Statements() {
		if s.Evacuated {
			report.DataCentres = append(report.DataCentres, mcevacuation.ReportedCentre{DataCentre: s.DataCentre, Since: s.Since, Running: running[s.DataCentre]})
		}
	}
	return report
}

// countEvacuatedRequests keeps the metric of the requests in evacuated data centres up to date.
func (e *Forwarding) countEvacuatedRequests(ctx context.Context) {
	for mcclock.Sleep(ctx, countInterval) {
		n := 0
		for _, running := range e.evacuatedRequests() {
			n += running
		}
		e.metrics.EvacuatedRequests.Set(float64(n))
	}
}

// evacuatedRequests returns the number of requests of this instance that run in each evacuated data
// centre.
func (e *Forwarding) evacuatedRequests() map[string]int {
	running, inFlight := make(map[string]int), e.scheduler.InFlight()
	for _, endpoint := range e.fleet.Endpoints() {
		if endpoint.Evacuated() {
			load := inFlight[endpoint.Name()]
			running[endpoint.DataCentre()] += load.Short + load.Long
		}
	}
	return running
}

func hashEvacuation(evacuation *marigoldcroft.Evacuation) uint64 {
	return xxhash.Sum64String(evacuation.DataCentre)
}
