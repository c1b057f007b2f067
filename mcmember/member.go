package mcmember

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcrecover"
	"marigoldcroft/mcring"
)

const (
	// CallTimeout is the deadline of each call to a peer.
	CallTimeout = time.Second
	// listInterval is the time between two reads of the instance list.
	listInterval = 5 * time.Second
	listTimeout  = 2 * time.Second
	// urgentSpacing is the minimum time between two pushes of urgent changes.
	urgentSpacing = 200 * time.Millisecond
	// relaySpacing is the minimum time between two relay rounds. It is longer than
	// urgentSpacing because relay calls cross data centres.
	relaySpacing = time.Second
	// inFlightPushFanout limits the members that one PushInFlight calls; the others get the
	// in-flight record by the regular exchanges.
	inFlightPushFanout = 12
	// inFlightPushSpacing is the minimum time between two pushes of the in-flight record.
	inFlightPushSpacing = 80 * time.Millisecond
	// MaxCopies limits the number of CopyState entries in an answer, one for each kind of
	// platform record of which members compare their copies.
	MaxCopies = 8
	// maxCalls limits the concurrent calls from one member to its peers.
	maxCalls = 64
	// rateWindow is the time constant of the moving average of the traffic rate.
	rateWindow = 10 * time.Second
)

type (
	// Transport sends requests to peers. Each call returns when its context ends.
	Transport interface {
		Exchange(ctx context.Context, to Contact, request *mcmessage.ExchangeRequest) (*mcmessage.ExchangeResponse, error)
		Probe(ctx context.Context, to Contact, request *mcmessage.ProbeRequest) (*mcmessage.ProbeResponse, error)
		Relay(ctx context.Context, to Contact, request *mcmessage.RelayRequest) (*mcmessage.RelayResponse, error)
	}

	// Loader fetches the load report of an endpoint.
	Loader interface {
		Load(ctx context.Context, endpoint marigoldcroft.Endpoint) (marigoldcroft.LoadReport, error)
	}

	// Meter counts the traffic with peers. Its methods must not block.
	Meter interface {
		// Message counts one call of the kind exchange, probe or relay. Sizes include
		// CallOverheadBytes. receivedBytes is 0 if the call failed.
		Message(kind string, sentBytes, receivedBytes int)
	}

	// Traffic is the traffic between a member and its peers.
	Traffic struct {
		Messages       uint64
		SentBytes      uint64
		ReceivedBytes  uint64
		BytesPerSecond float64
		// Budget is the limit in bytes/s that BytesPerSecond is kept to on average.
		Budget   int
		Interval time.Duration
	}

	// Member runs a Table: it exchanges its content with peers, reads the instance list,
	// polls endpoints and, if it is a relay, calls the relays of other data centres. Set the
	// exported fields before Run. Member implements mcmessage.MemberServiceServer. Its
	// methods are safe for concurrent use.
	Member struct {
		mcmessage.UnimplementedMemberServiceServer

		Self      Self
		Transport Transport
		// List provides the first contacts. If it is nil, peers have to call this member first.
		List marigoldcroft.InstanceList
		// Loader polls endpoints. If it is nil, this member does not poll.
		Loader Loader
		Logger zerolog.Logger
		// Meter may be nil.
		Meter Meter
		// Budget limits the bytes/s of all calls from and to peers, sent and received
		// together; 0 means DefaultBytesPerSecond.
		Budget int
		// MinExchangeInterval is the shortest exchange interval; 0 means MinInterval.
		MinExchangeInterval time.Duration
		// MaxInFlightEndpoints limits the endpoints in this member's in-flight record; 0 means 16. For
		// an endpoint that is left out, peers assume that this member has nothing in flight.
		MaxInFlightEndpoints int
		// Seed seeds the random number generator, so that runs can be repeated.
		Seed uint64
		// InFlight and Usage are called once per exchange interval; either may be nil.
		InFlight func() map[string]marigoldcroft.InFlight
		Usage    func() []TeamUsage
		// CopyStates returns how current the local copies of the platform's records are, and
		// ReceiveCopyStates receives the same from a peer. requestedAt is the time since boot at
		// which the request was sent; ages in the answer are counted from it, so that they are
		// never underestimated. Either may be nil.
		CopyStates        func() []*mcmessage.CopyState
		ReceiveCopyStates func(peer Contact, requestedAt time.Duration, copies []*mcmessage.CopyState)

		once            sync.Once
		mu              sync.Mutex
		table           *Table
		subscribers     []*mcring.Ring[Event]
		runningPolls    map[string]bool
		pendingConfirms map[string]chan struct{}
		traffic         Traffic
		// nonExchangeRate is the part of BytesPerSecond that probes and relays use.
		nonExchangeRate float64
		ratesDecayedAt  time.Time
		random          *rand.Rand

		urgentSignal   chan struct{}
		relaySignal    chan struct{}
		listSignal     chan struct{}
		inFlightSignal chan struct{}
		callSlots      chan struct{}
		// skippedCalls counts the calls that were skipped since the last call was started.
		skippedCalls atomic.Int64
		running      sync.WaitGroup
	}
)

