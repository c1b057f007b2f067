package mcmeasure

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"marigoldcroft/mcentry"
	"marigoldcroft/mcjob"
	"marigoldcroft/mcledger"
)

// The design size of a deployment and its budgets, from docs/design.md. The control
// limits apply to one node; controlCoreLimit is a share of one core.
const (
	nodeCount                  = 330
	serverCount                = 600
	requestsPerSecond          = 3800.0
	tokensPerSecond            = 990_000.0
	teamCount                  = 40_000
	changesPerDay              = 1500.0
	restartsPerDay             = 53.0
	longPromptShare            = 1.0 / 50
	dataCentreCount            = 9
	instancesPerDataCentre     = 37
	endpointsPerDataCentre     = 67
	controlBytesPerSecondLimit = 14_000.0
	controlCoreLimit           = 0.031
	controlMemoryBytesLimit    = 64.0 * (1 << 20)
	propagationLimitSeconds    = 17.0
	decisionLimitMicroseconds  = 10.0
	storeWritesPerSecond       = 300.0
	storeReadsPerSecond        = 1500.0
	watchIntervalSeconds       = 5.0
	secondsPerDay              = 86_400.0
	mebibyte                   = 1 << 20
	// loadPollBytes is the size of one poll of a load report over HTTP: request and response
	// with their headers.
	loadPollBytes = 600.0
	// headBytes and pageBytes are the sizes of the stored configuration's head and largest
	// page at 40,000 teams (mcconfig). watchBytes is the size of a watch call that ends
	// without a change, with its headers.
	headBytes  = 17_800.0
	pageBytes  = 55_700.0
	watchBytes = 400.0
	// grpcCoreShare is the share of a core that the exchange takes for each member of a group
	// of 37, over real gRPC connections (docs/membership.md).
	grpcCoreShare = 0.005
)

// Capacity measures the cost of each part of the product and writes the text of
// docs/CAPACITY.md, which extrapolates these costs to the design size.
func Capacity(ctx context.Context, w io.Writer, _ Options) error {
	s, err := measureCosts(ctx)
	if err != nil {
		return err
	}
	p := &capacityPage{}
	p.intro()
	p.costs(&s)
	p.roles(&s)
	p.budgets(&s)
	p.storeCalls(&s)
	p.limits(&s)
	_, err = io.WriteString(w, p.String())
	return err
}

// capacityPage builds the text of docs/CAPACITY.md.
type capacityPage struct{ strings.Builder }

// printLine writes a formatted line.
func (p *capacityPage) printLine(format string, values ...any) {
	fmt.Fprintf(p, format+"\n", values...)
}

// printTableHeader writes the header of a Markdown table.
func (p *capacityPage) printTableHeader(titles ...string) {
	p.printLine("")
	p.printLine("| %s |", strings.Join(titles, " | "))
	p.printLine("|%s", strings.Repeat("---|", len(titles)))
}

func (p *capacityPage) intro() {
	p.printLine("# Capacity at the design size")
	p.printLine("")
	p.printLine("This page is generated: `go run ./cmd/marigoldcroft-measure capacity > docs/CAPACITY.md` measures every slope on one machine with small stand-ins and works the tables out. Figures that do not fit are shown as not fitting, with the cause.")
	p.printLine("")
	p.printLine("The design size is %d nodes in front of %d servers (4,800 accelerators), %.0f requests and %.0f generated tokens a second, %d teams, 10 models, %d data centres in 3 regions, %.0f changes a day in force within %.0f s. One data centre then has %d instances and %d endpoints, which is one full-detail group; a node serves %.1f requests and %.0f tokens a second.",
		nodeCount, serverCount, requestsPerSecond, tokensPerSecond, teamCount, dataCentreCount, changesPerDay, propagationLimitSeconds, instancesPerDataCentre, endpointsPerDataCentre, requestsPerSecond/nodeCount, tokensPerSecond/nodeCount)
}

