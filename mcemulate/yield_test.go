package mcemulate_test

import (
	"fmt"
	"os"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"marigoldcroft/mcemulate"
	"marigoldcroft/mcscheduler"
)

// between returns a rate that is peak in the interval and base outside.
func between(from, to time.Duration, base, peak float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return peak
		}
		return base
	}
}

// The times of the peak. Engines are reserved 6 s after the start at the earliest.
const (
	peakBegin = 8 * time.Second
	peakEnd   = 14 * time.Second
)

// parkingPeak returns a part of the parking deployment at its peak, in which instances see each other's
// work 80 to 300 ms late, with long reads and sweeps beside short questions. There are 15 engines and 20
// instances for each unit of scale; the deployment has a scale of 4.
func parkingPeak(scale int) mcemulate.Experiment {
	peak := func(base, top float64) func(time.Duration) float64 {
		return between(peakBegin, peakEnd, base*float64(scale), top*float64(scale))
	}
	x := mcemulate.Experiment{
		Policy: mcscheduler.PolicyPassModel, Figures: engineFigures(), Engines: 15 * scale, Instances: 20 * scale,
		ReportInterval: 220 * time.Millisecond, ReportDelay: 80 * time.Millisecond, NetworkDelay: 4 * time.Millisecond,
		Length: peakEnd + time.Second, Seed: 1,
		Classes: []mcemulate.Class{{
			Name: "question", ArrivalRate: peak(31, 75), Prompt: 5000, Output: 1488, MaxPrompt: 24_000, LogDeviation: 0.8,
			Objective: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond, Deadline: 10 * time.Second,
		}, {
			Name: "read", ArrivalRate: constantRate(1.5 * float64(scale)), Prompt: 45_000, Output: 864, MaxPrompt: 110_000, LogDeviation: 0.5,
			Objective: 1500 * time.Millisecond, MaxPause: 600 * time.Millisecond, Deadline: 10 * time.Second, Rank: 1,
		}, {
			Name: "sweep", ArrivalRate: peak(0.33, 0.92), Prompt: 190_000, Output: 720, MaxPrompt: 420_000, LogDeviation: 0.5,
			Objective: 3 * time.Second, MaxPause: time.Second, Deadline: 15 * time.Second, Rank: 2,
		}},
	}
	x.Figures.Slots, x.Figures.MemoryTokens, x.Figures.StepsPerPass, x.Figures.StepTime = 12, 197_200, 48, 1020*time.Microsecond
	x.Figures.StepTimePerRequest, x.Figures.PrefillTokensPerSecond, x.Figures.PrefillTimePerMegaPair = time.Microsecond, 206_000, 0
	return x
}

// yieldLoads returns the loads for which yielding is meant.
func yieldLoads() map[string]mcemulate.Experiment {
	loads := map[string]mcemulate.Experiment{"peak": parkingPeak(1)}

	attention := parkingPeak(1)
	attention.Figures.PrefillTimePerMegaPair = 120 * time.Microsecond
	loads["longOverload"] = attention

	team := parkingPeak(1)
	greedy := team.Classes[0]
	greedy.Name, greedy.Team, greedy.ArrivalRate = "questionOfBusyTeam", "busy", between(peakBegin, peakEnd, 2, 45)
	team.Classes[0].ArrivalRate, team.Classes[0].Team = constantRate(31), "usual"
	team.Classes = append(team.Classes, greedy)
	loads["busyTeam"] = team

	retries := parkingPeak(1)
	retries.Classes[0].ArrivalRate = between(peakBegin, peakEnd, 31, 135)
	retries.Classes[0].Retries = 20
	loads["immediateRetries"] = retries

	twice := parkingPeak(1)
	twice.Losses = []mcemulate.Loss{{At: peakBegin, Engines: 7}}
	for i := range twice.Classes {
		twice.Classes[i].ArrivalRate = constantRate([]float64{31, 1.5, 0.33}[i])
	}
	loads["twoDataCentresInOne"] = twice

	lost := parkingPeak(1)
	lost.Losses = []mcemulate.Loss{{At: peakBegin + 3*time.Second, Engines: 2}}
	loads["slotsLostAtPeak"] = lost

	leaving := parkingPeak(1)
	leaving.Classes[0].ArrivalRate = between(peakBegin, peakEnd, 31, 105)
	leaving.Classes[0].Patience = 600 * time.Millisecond
	loads["callersThatLeave"] = leaving
	return loads
}

