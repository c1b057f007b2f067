package mcmember

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

const (
	measureSeed = 20260311
	// warmUpTime is the simulated time before a measurement starts, in which members find
	// each other and the exchange interval adapts.
	warmUpTime = 60 * time.Second
	// simulatedTeams is the number of active teams at each simulated member.
	simulatedTeams      = 20
	simulationStartUnix = 1_800_000_000
)

type (
	// MembershipCost holds the measured cost of membership for one member of a simulated data centre.
	MembershipCost struct {
		Members   int
		Endpoints int
		Seed      uint64
		// BytesPerSecond is the mean over members of the bytes of exchanges and probes, sent
		// and received together, with CallOverheadBytes for each call. MaxBytesPerSecond is that
		// of the member with the most traffic.
		BytesPerSecond    float64
		MaxBytesPerSecond float64
		CallsPerSecond    float64
		// CPUShare is the processor time of the process divided by the simulated time and the
		// number of members, as a share of one core. It includes encoding, but not gRPC and
		// the network calls of the operating system.
		CPUShare float64
		// Interval is the mean exchange interval at the end of the run.
		Interval time.Duration
		// LoadAge is the age of load reports, HeartbeatAge that of heartbeats and InFlightAge
		// that of in-flight records, each at a member that holds them.
		LoadAgeP50, LoadAgeP99           time.Duration
		HeartbeatAgeP50, HeartbeatAgeP99 time.Duration
		InFlightAgeP50, InFlightAgeP99   time.Duration
		// Suspicions and Removals count live members that were suspected or removed at a
		// sample: false positives of the failure detector.
		Suspicions, Removals int
		// InFlightUnknown is the share of ordered pairs of members in which the first has not yet
		// received the in-flight record of the second. Such pairs are not part of InFlightAge.
		InFlightUnknown float64
		LargestMessage  int
	}

	// DetectionTimes holds quantiles of the time from the death of a member to its removal by each
	// other member.
	DetectionTimes struct {
		Members, Lost, Trials int
		Seed                  uint64
		P50, P99, Max         time.Duration
		// Missed counts pairs of a live and a dead member in which the live one had not removed
		// the dead one after a minute.
		Missed int
	}

	// simulation runs tables in simulated time in one goroutine.
	simulation struct {
		now       time.Time
		random    *rand.Rand
		loss      float64
		nodes     []*simulatedMember
		endpoints []marigoldcroft.ListedEndpoint
		queue     eventQueue
		order     int
		largest   int
		// idle omits in-flight requests, usage and load reports, for runs that only measure
		// failure detection.
		idle bool
	}

	simulatedMember struct {
		table *Table
		name  string
		dead  bool
		bytes int
		calls int
	}

	scheduledEvent struct {
		at    time.Time
		order int
		run   func()
	}

	eventQueue []scheduledEvent
)

func (s eventQueue) Len() int { return len(s) }
func (s eventQueue) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].order < s[j].order
}
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push is part of heap.Interface.
func (s *eventQueue) Push(x any) { *s = append(*s, x.(scheduledEvent)) }