// costs writes the table of measured costs.
func (p *capacityPage) costs(s *measuredCosts) {
	p.printLine("\n## Measured slopes")
	p.printTableHeader("slope", "size", "figure", "code measured")
	for _, c := range s.membership {
		p.printLine("| peer exchange, one member | %d members, %d endpoints | %.0f bytes/s, %.1f calls/s, %.3f%% of a core without gRPC, interval %s, load reports %s old at p99 | `mcmember.MeasureCost` |",
			c.Members, c.Endpoints, c.BytesPerSecond, c.CallsPerSecond, c.CPUShare*100, roundTo10ms(c.Interval), roundTo10ms(c.LoadAgeP99))
	}
	p.printLine("| removal of a dead instance | %d members | p50 %s, p99 %s | `mcmember.MeasureDetection` |", s.detection.Members, roundTo10ms(s.detection.P50), roundTo10ms(s.detection.P99))
	p.printLine("| keys moved at a loss | %d members | %.1f%% for one, %.1f%% for a rack of four | `mcmember.MeasureKeyMoves` |", instancesPerDataCentre, s.movedKeyShare*100, s.movedKeyShareOfRack*100)
	for _, n := range []int{10_000, 20_000, measuredTeams} {
		b := s.bootByTeams[n]
		p.printLine("| start with configuration, no peers | %d teams | %s, %d store reads, %.1f MiB heap | `mcconfig.MeasureBoot` |", n, b.Boot.Round(time.Millisecond), b.StoreReads, float64(b.HeapBytes)/mebibyte)
	}
	for _, n := range []int{9, 40} {
		r := s.propagationByInstances[n]
		p.printLine("| change in force | %d instances, store 3 ms | p50 %s, p99 %s, %.0f writes, %.1f reads an instance | `mcconfig.MeasurePropagation` |", n, r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.WritesPerChange, r.ReadsPerChange/float64(n))
	}
	p.printLine("| at-most-once action | 256 callers, 64 shards, store %s | %.2f store writes, p50 %s, p99 %s | `mcledger.Measure` |", storeDelay, s.actions.WritesPerAction(), s.actions.P50.Round(time.Millisecond), s.actions.P99.Round(time.Millisecond))
	for _, n := range []int{1000, 100_000, 1_000_000} {
		c := s.jobByTokens[n].Counts
		p.printLine("| durable job | %d tokens | %d writes, %d reads, %d KiB written | `mcjob.Measure` |", n, c.Puts+c.Deletes, c.Gets+c.Lists+c.Watches, c.WrittenBytes>>10)
	}
	for _, n := range []int{endpointsPerDataCentre, 600} {
		p.printLine("| routing decision with bookkeeping | %d endpoints | %.1f us | `mcscheduler` |", n, s.decisionByEndpoints[n].Seconds()*1e6)
	}
	p.printLine("| limits of an active team | %d teams | %.0f bytes | `mclimit.Limiter` |", measuredTeams, s.bytesPerTeam)
	p.printLine("| streamed request | one instance, with load generator and engine in the process | %.0f us a request and %.1f us a token of processor time, upper bounds | `mcmeasure` |", s.cpuPerRequest.Seconds()*1e6, s.cpuPerToken.Seconds()*1e6)
}

// roles writes what each role of an instance costs on one node of the design size.
func (p *capacityPage) roles(s *measuredCosts) {
	member := s.membership[1]
	p.printLine("\n## Roles on one node")
	p.printTableHeader("role", "state", "messages", "processor time", "memory", "mechanism")
	serving := requestsPerSecond/nodeCount*s.cpuPerRequest.Seconds() + tokensPerSecond/nodeCount*s.cpuPerToken.Seconds()
	p.printLine("| serving requests | requests in flight | %.1f requests/s, %.0f tokens/s | %.1f%% of a core | buffers of the requests in flight | a goroutine per request, SSE copied through, one decision of %.1f us |",
		requestsPerSecond/nodeCount, tokensPerSecond/nodeCount, serving*100, s.decisionByEndpoints[endpointsPerDataCentre].Seconds()*1e6)
	p.printLine("| member of the exchange | %d members, %d endpoints | %.1f calls/s, %.0f bytes/s | %.2f%% of a core (with gRPC) | under 1 MiB | push-pull with 3 random members, 4 KiB messages, adaptive interval |",
		instancesPerDataCentre, endpointsPerDataCentre, member.CallsPerSecond, member.BytesPerSecond, grpcCoreShare*100)
	polls := 2.0 * serverCount / nodeCount
	p.printLine("| poller of endpoints | %.1f endpoints | %.1f polls/s, %.0f bytes/s | in the figure above | one report each | two pollers an endpoint by rendezvous hashing |", polls, polls, polls*loadPollBytes)
	p.printLine("| follower of configuration | %d teams in %d pages | a watch each %.0f s, %.3f changes/s, %.0f bytes/s | under 0.1%% of a core | %.1f MiB | immutable pages, one head, one watch; pages from peers first |",
		teamCount, 256, watchIntervalSeconds, changesPerDay/secondsPerDay, changesPerDay/secondsPerDay*(headBytes+pageBytes)+watchBytes/watchIntervalSeconds, float64(s.bootByTeams[measuredTeams].HeapBytes)/mebibyte)
	p.printLine("| limits | active teams | with the exchange | under 0.1%% of a core | %.1f MiB if all %d teams were active here | buckets of teams active within 60 s |", s.bytesPerTeam*teamCount/mebibyte, teamCount)
	p.printLine("| owner of ledger shards | %.1f shards | %.1f actions/s at the store's share | grows with actions | heads up to 256 KiB | group commit, one write outstanding a shard |", float64(mcledger.ShardCount)/nodeCount, storeWritesPerSecond*mcentry.LedgerShare/s.actions.WritesPerAction()/nodeCount)
	p.printLine("| sweeper of jobs | %.1f shards | %.2f lists/s | small | ids and versions of open jobs | list each %.0f s, read what changed |", float64(mcjob.ShardCount)/nodeCount, float64(mcjob.ShardCount)/nodeCount/mcjob.SweepInterval.Seconds(), mcjob.SweepInterval.Seconds())
	p.printLine("| relay between data centres | summaries of %d instances | to 2 relays of each other data centre | small | under 1 MiB | two relays a side by rendezvous hashing |", nodeCount)
}

