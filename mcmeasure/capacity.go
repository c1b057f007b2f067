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

// The design size, from docs/design.md.
const (
	nodes           = 330
	servers         = 600
	requestsASecond = 3800.0
	tokensASecond   = 990_000.0
	teams           = 40_000
	changesADay     = 1500.0
	restartsADay    = 53.0
	longShare       = 1.0 / 50
	dataCentreCount = 9
	centreInstances = 37
	centreEndpoints = 67
	controlBytes    = 14_000.0
	controlCore     = 0.031
	controlMemory   = 64.0 * (1 << 20)
	inForceSeconds  = 17.0
	decisionMicro   = 10.0
	storeWrites     = 300.0
	storeReads      = 1500.0
	watchSeconds    = 5.0
	secondsADay     = 86_400.0
	mebibyte        = 1 << 20
	// pollBytes is one load report over HTTP with its headers, both ways.
	pollBytes = 600.0
	// headBytes and pageBytes are the head and the largest page at 40,000 teams
	// (mcconfig); watchBytes is a watch that ends unchanged, with its headers.
	headBytes  = 17_800.0
	pageBytes  = 55_700.0
	watchBytes = 400.0
	// grpcCore is the share of a core that 37 members take over real gRPC connections:
	// docs/membership.md.
	grpcCore = 0.005
)

// Capacity measures all slopes and writes docs/CAPACITY.md.
func Capacity(ctx context.Context, w io.Writer, _ Options) error {
	s, err := measureSlopes(ctx)
	if err != nil {
		return err
	}
	p := &page{}
	p.intro()
	p.slopes(&s)
	p.roles(&s)
	p.budgets(&s)
	p.storeCalls(&s)
	p.limits(&s)
	_, err = io.WriteString(w, p.String())
	return err
}

// page is the text of docs/CAPACITY.md.
type page struct{ strings.Builder }

func (p *page) line(format string, values ...any) { fmt.Fprintf(p, format+"\n", values...) }

func (p *page) table(titles ...string) {
	p.line("")
	p.line("| %s |", strings.Join(titles, " | "))
	p.line("|%s", strings.Repeat("---|", len(titles)))
}

func (p *page) intro() {
	p.line("# Capacity at the design size")
	p.line("")
	p.line("This page is generated: `go run ./cmd/marigoldcroft-measure capacity > docs/CAPACITY.md` measures every slope on one machine with small stand-ins and works the tables out. Figures that do not fit are shown as not fitting, with the cause.")
	p.line("")
	p.line("The design size is %d nodes in front of %d servers (4,800 accelerators), %.0f requests and %.0f generated tokens a second, %d teams, 10 models, %d data centres in 3 regions, %.0f changes a day in force within %.0f s. One data centre then has %d instances and %d endpoints, which is one full-detail group; a node serves %.1f requests and %.0f tokens a second.",
		nodes, servers, requestsASecond, tokensASecond, teams, dataCentreCount, changesADay, inForceSeconds, centreInstances, centreEndpoints, requestsASecond/nodes, tokensASecond/nodes)
}

func (p *page) slopes(s *slopes) {
	p.line("\n## Measured slopes")
	p.table("slope", "size", "figure", "code measured")
	for _, c := range s.control {
		p.line("| peer exchange, one member | %d members, %d endpoints | %.0f bytes/s, %.1f calls/s, %.3f%% of a core without gRPC, interval %s, load reports %s old at p99 | `mcmember.MeasureCost` |",
			c.Members, c.Endpoints, c.BytesPerSecond, c.CallsPerSecond, c.CPUShare*100, round(c.Interval), round(c.LoadAgeP99))
	}
	p.line("| removal of a dead instance | %d members | p50 %s, p99 %s | `mcmember.MeasureDetection` |", s.detection.Members, round(s.detection.P50), round(s.detection.P99))
	p.line("| keys moved at a loss | %d members | %.1f%% for one, %.1f%% for a rack of four | `mcmember.MeasureKeyMoves` |", centreInstances, s.moved*100, s.movedRack*100)
	for _, n := range []int{10_000, 20_000, slopeTeams} {
		b := s.boots[n]
		p.line("| start with configuration, no peers | %d teams | %s, %d store reads, %.1f MiB heap | `mcconfig.MeasureBoot` |", n, b.Boot.Round(time.Millisecond), b.StoreReads, float64(b.HeapBytes)/mebibyte)
	}
	for _, n := range []int{9, 40} {
		r := s.spread[n]
		p.line("| change in force | %d instances, store 3 ms | p50 %s, p99 %s, %.0f writes, %.1f reads an instance | `mcconfig.MeasurePropagation` |", n, r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.WritesPerChange, r.ReadsPerChange/float64(n))
	}
	p.line("| at-most-once action | 256 callers, 64 shards, store %s | %.2f store writes, p50 %s, p99 %s | `mcledger.Measure` |", storeDelay, s.actions.WritesPerAction(), s.actions.P50.Round(time.Millisecond), s.actions.P99.Round(time.Millisecond))
	for _, n := range []int{1000, 100_000, 1_000_000} {
		c := s.jobs[n].Counts
		p.line("| durable job | %d tokens | %d writes, %d reads, %d KiB written | `mcjob.Measure` |", n, c.Puts+c.Deletes, c.Gets+c.Lists+c.Watches, c.WrittenBytes>>10)
	}
	for _, n := range []int{centreEndpoints, 600} {
		p.line("| routing decision with bookkeeping | %d endpoints | %.1f us | `mcscheduler` |", n, s.decision[n].Seconds()*1e6)
	}
	p.line("| limits of an active team | %d teams | %.0f bytes | `mclimit.Limiter` |", slopeTeams, s.teamBytes)
	p.line("| streamed request | one instance, with load generator and engine in the process | %.0f us a request and %.1f us a token of processor time, upper bounds | `mcmeasure` |", s.cpuRequest.Seconds()*1e6, s.cpuToken.Seconds()*1e6)
}