// withTable runs f on the table under the lock, then delivers the table's events and signals
// urgent changes.
func (m *Member) withTable(f func(t *Table, now time.Time)) {
	m.once.Do(m.create)
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.table, time.Now())
	if m.table.TakeUrgent() {
		signal(m.urgentSignal)
		signal(m.relaySignal)
	}
	for _, e := range m.table.TakeEvents() {
		m.deliver(e)
	}
}

func (m *Member) create() {
	now := time.Now()
	m.table = NewTable(m.Self, now, m.Seed)
	if m.Budget == 0 {
		m.Budget = DefaultBytesPerSecond
	}
	m.table.SetBudget(m.Budget)
	if m.MinExchangeInterval > 0 {
		m.table.SetMinExchangeInterval(m.MinExchangeInterval)
	}
	if m.MaxInFlightEndpoints > 0 {
		m.table.SetMaxInFlightEndpoints(m.MaxInFlightEndpoints)
	}
	m.runningPolls = make(map[string]bool)
	m.pendingConfirms = make(map[string]chan struct{})
	m.ratesDecayedAt = now
	m.random = rand.New(rand.NewPCG(m.Seed, m.Self.Identity.Incarnation()+1))
	m.urgentSignal = make(chan struct{}, 1)
	m.relaySignal = make(chan struct{}, 1)
	m.listSignal = make(chan struct{}, 1)
	m.inFlightSignal = make(chan struct{}, 1)
	m.callSlots = make(chan struct{}, maxCalls)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// deliver logs the event and sends it to all subscribers. A slow subscriber loses its
// oldest events and gets an EventDropped. The caller must hold mu.
func (m *Member) deliver(e Event) {
	switch e.Kind {
	case EventLoad, EventInFlight:
	case EventResumed:
		m.Logger.Warn().Dur("gap", e.Gap).Msg("memberResumed")
	case EventSelfRemoved:
		m.Logger.Warn().Uint64("incarnation", e.Revision).Msg("memberRemovedByPeers")
	default:
		m.Logger.Debug().Str("kind", string(e.Kind)).Str("name", e.Name).Msg("memberChange")
	}
	for _, ring := range m.subscribers {
		if ring.PutDroppingOldest(e) > 0 {
			ring.PutDroppingOldest(Event{Kind: EventDropped})
		}
	}
}

// Subscribe returns a ring buffer that receives all further events.
func (m *Member) Subscribe(capacity int) *mcring.Ring[Event] {
	ring := mcring.New[Event](max(capacity, 2))
	m.withTable(func(*Table, time.Time) { m.subscribers = append(m.subscribers, ring) })
	return ring
}

// Run runs the loops of the member until ctx ends, and then announces to Fanout members that
// this one has left.
func (m *Member) Run(ctx context.Context) error {
	m.once.Do(m.create)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.exchangeLoop(ctx) })
	g.Go(func() error { return m.relayLoop(ctx) })
	g.Go(func() error { return m.inFlightPushLoop(ctx) })
	if m.List != nil {
		g.Go(func() error { return m.listLoop(ctx) })
	}
	if m.Loader != nil {
		g.Go(func() error { return m.pollLoop(ctx) })
	}
	err := g.Wait()
	m.running.Wait()
	m.leave(context.WithoutCancel(ctx))
	return err
}

