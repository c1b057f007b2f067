package mcentry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

const (
	// recordCheckInterval is the time between two checks of the instances' records.
	recordCheckInterval = 20 * time.Second
	// recordRetention is how long a member must be out of contact before its record is
	// removed. It is longer than most network partitions and restarts; an instance whose
	// record was removed too early writes it again.
	recordRetention = 3 * time.Minute
)

// roster is the membership's instance list, kept up to date from the records in the
// platform's store.
type roster struct {
	// region is reported as the data centre of all endpoints, since all instances of the
	// region form one group that shares them.
	region string
	// changed is called after each change, with the lock released.
	changed func()

	mu        sync.Mutex
	instances map[string]marigoldcroft.ListedInstance
	endpoints []marigoldcroft.ListedEndpoint
}

var _ marigoldcroft.InstanceList = (*roster)(nil)

// Instances returns the recorded instances and the current endpoints.
func (r *roster) Instances(context.Context) (marigoldcroft.InstanceListing, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listing := marigoldcroft.InstanceListing{Endpoints: r.endpoints}
	for _, i := range r.instances {
		listing.Instances = append(listing.Instances, i)
	}
	return listing, nil
}

func (r *roster) apply(change mcfollow.Change[marigoldcroft.ListedInstance]) {
	if len(change.Records) > 0 {
		defer r.changed()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.Snapshot || r.instances == nil {
		r.instances = make(map[string]marigoldcroft.ListedInstance)
	}
	for _, record := range change.Records {
		if record.Deleted || record.Value == nil {
			delete(r.instances, record.Name)
		} else {
			r.instances[record.Name] = *record.Value
		}
	}
}

func (r *roster) setEndpoints(endpoints []marigoldcroft.Endpoint) {
	listed := make([]marigoldcroft.ListedEndpoint, 0, len(endpoints))
	for _, e := range endpoints {
		listed = append(listed, marigoldcroft.ListedEndpoint{
			Name: e.Name(), Kind: e.Kind(), Address: e.Address(), DataCentre: r.region, Pool: e.Pool(),
			// The peers follow the evacuations themselves.
			Leaving: e.Leaving() && !e.Evacuated(),
		})
	}
	defer r.changed()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = listed
}

// instanceNames returns the sorted names of the instances that have records.
func (r *roster) instanceNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.instances))
}

// applyInstances passes the records of the instances to the membership. If the record of this
// instance has disappeared, it is written again.
func (e *Forwarding) applyInstances(change mcfollow.Change[marigoldcroft.ListedInstance]) {
	before := e.roster.has(e.Settings.Instance)
	e.roster.apply(change)
	e.signalFirstRecords()
	if !before || e.roster.has(e.Settings.Instance) {
		return
	}
	select {
	case e.recordMissing <- struct{}{}:
	default:
	}
}

// has reports whether the instance has a record.
func (r *roster) has(instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, recorded := r.instances[instance]
	return recorded
}

// lists reports whether the record of the instance is equal to the given one.
func (r *roster) lists(listed marigoldcroft.ListedInstance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances[listed.Name] == listed
}

// someAddresses returns the addresses of up to n recorded instances other than the given one, drawn at
// random.
func (r *roster) someAddresses(except string, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for name, i := range r.instances {
		if name != except {
			addresses = append(addresses, i.PeerAddress)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// isListed reports whether the records have been read.
func (r *roster) isListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances != nil
}

// maintainRecords keeps the instances' records up to date. Each instance rewrites its own
// record when it is missing. The live member with the smallest name removes the records
// of instances that have been gone for recordRetention.
func (e *Forwarding) maintainRecords(ctx context.Context) {
	ticker := time.NewTicker(recordCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.recordMissing:
			// All instances may miss their records at once, after a restore of the store.
			mcclock.Sleep(ctx, rand.N(announceInterval))
		}
		recorded := e.roster.instanceNames()
		if e.roster.isListed() && !e.roster.has(e.Settings.Instance) {
			e.announce(ctx)
		}
		for _, name := range e.expiredRecords(recorded) {
			err := e.store.Withdraw(ctx, name)
			e.logger.Info().Str("peer", name).AnErr("error", err).Msg("recordRemoved")
		}
	}
}

// expiredRecords returns the recorded instances that have been gone for longer than
// recordRetention. It returns none unless this instance is the live member with the
// smallest name.
func (e *Forwarding) expiredRecords(recorded []string) []string {
	ages := make(map[string]time.Duration)
	for _, view := range e.member.Members() {
		live := view.Instance == e.Settings.Instance || view.State != mcmessage.MemberState_MEMBER_STATE_GONE
		if live && view.Instance < e.Settings.Instance {
			return nil
		}
		if !live {
			ages[view.Instance] = view.Age
		}
	}
	var gone []string
	for _, name := range recorded {
		if age, known := ages[name]; known && age > recordRetention {
			gone = append(gone, name)
		}
	}
	return gone
}

// watchPeers passes membership events on to the scheduler, the quarantine and the limits of
// endpoints.
func (e *Forwarding) watchPeers(ctx context.Context) {
	events := e.member.Subscribe(eventBacklog)
	// Peers may have sent entries before.
	e.forwarder.MergeSuspects(e.member.QuarantineEntries())
	e.mergeLimits()
	e.mergeEvacuations()
	e.fetcher.Want(int64(e.member.NewestRevision()))
	reported := make(peerWork)
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-events.Items():
			e.peerEvent(event, reported)
		}
	}
}

func (e *Forwarding) peerEvent(event mcmember.Event, reported peerWork) {
	switch event.Kind {
	case mcmember.EventInFlight:
		reported.replace(e.scheduler, event.Name, event.InFlight)
	case mcmember.EventMember:
		for _, view := range e.member.Members() {
			if view.Instance == event.Name && view.State == mcmessage.MemberState_MEMBER_STATE_GONE {
				reported.replace(e.scheduler, event.Name, nil)
			}
		}
		e.scheduler.SetMembers(time.Now(), e.Settings.Instance, e.member.Candidates())
	case mcmember.EventConfig:
		e.fetcher.Want(int64(event.Revision))
	case mcmember.EventLimit:
		e.mergeLimits()
	case mcmember.EventEvacuation:
		e.mergeEvacuations()
	case mcmember.EventQuarantine:
		e.forwarder.MergeSuspects(e.member.QuarantineEntries())
	case mcmember.EventDropped, mcmember.EventResumed:
		e.forwarder.MergeSuspects(e.member.QuarantineEntries())
		e.mergeLimits()
		e.mergeEvacuations()
		e.fetcher.Want(int64(e.member.NewestRevision()))
	case mcmember.EventSelfRemoved:
		// Peers take over no work from a forwarding instance, so it may continue to run.
		e.logger.Warn().Uint64("incarnation", event.Revision).Msg("runGivenUpByPeers")
	}
}
