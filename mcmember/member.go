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
	"marigoldcroft/mcring"
)

const (
	// CallTimeout bounds each call of a peer.
	CallTimeout = time.Second
	// listInterval is the time between two reads of the instance list.
	listInterval = 5 * time.Second
	listTimeout  = 2 * time.Second
	// urgentSpacing bounds the rate of exchanges outside the interval.
	urgentSpacing = 200 * time.Millisecond
	// relaySpacing does the same for relays, whose calls cross data centres.
	relaySpacing = time.Second
	// workFanout bounds the members that PushWork tells at once; the others learn of it by
	// the exchange.
	workFanout = 12
	// workSpacing is the least time between two pushes of work.
	workSpacing = 80 * time.Millisecond
	// MaxCopies bounds the kinds of records whose copies members compare.
	MaxCopies = 8
	// maxCalls bounds the calls of peers in flight from one member.
	maxCalls = 64
	// rateWindow is the time constant of the measured traffic rate.
	rateWindow = 10 * time.Second
)

type (
	// Transport calls peers. Each call ends with its context.
	Transport interface {
		Exchange(ctx context.Context, to Contact, request *mcmessage.ExchangeRequest) (*mcmessage.ExchangeResponse, error)
		Probe(ctx context.Context, to Contact, request *mcmessage.ProbeRequest) (*mcmessage.ProbeResponse, error)
		Relay(ctx context.Context, to Contact, request *mcmessage.RelayRequest) (*mcmessage.RelayResponse, error)
	}

	// Loader asks an endpoint for its load.
	Loader interface {
		Load(ctx context.Context, endpoint marigoldcroft.Endpoint) (marigoldcroft.LoadReport, error)
	}

	// Meter is told of each message. It must not block.
	Meter interface {
		// Message counts one call of the kind exchange, probe or relay. Sizes include
		// MessageOverhead; failed calls received nothing.
		Message(kind string, sentBytes, receivedBytes int)
	}

	// Traffic is what a member has spent on peers.
	Traffic struct {
		Messages       uint64
		SentBytes      uint64
		ReceivedBytes  uint64
		BytesPerSecond float64
		// Budget is the bound that BytesPerSecond is held to on average.
		Budget   int
		Interval time.Duration
	}

	// Member drives a Table: it exchanges with peers, reads the instance list, polls
	// endpoints and relays. Set the exported fields before Run. It implements
	// mcmessage.MemberServiceServer. Methods are safe for use from many goroutines.
	Member struct {
		mcmessage.UnimplementedMemberServiceServer

		Self      Self
		Transport Transport
		// List seeds the membership; nil means that peers make the first contact.
		List marigoldcroft.InstanceList
		// Loader polls endpoints; nil means that this member does not poll.
		Loader Loader
		Logger zerolog.Logger
		// Meter may be nil.
		Meter Meter
		// Budget is the bound on bytes a second of all calls of peers, sent and received;
		// 0 means DefaultBudget.
		Budget int
		// LeastInterval replaces MinInterval; 0 means MinInterval.
		LeastInterval time.Duration
		// MostWork bounds the endpoints in the own in-flight record; 0 means 16. Peers take
		// endpoints that do not fit for idle.
		MostWork int
		// Seed makes random choices repeatable.
		Seed uint64
		// InFlight and Usage are asked once an interval; either may be nil.
		InFlight func() map[string]marigoldcroft.InFlight
		Usage    func() []TeamUsage
		// Copies returns how current the own copies of records are, and HeardCopies takes what
		// a peer said of its own; asked is the boot time from which its ages count, so that they
		// are never too young. Either may be nil.
		Copies      func() []*mcmessage.CopyState
		HeardCopies func(asked time.Duration, copies []*mcmessage.CopyState)

		once        sync.Once
		mu          sync.Mutex
		table       *Table
		subscribers []*mcring.Ring[Event]
		polling     map[string]bool
		confirming  map[string]chan struct{}
		traffic     Traffic
		// otherRate is the part of BytesPerSecond that is not for exchanges.
		otherRate  float64
		measuredAt time.Time
		random     *rand.Rand

		kick      chan struct{}
		relayKick chan struct{}
		relist    chan struct{}
		workKick  chan struct{}
		calls     chan struct{}
		// skipped counts the calls that were skipped since one was made.
		skipped atomic.Int64
		running sync.WaitGroup
	}
)