// Pop is part of heap.Interface.
func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// newSimulation starts the members of one data centre, each with the complete instance list.
func newSimulation(members, endpoints int, seed uint64, loss float64, idle bool) *simulation {
	s := &simulation{
		now: time.Unix(simulationStartUnix, 0), random: rand.New(rand.NewPCG(seed, 1)), loss: loss, idle: idle,
	}
	for i := range endpoints {
		s.endpoints = append(s.endpoints, marigoldcroft.ListedEndpoint{
			Name: fmt.Sprintf("caption-%03d", i), DataCentre: "lima-1", Address: "http://10.2.0." + strconv.Itoa(i) + ":8000",
			Kind: marigoldcroft.EndpointEngine, Pool: "caption",
		})
	}
	listing := marigoldcroft.InstanceListing{Endpoints: s.endpoints}
	for i := range members {
		name := fmt.Sprintf("entry-%03d", i)
		listing.Instances = append(listing.Instances, marigoldcroft.ListedInstance{
			Name: name, DataCentre: "lima-1", Region: "peru", PeerAddress: "10.1.0." + strconv.Itoa(i) + ":7000",
		})
	}
	for i, l := range listing.Instances {
		start := s.now.Add(time.Duration(s.random.Int64N(int64(MinInterval))))
		id := marigoldcroft.NewIdentity("copo", l.Region, l.DataCentre, l.Name, start, uint64(i))
		n := &simulatedMember{name: l.Name, table: NewTable(Self{Identity: id, PeerAddress: l.PeerAddress, AdminAddress: l.PeerAddress}, start, seed+uint64(i))}
		n.table.ApplyListing(start, listing)
		s.nodes = append(s.nodes, n)
		s.schedule(start, func() { s.runRound(n) })
		if !idle {
			s.schedule(start, func() { s.pollAll(n) })
		}
	}
	return s
}

func (s *simulation) schedule(t time.Time, run func()) {
	s.order++
	heap.Push(&s.queue, scheduledEvent{at: t, order: s.order, run: run})
}

// run advances simulated time by d.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(scheduledEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// runRound runs one exchange interval of a member and schedules the next.
func (s *simulation) runRound(n *simulatedMember) {
	if n.dead {
		return
	}
	probes := n.table.Tick(s.now)
	if !s.idle {
		n.table.SetInFlight(s.now, s.inFlight())
		n.table.SetUsage(s.now, s.teamUsage())
	}
	for _, p := range probes {
		s.probe(n, p)
	}
	interval := n.table.Interval()
	for i, peer := range n.table.Peers() {
		s.schedule(s.now.Add(interval*time.Duration(i)/Fanout), func() { s.exchange(n, peer) })
	}
	jitter := time.Duration((s.random.Float64() - 0.5) * 0.1 * float64(interval))
	s.schedule(s.now.Add(interval+jitter), func() { s.runRound(n) })
}

// inFlight returns random in-flight requests on all endpoints. They all change in each
// round, which is the worst case.
func (s *simulation) inFlight() map[string]marigoldcroft.InFlight {
	work := make(map[string]marigoldcroft.InFlight, len(s.endpoints))
	for _, e := range s.endpoints {
		work[e.Name] = marigoldcroft.InFlight{
			Short: s.random.IntN(4), Long: s.random.IntN(2),
			PrefillTokens: s.random.Int64N(200_000), KVTokens: s.random.Int64N(400_000),
		}
	}
	return work
}

func (s *simulation) teamUsage() []TeamUsage {
	uses := make([]TeamUsage, simulatedTeams)
	for i := range uses {
		uses[i] = TeamUsage{
			Team: "team-" + strconv.Itoa(i), TokensPerSecond: s.random.Float64() * 1000,
			Concurrency: s.random.IntN(20), Share: s.random.Float64(),
		}
	}
	return uses
}

// pollAll polls the endpoints that are assigned to the member, each at a random time within
// half of PollInterval.
func (s *simulation) pollAll(n *simulatedMember) {
	if n.dead {
		return
	}
	for _, e := range n.table.AssignedPolls(s.now) {
		asked := s.now.Add(time.Duration(s.random.Int64N(int64(PollInterval / 2))))
		s.schedule(asked, func() {
			_ = n.table.ObservePoll(s.now, s.now, marigoldcroft.LoadReport{
				Endpoint: e.Name(), Incarnation: 7, Time: s.now, Running: s.random.IntN(60), Waiting: s.random.IntN(9),
				PrefillTokens: s.random.Int64N(900_000), KVUsedTokens: s.random.Int64N(1_500_000), KVCapacityTokens: 2_000_000,
			})
		})
	}
	s.schedule(s.now.Add(PollInterval), func() { s.pollAll(n) })
}