// leave sends the state gone to Fanout members, which spread it to the others.
func (m *Member) leave(ctx context.Context) {
	var peers []Contact
	m.withTable(func(t *Table, now time.Time) {
		t.SetState(now, mcmessage.MemberState_MEMBER_STATE_GONE)
		peers = t.Peers()
	})
	for _, peer := range peers {
		m.running.Go(func() { m.exchange(ctx, peer) })
	}
	m.running.Wait()
}

// exchangeLoop starts Fanout exchanges per interval, evenly spaced, and the probes that failure
// detection asks for.
func (m *Member) exchangeLoop(ctx context.Context) error {
	var lastUrgent time.Time
	for ctx.Err() == nil {
		interval, peers, probes := m.tick()
		for _, p := range probes {
			m.spawn(ctx, func() { m.probe(ctx, p) })
		}
		for i := range Fanout {
			if i < len(peers) {
				m.spawn(ctx, func() { m.exchange(ctx, peers[i]) })
			}
			m.waitAndPushUrgent(ctx, interval/Fanout, &lastUrgent)
		}
	}
	return nil
}

// waitAndPushUrgent waits for d with a jitter of 10% either way. Urgent changes that arrive
// meanwhile are pushed to Fanout members at once, but at most once per urgentSpacing.
func (m *Member) waitAndPushUrgent(ctx context.Context, d time.Duration, lastUrgent *time.Time) {
	timer := time.NewTimer(m.jitter(d))
	defer timer.Stop()
	urgent := m.urgentSignal
	var gate <-chan time.Time
	if wait := urgentSpacing - time.Since(*lastUrgent); wait > 0 {
		urgent = nil
		gate = time.After(wait)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-gate:
			urgent, gate = m.urgentSignal, nil
		case <-urgent:
			*lastUrgent = time.Now()
			urgent, gate = nil, time.After(urgentSpacing)
			m.pushAll(ctx)
		}
	}
}

func (m *Member) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d + time.Duration((m.random.Float64()-0.5)*0.2*float64(d))
}

func (m *Member) pushAll(ctx context.Context) {
	var peers []Contact
	m.withTable(func(t *Table, _ time.Time) { peers = t.UrgentPeers() })
	for _, peer := range peers {
		m.spawn(ctx, func() { m.exchange(ctx, peer) })
	}
}

// inFlightPushLoop pushes the in-flight record of this member after each PushInFlight.
func (m *Member) inFlightPushLoop(ctx context.Context) error {
	var pushedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.inFlightSignal:
		}
		// Work that changes all the time is pushed to the own subset, whose members use the same
		// endpoints; other changes reach all members sooner if some of them get each one.
		busy := time.Since(pushedAt) < 2*inFlightPushSpacing
		pushedAt = time.Now()
		var peers []Contact
		inFlight := m.InFlight()
		m.withTable(func(t *Table, now time.Time) {
			t.SetInFlight(now, inFlight)
			if peers = t.shuffledLive(); busy {
				peers = t.shuffledSubset()
			}
			peers = peers[:min(len(peers), inFlightPushFanout)]
			t.pendingPushes.inFlight = max(t.pendingPushes.inFlight, len(peers))
		})
		for _, peer := range peers {
			m.spawn(ctx, func() { m.exchange(ctx, peer) })
		}
		timer := time.NewTimer(inFlightPushSpacing)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// spawn runs f in a new goroutine, or skips it if maxCalls are running. Of a series of
// skipped calls only the first and the end are logged.
func (m *Member) spawn(ctx context.Context, f func()) {
	select {
	case m.callSlots <- struct{}{}:
	default:
		if m.skippedCalls.Add(1) == 1 {
			m.Logger.Warn().Int("limit", maxCalls).Msg("memberCallsSkipped")
		}
		return
	}
	if n := m.skippedCalls.Swap(0); n > 0 {
		m.Logger.Info().Int64("skipped", n).Msg("memberCallsResumed")
	}
	if ctx.Err() != nil {
		<-m.callSlots
		return
	}
	m.running.Go(func() {
		defer func() { <-m.callSlots }()
		// The error is logged by Call; the next exchange makes up for this one.
		_ = mcrecover.Call(m.Logger, "call of a peer", func() error {
			f()
			return nil
		})
	})
}