// do runs f with the table and passes on what changed.
func (m *Member) do(f func(t *Table, now time.Time)) {
	m.once.Do(m.create)
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.table, time.Now())
	if m.table.Urgent() {
		signal(m.kick)
		signal(m.relayKick)
	}
	for _, e := range m.table.Events() {
		m.deliver(e)
	}
}

func (m *Member) create() {
	now := time.Now()
	m.table = NewTable(m.Self, now, m.Seed)
	if m.Budget == 0 {
		m.Budget = DefaultBudget
	}
	m.table.SetBudget(m.Budget)
	if m.LeastInterval > 0 {
		m.table.SetLeastInterval(m.LeastInterval)
	}
	if m.MostWork > 0 {
		m.table.SetMostWork(m.MostWork)
	}
	m.polling = make(map[string]bool)
	m.confirming = make(map[string]chan struct{})
	m.measuredAt = now
	m.random = rand.New(rand.NewPCG(m.Seed, m.Self.Identity.Incarnation()+1))
	m.kick = make(chan struct{}, 1)
	m.relayKick = make(chan struct{}, 1)
	m.relist = make(chan struct{}, 1)
	m.workKick = make(chan struct{}, 1)
	m.calls = make(chan struct{}, maxCalls)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// deliver needs mu. A subscriber that is too slow loses its oldest events and is
// told so.
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
		if ring.PutNewest(e) > 0 {
			ring.PutNewest(Event{Kind: EventDropped})
		}
	}
}

// Subscribe returns a ring that receives all events from now on.
func (m *Member) Subscribe(capacity int) *mcring.Ring[Event] {
	ring := mcring.New[Event](max(capacity, 2))
	m.do(func(*Table, time.Time) { m.subscribers = append(m.subscribers, ring) })
	return ring
}

// Run exchanges with peers until ctx ends. It then tells some members that this one
// has left.
func (m *Member) Run(ctx context.Context) error {
	m.once.Do(m.create)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.exchangeLoop(ctx) })
	g.Go(func() error { return m.relayLoop(ctx) })
	g.Go(func() error { return m.workLoop(ctx) })
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

// leave pushes the state gone to Fanout members; the others learn of it from those.
func (m *Member) leave(ctx context.Context) {
	var peers []Contact
	m.do(func(t *Table, now time.Time) {
		t.SetState(now, mcmessage.MemberState_MEMBER_STATE_GONE)
		peers = t.Peers()
	})
	for _, peer := range peers {
		m.running.Go(func() { m.exchange(ctx, peer) })
	}
	m.running.Wait()
}

// exchangeLoop spreads the exchanges of one interval evenly over it.
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
			m.pause(ctx, interval/Fanout, &lastUrgent)
		}
	}
	return nil
}

// pause waits for d with a tenth of jitter. Urgent changes are pushed to Fanout
// members at once.
func (m *Member) pause(ctx context.Context, d time.Duration, lastUrgent *time.Time) {
	timer := time.NewTimer(m.jitter(d))
	defer timer.Stop()
	kick := m.kick
	var gate <-chan time.Time
	if wait := urgentSpacing - time.Since(*lastUrgent); wait > 0 {
		kick = nil
		gate = time.After(wait)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-gate:
			kick, gate = m.kick, nil
		case <-kick:
			*lastUrgent = time.Now()
			kick, gate = nil, time.After(urgentSpacing)
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
	m.do(func(t *Table, _ time.Time) { peers = t.UrgentPeers() })
	for _, peer := range peers {
		m.spawn(ctx, func() { m.exchange(ctx, peer) })
	}
}

// workLoop pushes the own work when PushWork asked for it.
func (m *Member) workLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.workKick:
		}
		var peers []Contact
		work := m.InFlight()
		m.do(func(t *Table, now time.Time) {
			t.SetInFlight(now, work)
			peers = t.shuffledLive()
			peers = peers[:min(len(peers), workFanout)]
			t.pushes.work = max(t.pushes.work, len(peers))
		})
		for _, peer := range peers {
			m.spawn(ctx, func() { m.exchange(ctx, peer) })
		}
		timer := time.NewTimer(workSpacing)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// spawn runs f on its own goroutine unless too many calls are in flight.