func (p *page) roles(s *slopes) {
	member := s.control[1]
	p.line("\n## Roles on one node")
	p.table("role", "state", "messages", "processor time", "memory", "mechanism")
	serving := requestsASecond/nodes*s.cpuRequest.Seconds() + tokensASecond/nodes*s.cpuToken.Seconds()
	p.line("| serving requests | requests in flight | %.1f requests/s, %.0f tokens/s | %.1f%% of a core | buffers of the requests in flight | a goroutine per request, SSE copied through, one decision of %.1f us |",
		requestsASecond/nodes, tokensASecond/nodes, serving*100, s.decision[centreEndpoints].Seconds()*1e6)
	p.line("| member of the exchange | %d members, %d endpoints | %.1f calls/s, %.0f bytes/s | %.2f%% of a core (with gRPC) | under 1 MiB | push-pull with 3 random members, 4 KiB messages, adaptive interval |",
		centreInstances, centreEndpoints, member.CallsPerSecond, member.BytesPerSecond, grpcCore*100)
	polls := 2.0 * servers / nodes
	p.line("| poller of endpoints | %.1f endpoints | %.1f polls/s, %.0f bytes/s | in the figure above | one report each | two pollers an endpoint by rendezvous hashing |", polls, polls, polls*pollBytes)
	p.line("| follower of configuration | %d teams in %d pages | a watch each %.0f s, %.3f changes/s, %.0f bytes/s | under 0.1%% of a core | %.1f MiB | immutable pages, one head, one watch; pages from peers first |",
		teams, 256, watchSeconds, changesADay/secondsADay, changesADay/secondsADay*(headBytes+pageBytes)+watchBytes/watchSeconds, float64(s.boots[slopeTeams].HeapBytes)/mebibyte)
	p.line("| limits | active teams | with the exchange | under 0.1%% of a core | %.1f MiB if all %d teams were active here | buckets of teams active within 60 s |", s.teamBytes*teams/mebibyte, teams)
	p.line("| owner of ledger shards | %.1f shards | %.1f actions/s at the store's share | grows with actions | heads up to 256 KiB | group commit, one write outstanding a shard |", float64(mcledger.ShardCount)/nodes, storeWrites*mcentry.LedgerShare/s.actions.WritesPerAction()/nodes)
	p.line("| sweeper of jobs | %.1f shards | %.2f lists/s | small | ids and versions of open jobs | list each %.0f s, read what changed |", float64(mcjob.ShardCount)/nodes, float64(mcjob.ShardCount)/nodes/mcjob.SweepInterval.Seconds(), mcjob.SweepInterval.Seconds())
	p.line("| relay between data centres | summaries of %d instances | to 2 relays of each other data centre | small | under 1 MiB | two relays a side by rendezvous hashing |", nodes)
}

// fits is the verdict of a row.
func fits(figure, budget float64) string {
	if figure <= budget {
		return "fits"
	}
	return "does not fit"
}