func (m *Member) tick() (interval time.Duration, peers []Contact, probes []Probe) {
	var inFlight map[string]marigoldcroft.InFlight
	var usage []TeamUsage
	if m.InFlight != nil {
		inFlight = m.InFlight()
	}
	if m.Usage != nil {
		usage = m.Usage()
	}
	m.withTable(func(t *Table, now time.Time) {
		// Relays and probes share the budget with exchanges, which keep at least half of it.
		m.decayRates(now)
		t.SetBudget(m.Budget - min(int(m.nonExchangeRate), m.Budget/2))
		probes = t.Tick(now)
		if m.InFlight != nil {
			t.SetInFlight(now, inFlight)
		}
		t.SetUsage(now, usage)
		interval, peers = t.Interval(), t.Peers()
	})
	return interval, peers, probes
}

// exchange runs one push-pull exchange with the peer. If the rosters differ, it repeats the
// request with the keys of the vector. It returns false if the peer did not answer.
func (m *Member) exchange(ctx context.Context, peer Contact) bool {
	for _, keys := range []bool{false, true} {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		var sent PendingExchange
		m.withTable(func(t *Table, now time.Time) { sent = t.Request(now, keys) })
		requestedAt := mcclock.Now()
		answer, err := m.Transport.Exchange(ctx, peer, sent.Request)
		if err != nil {
			m.countCall("exchange", proto.Size(sent.Request), 0)
			m.Logger.Debug().Str("peer", peer.Instance).Err(err).Msg("exchangeFailed")
			return false
		}
		m.countCall("exchange", proto.Size(sent.Request), proto.Size(answer))
		repeat := false
		m.withTable(func(t *Table, now time.Time) { repeat = t.Finish(now, sent, answer) })
		if m.ReceiveCopyStates != nil && len(answer.GetCopies()) > 0 {
			m.ReceiveCopyStates(peer, requestedAt, answer.GetCopies())
		}
		if !repeat {
			break
		}
	}
	return true
}

// probe contacts a suspected member directly and through other members.
func (m *Member) probe(ctx context.Context, p Probe) {
	m.spawn(ctx, func() { m.exchange(ctx, p.Target) })
	for _, through := range p.Through {
		m.spawn(ctx, func() { m.probeThrough(ctx, p.Target, through) })
	}
}

func (m *Member) probeThrough(ctx context.Context, target, through Contact) {
	// The intermediate member makes a call with a deadline of CallTimeout within this one.
	ctx, cancel := context.WithTimeout(ctx, 2*CallTimeout)
	defer cancel()
	request := &mcmessage.ProbeRequest{TargetInstance: target.Instance, TargetAddress: target.Address}
	m.withTable(func(t *Table, _ time.Time) { request.Sender = t.sender() })
	answer, err := m.Transport.Probe(ctx, through, request)
	if err != nil {
		m.countCall("probe", proto.Size(request), 0)
		return
	}
	m.countCall("probe", proto.Size(request), proto.Size(answer))
	if answer.GetReached() && answer.GetTarget() != nil {
		m.withTable(func(t *Table, now time.Time) { t.applyMember(now, answer.GetTarget(), false) })
	}
}

// Exchange serves the exchange request of a peer.
func (m *Member) Exchange(_ context.Context, request *mcmessage.ExchangeRequest) (*mcmessage.ExchangeResponse, error) {
	var answer *mcmessage.ExchangeResponse
	var copies []*mcmessage.CopyState
	if m.CopyStates != nil {
		copies = m.CopyStates()
	}
	m.withTable(func(t *Table, now time.Time) { answer = t.Serve(now, request, copies...) })
	m.countCall("exchange", proto.Size(answer), proto.Size(request))
	return answer, nil
}

// Probe contacts the target of the request, if this member knows it, and returns the
// target's record if it answered.
func (m *Member) Probe(ctx context.Context, request *mcmessage.ProbeRequest) (*mcmessage.ProbeResponse, error) {
	answer := &mcmessage.ProbeResponse{}
	var target Contact
	known := false
	m.withTable(func(t *Table, _ time.Time) { target, known = t.contact(request.GetTargetInstance()) })
	answer.Reached = known && m.exchange(ctx, target)
	m.withTable(func(t *Table, _ time.Time) {
		answer.Sender = t.sender()
		if held := t.members[target.Instance]; answer.Reached && held != nil {
			answer.Target = t.memberOnWire(held)
		}
	})
	m.countCall("probe", proto.Size(answer), proto.Size(request))
	return answer, nil
}