func (m *Member) spawn(ctx context.Context, f func()) {
	select {
	case m.calls <- struct{}{}:
	default:
		if m.skipped.Add(1) == 1 {
			m.Logger.Warn().Int("limit", maxCalls).Msg("memberCallsSkipped")
		}
		return
	}
	if n := m.skipped.Swap(0); n > 0 {
		m.Logger.Info().Int64("skipped", n).Msg("memberCallsResumed")
	}
	if ctx.Err() != nil {
		<-m.calls
		return
	}
	m.running.Go(func() {
		defer func() { <-m.calls }()
		f()
	})
}

func (m *Member) tick() (interval time.Duration, peers []Contact, probes []Probe) {
	var work map[string]marigoldcroft.InFlight
	var usage []TeamUsage
	if m.InFlight != nil {
		work = m.InFlight()
	}
	if m.Usage != nil {
		usage = m.Usage()
	}
	m.do(func(t *Table, now time.Time) {
		// Relays and probes use the same budget; exchanges keep at least half of it.
		m.decayRate(now)
		t.SetBudget(m.Budget - min(int(m.otherRate), m.Budget/2))
		probes = t.Tick(now)
		if m.InFlight != nil {
			t.SetInFlight(now, work)
		}
		t.SetUsage(now, usage)
		interval, peers = t.Interval(), t.Peers()
	})
	return interval, peers, probes
}

// exchange runs one push-pull round with the peer. It returns false when the peer
// could not be reached.
func (m *Member) exchange(ctx context.Context, peer Contact) bool {
	for _, keys := range []bool{false, true} {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		var sent Sent
		m.do(func(t *Table, now time.Time) { sent = t.Request(now, keys) })
		asked := mcclock.Now()
		answer, err := m.Transport.Exchange(ctx, peer, sent.Request)
		if err != nil {
			m.count("exchange", proto.Size(sent.Request), 0)
			m.Logger.Debug().Str("peer", peer.Instance).Err(err).Msg("exchangeFailed")
			return false
		}
		m.count("exchange", proto.Size(sent.Request), proto.Size(answer))
		again := false
		m.do(func(t *Table, now time.Time) { again = t.Finish(now, sent, answer) })
		if m.HeardCopies != nil && len(answer.GetCopies()) > 0 {
			m.HeardCopies(asked, answer.GetCopies())
		}
		if !again {
			break
		}
	}
	return true
}

// probe contacts a suspected member directly and through others.
func (m *Member) probe(ctx context.Context, p Probe) {
	m.spawn(ctx, func() { m.exchange(ctx, p.Target) })
	for _, through := range p.Through {
		m.spawn(ctx, func() { m.probeThrough(ctx, p.Target, through) })
	}
}

func (m *Member) probeThrough(ctx context.Context, target, through Contact) {
	// The other member needs a call of its own within this one.
	ctx, cancel := context.WithTimeout(ctx, 2*CallTimeout)
	defer cancel()
	request := &mcmessage.ProbeRequest{TargetInstance: target.Instance, TargetAddress: target.Address}
	m.do(func(t *Table, _ time.Time) { request.Sender = t.sender() })
	answer, err := m.Transport.Probe(ctx, through, request)
	if err != nil {
		m.count("probe", proto.Size(request), 0)
		return
	}
	m.count("probe", proto.Size(request), proto.Size(answer))
	if answer.GetReached() && answer.GetTarget() != nil {
		m.do(func(t *Table, now time.Time) { t.applyMember(now, answer.GetTarget(), false) })
	}
}