// goldenArch is the architecture of the golden files. Others round floating-point sums differently, after
// which the simulations take other courses.
const goldenArch = "amd64"

var number = regexp.MustCompile(`[0-9]+`)

// requireSimilar requires equal texts except for numbers, which may differ by a twentieth of the requests
// in their line and three.
func requireSimilar(t *testing.T, expected, actual string) {
	t.Helper()
	require.Equal(t, number.ReplaceAllString(expected, "#"), number.ReplaceAllString(actual, "#"))
	lines := strings.Split(actual, "\n")
	for i, line := range strings.Split(expected, "\n") {
		was, is := number.FindAllString(line, -1), number.FindAllString(lines[i], -1)
		for k := range was {
			a, err := strconv.Atoi(was[k])
			require.NoError(t, err)
			b, err := strconv.Atoi(is[k])
			require.NoError(t, err)
			asked, err := strconv.Atoi(was[1])
			require.NoError(t, err)
			require.InDelta(t, a, b, float64(asked)/20+3, line)
		}
	}
}

// Guards against a change of placement that serves one kind of request at the expense of another, or
// that changes anything while yielding is off, without anyone seeing it: the golden files hold the
// results of each load by kind of request, without yielding and with it.
func TestYieldLoads(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/yield"))
	for name, x := range yieldLoads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var table strings.Builder
			for _, yield := range []bool{false, true} {
				for _, seed := range []uint64{1, 2} {
					x.Yield, x.Seed = yield, seed
					results, err := x.Run()
					require.NoError(t, err)
					for _, r := range results {
						require.LessOrEqual(t, r.Served+r.Refused, r.Requests)
						fmt.Fprintf(&table, "yield=%t seed=%d %s: asked %d, on time %d, late %d, paused %d, refused %d, submitted %d\n", yield, seed,
							r.Class, r.Requests, r.OnTime, r.Served-r.OnTime-r.Paused, r.Paused, r.Refused, r.Attempts)
					}
				}
			}
			if runtime.GOARCH == goldenArch {
				golden.Assert(t, name, []byte(table.String()))
				return
			}
			expected, err := os.ReadFile("testdata/yield/" + name + ".golden")
			require.NoError(t, err)
			requireSimilar(t, string(expected), table.String())
		})
	}
}

// Load: the peak of the parking deployment at half its size. Guards against short streams that pause
// because long prompts are prefilled on their engines: with yielding, two fifths fewer short answers are
// paused than without, more are on time, and long work loses at most a twentieth of its requests on time.
func TestReservedEnginesSpareShortStreams(t *testing.T) {
	var paused [2]int
	onTime, asked := [2]map[string]int{{}, {}}, map[string]int{}
	for i, yield := range []bool{false, true} {
		for _, seed := range []uint64{1, 2, 3} {
			x := parkingPeak(2)
			x.Yield, x.Seed = yield, seed
			results, err := x.Run()
			require.NoError(t, err)
			paused[i] += results[0].Paused
			for _, r := range results {
				onTime[i][r.Class] += r.OnTime
				if yield {
					asked[r.Class] += r.Requests
				}
			}
		}
	}
	t.Logf("paused %v, on time %v, asked %v", paused, onTime, asked)
	require.LessOrEqual(t, 5*paused[1], 3*paused[0])
	require.Greater(t, onTime[1]["question"], onTime[0]["question"])
	for _, name := range []string{"read", "sweep"} {
		require.GreaterOrEqual(t, 20*(onTime[1][name]-onTime[0][name]), -asked[name], name)
	}
}