func (s *simulation) find(name string) *simulatedMember {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// transmit encodes and decodes a message and adds its size to the traffic of both members.
func (s *simulation) transmit(from, to *simulatedMember, message, decoded proto.Message) {
	encoded, err := proto.Marshal(message)
	if err == nil {
		err = proto.Unmarshal(encoded, decoded)
	}
	if err != nil {
		panic(fmt.Sprintf("cannot encode and decode a simulated message: %v", err))
	}
	s.largest = max(s.largest, len(encoded))
	size := len(encoded) + CallOverheadBytes/2
	from.bytes += size
	to.bytes += size
}

func (s *simulation) exchange(n *simulatedMember, peer Contact) bool {
	target := s.find(peer.Instance)
	if n.dead || target == nil {
		return false
	}
	for _, keys := range []bool{false, true} {
		sent := n.table.Request(s.now, keys)
		n.calls++
		if target.dead || s.random.Float64() < s.loss {
			n.bytes += proto.Size(sent.Request) + CallOverheadBytes/2
			return false
		}
		request, answer := &mcmessage.ExchangeRequest{}, &mcmessage.ExchangeResponse{}
		s.transmit(n, target, sent.Request, request)
		served := target.table.Serve(s.now, request)
		s.transmit(target, n, served, answer)
		if s.random.Float64() < s.loss {
			return false
		}
		if !n.table.Finish(s.now, sent, answer) {
			break
		}
	}
	return true
}

func (s *simulation) probe(n *simulatedMember, p Probe) {
	s.exchange(n, p.Target)
	for _, through := range p.Through {
		via := s.find(through.Instance)
		if via == nil || via.dead || s.random.Float64() < s.loss {
			continue
		}
		request := &mcmessage.ProbeRequest{Sender: n.table.sender(), TargetInstance: p.Target.Instance, TargetAddress: p.Target.Address}
		s.transmit(n, via, request, &mcmessage.ProbeRequest{})
		answer := &mcmessage.ProbeResponse{Sender: via.table.sender(), Reached: s.exchange(via, p.Target)}
		if held := via.table.members[p.Target.Instance]; answer.Reached && held != nil {
			answer.Target = via.table.memberOnWire(held)
		}
		s.transmit(via, n, answer, &mcmessage.ProbeResponse{})
		if answer.Target != nil {
			n.table.applyMember(s.now, answer.Target, false)
		}
	}
}

// MeasureCost simulates a data centre for the given duration of simulated time, with all
// in-flight requests and load reports changing each interval, and returns the cost per member.
func MeasureCost(members, endpoints int, duration time.Duration) MembershipCost {
	s := newSimulation(members, endpoints, measureSeed, 0, false)
	s.run(warmUpTime)
	c := MembershipCost{Members: members, Endpoints: endpoints, Seed: measureSeed}
	for _, n := range s.nodes {
		n.bytes, n.calls = 0, 0
		n.table.TakeEvents()
	}
	before := cpuTime()
	var loads, heartbeats, works ages
	const samples = 20
	for range samples {
		s.run(duration / samples)
		for _, n := range s.nodes {
			c.countFalsePositives(n)
			c.InFlightUnknown += s.sample(n, &loads, &heartbeats, &works) / float64(members*(members-1)*samples)
		}
	}
	used := cpuTime() - before
	seconds := duration.Seconds()
	for _, n := range s.nodes {
		rate := float64(n.bytes) / seconds
		c.BytesPerSecond += rate / float64(members)
		c.MaxBytesPerSecond = max(c.MaxBytesPerSecond, rate)
		c.CallsPerSecond += float64(n.calls) / seconds / float64(members)
		c.Interval += n.table.Interval() / time.Duration(members)
	}
	c.CPUShare = used.Seconds() / seconds / float64(members)
	c.LoadAgeP50, c.LoadAgeP99 = loads.quantile(0.5), loads.quantile(0.99)
	c.HeartbeatAgeP50, c.HeartbeatAgeP99 = heartbeats.quantile(0.5), heartbeats.quantile(0.99)
	c.InFlightAgeP50, c.InFlightAgeP99 = works.quantile(0.5), works.quantile(0.99)
	c.LargestMessage = s.largest
	return c
}

// countFalsePositives counts members that n suspects or has removed. All members are alive,
// so each is a false positive.
func (c *MembershipCost) countFalsePositives(n *simulatedMember) {
	for _, m := range n.table.members {
		switch m.state() {
		case mcmessage.MemberState_MEMBER_STATE_SUSPECT:
			c.Suspicions++
		case mcmessage.MemberState_MEMBER_STATE_GONE:
			c.Removals++
		}
	}
}

// sample adds the ages of the data that n holds and returns the number of members whose
// in-flight record it does not have. The age of such a record is counted from its version.
func (s *simulation) sample(n *simulatedMember, loads, heartbeats, works *ages) float64 {
	unknown := 0.0
	for _, e := range n.table.endpoints {
		*loads = append(*loads, s.now.Sub(e.newestLoad.requestedAt))
	}
	for _, m := range n.table.members {
		if m == n.table.own {
			continue
		}
		*heartbeats = append(*heartbeats, s.now.Sub(versionTime(m.sequence)))
		if m.inFlight.version == 0 {
			unknown++
			continue
		}
		*works = append(*works, s.now.Sub(versionTime(m.inFlight.version)))
	}
	return unknown
}

// ages is a list of durations.
type ages []time.Duration

func (a ages) quantile(q float64) time.Duration {
	if len(a) == 0 {
		return 0
	}
	sort.Slice(a, func(i, j int) bool { return a[i] < a[j] })
	return a[int(q*float64(len(a)-1))]
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// MeasureDetection stops lost members at the same time in each trial and returns the times
// until the others have removed them. lossRate is the share of messages that are lost. With idle
// false, exchanges carry the same changes as in MeasureCost.
func MeasureDetection(members, endpoints, lost, trials int, lossRate float64, idle bool) DetectionTimes {
	const (
		step  = 100 * time.Millisecond
		limit = time.Minute
	)
	d := DetectionTimes{Members: members, Lost: lost, Trials: trials, Seed: measureSeed}
	var removalTimes ages
	for trial := range trials {
		s := newSimulation(members, endpoints, measureSeed+uint64(trial)*1000, lossRate, idle)
		s.run(warmUpTime + time.Duration(s.random.Int64N(int64(MaxInterval))))
		died := s.now
		for _, n := range s.nodes[:lost] {
			n.dead = true
		}
		seen := make(map[[2]string]bool)
		for s.now.Sub(died) < limit && len(seen) < lost*(members-lost) {
			s.run(step)
			for _, n := range s.nodes[lost:] {
				for _, dead := range s.nodes[:lost] {
					pair := [2]string{n.name, dead.name}
					if m := n.table.members[dead.name]; !seen[pair] && m != nil && m.isGone() {
						seen[pair] = true
						removalTimes = append(removalTimes, s.now.Sub(died))
					}
				}
			}
		}
		d.Missed += lost*(members-lost) - len(seen)
	}
	d.P50, d.P99, d.Max = removalTimes.quantile(0.5), removalTimes.quantile(0.99), removalTimes.quantile(1)
	return d
}

// MeasureKeyMoves returns the share of keys whose home changes when the given number of members
// is lost, and the share of keys that move between two remaining members, which has to be 0.
func MeasureKeyMoves(members, lost, keys int) (moved, unnecessary float64) {
	names := make([]string, members)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%03d", i)
	}
	dead := make(map[string]bool, lost)
	for _, name := range names[:lost] {
		dead[name] = true
	}
	for i := range keys {
		key := "ledger/" + strconv.Itoa(i)
		before, after := Home(key, names), Home(key, names[lost:])
		if before != after {
			moved++
			if !dead[before] {
				unnecessary++
			}
		}
	}
	return moved / float64(keys), unnecessary / float64(keys)
}