// Exchange serves one push-pull round.
func (m *Member) Exchange(_ context.Context, request *mcmessage.ExchangeRequest) (*mcmessage.ExchangeResponse, error) {
	var answer *mcmessage.ExchangeResponse
	var copies []*mcmessage.CopyState
	if m.Copies != nil {
		copies = m.Copies()
	}
	m.do(func(t *Table, now time.Time) { answer = t.Serve(now, request, copies...) })
	m.count("exchange", proto.Size(answer), proto.Size(request))
	return answer, nil
}

// Probe contacts the member that the request names, if it is known here.
func (m *Member) Probe(ctx context.Context, request *mcmessage.ProbeRequest) (*mcmessage.ProbeResponse, error) {
	answer := &mcmessage.ProbeResponse{}
	var target Contact
	known := false
	m.do(func(t *Table, _ time.Time) { target, known = t.contact(request.GetTargetInstance()) })
	answer.Reached = known && m.exchange(ctx, target)
	m.do(func(t *Table, _ time.Time) {
		answer.Sender = t.sender()
		if held := t.members[target.Instance]; answer.Reached && held != nil {
			answer.Target = t.memberOnWire(held)
		}
	})
	m.count("probe", proto.Size(answer), proto.Size(request))
	return answer, nil
}

// Relay serves a relay of another data centre.
func (m *Member) Relay(_ context.Context, request *mcmessage.RelayRequest) (*mcmessage.RelayResponse, error) {
	var answer *mcmessage.RelayResponse
	m.do(func(t *Table, now time.Time) { answer = t.ServeRelay(now, request) })
	m.count("relay", proto.Size(answer), proto.Size(request))
	return answer, nil
}

func (m *Member) relayLoop(ctx context.Context) error {
	for {
		timer := time.NewTimer(m.jitter(RelayInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-m.relayKick:
			timer.Stop()
		}
		var targets []Contact
		m.do(func(t *Table, _ time.Time) {
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

// relay exchanges summaries with the target until nothing more is waiting there.
func (m *Member) relay(ctx context.Context, target Contact) {
	const maxRounds = 8
	for range maxRounds {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		var request *mcmessage.RelayRequest
		m.do(func(t *Table, now time.Time) { request = t.RelayRequest(now, target) })
		answer, err := m.Transport.Relay(ctx, target, request)
		if err != nil {
			m.count("relay", proto.Size(request), 0)
			m.Logger.Debug().Str("peer", target.Instance).Err(err).Msg("relayFailed")
			return
		}
		m.count("relay", proto.Size(request), proto.Size(answer))
		more := false
		m.do(func(t *Table, now time.Time) { more = t.FinishRelay(now, target, answer) })
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
		case <-m.relist:
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
	m.do(func(t *Table, now time.Time) { t.ApplyListing(now, listing) })
}

// count adds a message to the traffic. Half of the overhead goes either way.
func (m *Member) count(kind string, sent, received int) {
	sent += MessageOverhead / 2
	if received > 0 {
		received += MessageOverhead / 2
	}
	m.mu.Lock()
	now := time.Now()
	m.decayRate(now)
	m.traffic.Messages++
	m.traffic.SentBytes += uint64(sent)
	m.traffic.ReceivedBytes += uint64(received)
	rate := float64(sent+received) / rateWindow.Seconds()
	m.traffic.BytesPerSecond += rate
	if kind != "exchange" {
		m.otherRate += rate
	}
	m.mu.Unlock()
	if m.Meter != nil {
		m.Meter.Message(kind, sent, received)
	}
}

// decayRate lets the rates fall towards zero; needs mu.
func (m *Member) decayRate(now time.Time) {
	passed := now.Sub(m.measuredAt)
	m.measuredAt = now
	left := max(0, 1-passed.Seconds()/rateWindow.Seconds())
	m.traffic.BytesPerSecond *= left
	m.otherRate *= left
}

// Traffic returns what was spent on peers so far.
func (m *Member) Traffic() Traffic {
	m.once.Do(m.create)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decayRate(time.Now())
	traffic := m.traffic
	traffic.Budget, traffic.Interval = m.Budget, m.table.Interval()
	return traffic
}