// fits compares a figure with its budget and returns the table's verdict.
func fits(figure, budget float64) string {
	if figure <= budget {
		return "fits"
	}
	return "does not fit"
}

// budgets compares the costs of one node with the budgets of the design.
func (p *capacityPage) budgets(s *measuredCosts) {
	configBytes := changesPerDay/secondsPerDay*(headBytes+pageBytes) + watchBytes/watchIntervalSeconds
	bytes := s.membership[1].BytesPerSecond + 2*serverCount/float64(nodeCount)*loadPollBytes + configBytes
	memory := float64(s.bootByTeams[measuredTeams].HeapBytes) + 2*mebibyte
	p.printLine("\n## Budgets")
	p.printTableHeader("budget", "figure", "limit", "verdict")
	p.printLine("| control bytes a second | %.0f (exchange, relays, polls and configuration) | %.0f | %s |", bytes, controlBytesPerSecondLimit, fits(bytes, controlBytesPerSecondLimit))
	p.printLine("| control processor time | %.2f%% of a core | %.1f%% | %s |", grpcCoreShare*100, controlCoreLimit*100, fits(grpcCoreShare, controlCoreLimit))
	p.printLine("| control memory | %.1f MiB (configuration, member table) | %.0f MiB | %s |", memory/mebibyte, controlMemoryBytesLimit/mebibyte, fits(memory, controlMemoryBytesLimit))
	p.printLine("| control memory with all %d teams active on one node | %.1f MiB | %.0f MiB | %s |", teamCount, (memory+s.bytesPerTeam*teamCount)/mebibyte, controlMemoryBytesLimit/mebibyte, fits(memory+s.bytesPerTeam*teamCount, controlMemoryBytesLimit))
	propagation := s.propagationByInstances[40].P99.Seconds() + 3
	p.printLine("| change in force everywhere | %.1f s (p99 at 40 instances and one relay interval of 3 s) | %.0f s | %s |", propagation, propagationLimitSeconds, fits(propagation, propagationLimitSeconds))
	p.printLine("| routing decision, %d endpoints | %.1f us | %.0f us | %s |", endpointsPerDataCentre, s.decisionByEndpoints[endpointsPerDataCentre].Seconds()*1e6, decisionLimitMicroseconds, fits(s.decisionByEndpoints[endpointsPerDataCentre].Seconds()*1e6, decisionLimitMicroseconds))
	p.printLine("| first token within 0.42 s and 60 ms between tokens for 95 in 100 | set by the engines; an instance adds about a millisecond (docs/measurements.md) | | not measured at this size |")
}