// Relay serves the request of a relay of another data centre.
func (m *Member) Relay(_ context.Context, request *mcmessage.RelayRequest) (*mcmessage.RelayResponse, error) {
	var answer *mcmessage.RelayResponse
	m.withTable(func(t *Table, now time.Time) { answer = t.ServeRelay(now, request) })
	m.countCall("relay", proto.Size(answer), proto.Size(request))
	return answer, nil
}

// relayLoop calls the relays of other data centres while this member is a relay: every
// RelayInterval, and earlier after an urgent change.
func (m *Member) relayLoop(ctx context.Context) error {
	for {
		timer := time.NewTimer(m.jitter(RelayInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-m.relaySignal:
			timer.Stop()
		}
		var targets []Contact
		m.withTable(func(t *Table, _ time.Time) {
			if t.IsRelay() {
				targets = t.RelayTargets()
			}
		})
		for _, target := range targets {
			m.spawn(ctx, func() { m.relay(ctx, target) })
		}
		timer.Reset(relaySpacing)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}

// relay exchanges summaries with the target until the target has no more records for this
// member, but at most maxRounds times.
func (m *Member) relay(ctx context.Context, target Contact) {
	const maxRounds = 8
	for range maxRounds {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		var request *mcmessage.RelayRequest
		m.withTable(func(t *Table, now time.Time) { request = t.RelayRequest(now, target) })
		answer, err := m.Transport.Relay(ctx, target, request)
		if err != nil {
			m.countCall("relay", proto.Size(request), 0)
			m.Logger.Debug().Str("peer", target.Instance).Err(err).Msg("relayFailed")
			return
		}
		m.countCall("relay", proto.Size(request), proto.Size(answer))
		more := false
		m.withTable(func(t *Table, now time.Time) { more = t.FinishRelay(now, target, answer) })
		if !more {
			return
		}
	}
}

func (m *Member) listLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		m.readList(ctx)
		timer := time.NewTimer(m.jitter(listInterval))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-m.listSignal:
		}
		timer.Stop()
	}
	return nil
}

func (m *Member) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := m.List.Instances(ctx)
	if err != nil {
		m.Logger.Debug().Err(err).Msg("instanceListFailed")
		return
	}
	m.withTable(func(t *Table, now time.Time) { t.ApplyListing(now, listing) })
}

// countCall adds a call to the traffic. Half of CallOverheadBytes counts as sent and half as
// received.
func (m *Member) countCall(kind string, sent, received int) {
	sent += CallOverheadBytes / 2
	if received > 0 {
		received += CallOverheadBytes / 2
	}
	m.mu.Lock()
	now := time.Now()
	m.decayRates(now)
	m.traffic.Messages++
	m.traffic.SentBytes += uint64(sent)
	m.traffic.ReceivedBytes += uint64(received)
	rate := float64(sent+received) / rateWindow.Seconds()
	m.traffic.BytesPerSecond += rate
	if kind != "exchange" {
		m.nonExchangeRate += rate
	}
	m.mu.Unlock()
	if m.Meter != nil {
		m.Meter.Message(kind, sent, received)
	}
}

// decayRates lowers the traffic rates by the fraction of rateWindow that has passed since it
// was last called. The caller must hold mu.
func (m *Member) decayRates(now time.Time) {
	elapsed := now.Sub(m.ratesDecayedAt)
	m.ratesDecayedAt = now
	remaining := max(0, 1-elapsed.Seconds()/rateWindow.Seconds())
	m.traffic.BytesPerSecond *= remaining
	m.nonExchangeRate *= remaining
}

// Traffic returns the traffic with peers since the start.
func (m *Member) Traffic() Traffic {
	m.once.Do(m.create)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decayRates(time.Now())
	traffic := m.traffic
	traffic.Budget, traffic.Interval = m.Budget, m.table.Interval()
	return traffic
}