func (p *page) budgets(s *slopes) {
	configBytes := changesADay/secondsADay*(headBytes+pageBytes) + watchBytes/watchSeconds
	bytes := s.control[1].BytesPerSecond + 2*servers/float64(nodes)*pollBytes + configBytes
	memory := float64(s.boots[slopeTeams].HeapBytes) + 2*mebibyte
	p.line("\n## Budgets")
	p.table("budget", "figure", "limit", "verdict")
	p.line("| control bytes a second | %.0f (exchange, relays, polls and configuration) | %.0f | %s |", bytes, controlBytes, fits(bytes, controlBytes))
	p.line("| control processor time | %.2f%% of a core | %.1f%% | %s |", grpcCore*100, controlCore*100, fits(grpcCore, controlCore))
	p.line("| control memory | %.1f MiB (configuration, member table) | %.0f MiB | %s |", memory/mebibyte, controlMemory/mebibyte, fits(memory, controlMemory))
	p.line("| control memory with all %d teams active on one node | %.1f MiB | %.0f MiB | %s |", teams, (memory+s.teamBytes*teams)/mebibyte, controlMemory/mebibyte, fits(memory+s.teamBytes*teams, controlMemory))
	spread := s.spread[40].P99.Seconds() + 3
	p.line("| change in force everywhere | %.1f s (p99 at 40 instances and one relay interval of 3 s) | %.0f s | %s |", spread, inForceSeconds, fits(spread, inForceSeconds))
	p.line("| routing decision, %d endpoints | %.1f us | %.0f us | %s |", centreEndpoints, s.decision[centreEndpoints].Seconds()*1e6, decisionMicro, fits(s.decision[centreEndpoints].Seconds()*1e6, decisionMicro))
	p.line("| first token within 0.42 s and 60 ms between tokens for 95 in 100 | set by the engines; an instance adds about a millisecond (docs/measurements.md) | | not measured at this size |")
}

func (p *page) storeCalls(s *slopes) {
	p.line("\n## Calls of the object store, whole deployment")
	p.line("")
	p.line("The settings' default shares are %.0f writes and %.0f reads a second, of several hundred and about 2,000 that the store takes.", storeWrites, storeReads)
	p.table("kind", "reads/s", "writes/s", "from")
	changes := changesADay / secondsADay
	p.line("| configuration watches | %.0f | | %d instances, renewed each %.0f s |", nodes/watchSeconds, nodes, watchSeconds)
	p.line("| configuration changes | %.1f (peak %.0f within a second of a change) | %.3f | %.0f a day; %.1f reads an instance when no peer has the page |", changes*s.spread[40].ReadsPerChange/40*nodes, s.spread[40].ReadsPerChange/40*nodes, changes*s.spread[40].WritesPerChange, changesADay, s.spread[40].ReadsPerChange/40)
	boot := float64(s.boots[slopeTeams].StoreReads)
	p.line("| starts of instances | %.2f (peak %.0f for a rack of four) | | %.0f restarts a day of %.0f reads, none with peers |", restartsADay*boot/secondsADay, 4*boot, restartsADay, boot)
	p.line("| job sweeps | %.1f | | 64 shards each %.0f s |", mcjob.ShardCount/mcjob.SweepInterval.Seconds(), mcjob.SweepInterval.Seconds())
	p.line("| actions | | up to %.0f | %.2f writes an action: %.0f actions/s |", storeWrites*mcentry.LedgerShare, s.actions.WritesPerAction(), storeWrites*mcentry.LedgerShare/s.actions.WritesPerAction())
	big := s.jobs[100_000].Counts
	perJob := float64(big.Puts + big.Deletes)
	p.line("| jobs | %.0f | up to %.0f | %.0f writes a job of 100,000 tokens: %.0f jobs/s |", storeWrites*mcentry.JobWriteShare/perJob*float64(big.Gets+big.Watches), storeWrites*mcentry.JobWriteShare, perJob, storeWrites*mcentry.JobWriteShare/perJob)
}

func (p *page) limits(s *slopes) {
	big := s.jobs[100_000].Counts
	perJob := float64(big.Puts + big.Deletes)
	long := requestsASecond * longShare
	jobs := storeWrites * mcentry.JobWriteShare / perJob
	p.line("\n## What breaks first")
	p.line("")
	p.line("1. **Durable jobs.** One prompt in fifty is over 100,000 tokens: %.0f/s. As jobs they need %.0f writes/s; the share of jobs is %.0f, enough for %.0f jobs/s: %s. Cause: %.0f writes a job against a store whose rate grows more slowly than the fleet. Long prompts that are streamed need no store; beyond the share, jobs are refused with `notRun: true`. Ways on: the prompt inside the job object below 1 MB, the claim with the creation.", long, long*perJob, storeWrites*mcentry.JobWriteShare, jobs, fits(long, jobs), perJob)
	p.line("2. **Actions under light load.** An action alone takes two writes; %.0f writes/s then carry %.0f actions/s. Group commit lowers this to %.2f writes at 256 callers at once.", storeWrites*mcentry.LedgerShare, storeWrites*mcentry.LedgerShare/2, s.actions.WritesPerAction())
	p.line("3. **One full-detail group.** The version vector has to fit a 4 KiB message, which bounds a data centre to about 400 members and endpoints together; %d are planned.", centreInstances+centreEndpoints)
	p.line("4. **All instances of a data centre starting at once without peers.** %d x %d reads at the share of %.0f reads/s take %.0f s; with any live peer the pages come from it.", centreInstances, s.boots[slopeTeams].StoreReads, storeReads, float64(centreInstances)*float64(s.boots[slopeTeams].StoreReads)/storeReads)
	p.line("")
	p.line("Not measured here: 330 processes at once, real network latency between regions, engines at their real speed.")
}