// storeCalls writes the load that the whole deployment puts on the object store.
func (p *capacityPage) storeCalls(s *measuredCosts) {
	p.printLine("\n## Calls of the object store, whole deployment")
	p.printLine("")
	p.printLine("The settings' default shares are %.0f writes and %.0f reads a second, of several hundred and about 2,000 that the store takes.", storeWritesPerSecond, storeReadsPerSecond)
	p.printTableHeader("kind", "reads/s", "writes/s", "from")
	changes := changesPerDay / secondsPerDay
	p.printLine("| configuration watches | %.0f | | %d instances, renewed each %.0f s |", nodeCount/watchIntervalSeconds, nodeCount, watchIntervalSeconds)
	p.printLine("| configuration changes | %.1f (peak %.0f within a second of a change) | %.3f | %.0f a day; %.1f reads an instance when no peer has the page |", changes*s.propagationByInstances[40].ReadsPerChange/40*nodeCount, s.propagationByInstances[40].ReadsPerChange/40*nodeCount, changes*s.propagationByInstances[40].WritesPerChange, changesPerDay, s.propagationByInstances[40].ReadsPerChange/40)
	bootReads := float64(s.bootByTeams[measuredTeams].StoreReads)
	p.printLine("| starts of instances | %.2f (peak %.0f for a rack of four) | | %.0f restarts a day of %.0f reads, none with peers |", restartsPerDay*bootReads/secondsPerDay, 4*bootReads, restartsPerDay, bootReads)
	p.printLine("| job sweeps | %.1f | | 64 shards each %.0f s |", mcjob.ShardCount/mcjob.SweepInterval.Seconds(), mcjob.SweepInterval.Seconds())
	p.printLine("| actions | | up to %.0f | %.2f writes an action: %.0f actions/s |", storeWritesPerSecond*mcentry.LedgerShare, s.actions.WritesPerAction(), storeWritesPerSecond*mcentry.LedgerShare/s.actions.WritesPerAction())
	longJob := s.jobByTokens[100_000].Counts
	writesPerJob := float64(longJob.Puts + longJob.Deletes)
	p.printLine("| jobs | %.0f | up to %.0f | %.0f writes a job of 100,000 tokens: %.0f jobs/s |", storeWritesPerSecond*mcentry.JobWriteShare/writesPerJob*float64(longJob.Gets+longJob.Watches), storeWritesPerSecond*mcentry.JobWriteShare, writesPerJob, storeWritesPerSecond*mcentry.JobWriteShare/writesPerJob)
}

// limits writes the limits that are reached first as the deployment grows, with the cause.
func (p *capacityPage) limits(s *measuredCosts) {
	longJob := s.jobByTokens[100_000].Counts
	writesPerJob := float64(longJob.Puts + longJob.Deletes)
	longPromptsPerSecond := requestsPerSecond * longPromptShare
	jobsPerSecond := storeWritesPerSecond * mcentry.JobWriteShare / writesPerJob
	p.printLine("\n## What breaks first")
	p.printLine("")
	p.printLine("1. **Durable jobs.** One prompt in fifty is over 100,000 tokens: %.0f/s. As jobs they need %.0f writes/s; the share of jobs is %.0f, enough for %.0f jobs/s: %s. Cause: %.0f writes a job against a store whose rate grows more slowly than the fleet. Long prompts that are streamed need no store; beyond the share, jobs are refused with `notRun: true`. Ways on: the prompt inside the job object below 1 MB, the claim with the creation.", longPromptsPerSecond, longPromptsPerSecond*writesPerJob, storeWritesPerSecond*mcentry.JobWriteShare, jobsPerSecond, fits(longPromptsPerSecond, jobsPerSecond), writesPerJob)
	p.printLine("2. **Actions under light load.** An action alone takes two writes; %.0f writes/s then carry %.0f actions/s. Group commit lowers this to %.2f writes at 256 callers at once.", storeWritesPerSecond*mcentry.LedgerShare, storeWritesPerSecond*mcentry.LedgerShare/2, s.actions.WritesPerAction())
	p.printLine("3. **One full-detail group.** The version vector has to fit a 4 KiB message, which bounds a data centre to about 400 members and endpoints together; %d are planned.", instancesPerDataCentre+endpointsPerDataCentre)
	p.printLine("4. **All instances of a data centre starting at once without peers.** %d x %d reads at the share of %.0f reads/s take %.0f s; with any live peer the pages come from it.", instancesPerDataCentre, s.bootByTeams[measuredTeams].StoreReads, storeReadsPerSecond, float64(instancesPerDataCentre)*float64(s.bootByTeams[measuredTeams].StoreReads)/storeReadsPerSecond)
	p.printLine("")
	p.printLine("Not measured here: 330 processes at once, real network latency between regions, engines at their real speed.")
}
