package mcsoak

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstandin"
)

// Guards against a prompt part that crashes one server after another, although each request with
// it is unlike all others.
func TestDeadlyPartReachesFewServers(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "marigoldcroft")
	output, err := exec.Command("go", "build", "-o", binary, "../cmd/marigoldcroft").CombinedOutput()
	require.NoError(t, err, string(output))
	s := &Soak{
		Binary: binary, Folder: t.TempDir(), Seed: seed, Length: 10 * time.Second, Instances: 3, Callers: 24,
		Fault: deadlyPartFault, Log: testLog{t},
	}
	report, err := s.Run(t.Context())
	require.NoError(t, err)
	require.Empty(t, report.Broken)
	require.NotEmpty(t, s.crashes)
}

// Guards against checks of deadly and sound requests that never fail: each excess of deadly runs,
// lack of sound runs and wrong refusal is reported once, under the right guarantee.
func TestInvalidDeadlyRunsAreReported(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(seconds * float64(time.Second)))
	}
	for name, c := range map[string]struct {
		crashes int
		// deadlyAt is the time of the first of the deadly runs.
		deadly   int
		deadlyAt float64
		// soundAt is the time of the first of the sound requests; began of them ran.
		sound, began int
		soundAt      float64
		change       func(s *Soak)
		promise      string
	}{
		"three late":                  {crashes: 5, deadly: 3, deadlyAt: 8.1},
		"four late":                   {crashes: 5, deadly: 4, deadlyAt: 8.1, promise: "deadly part"},
		"four soon after the crashes": {crashes: 5, deadly: 4, deadlyAt: 7.5},
		"four after few crashes":      {crashes: 4, deadly: 4, deadlyAt: 8.1},
		"from a restarted instance": {crashes: 5, deadly: 4, deadlyAt: 8.1, change: func(s *Soak) {
			s.instances[0].disruptions = []time.Time{at(7)}
		}},
		"long after a restart": {crashes: 5, deadly: 4, deadlyAt: 12, change: func(s *Soak) {
			s.instances[0].disruptions = []time.Time{at(7)}
		}, promise: "deadly part"},
		"after all restarted": {crashes: 5, deadly: 4, deadlyAt: 12, change: func(s *Soak) {
			s.instances[0].disruptions, s.instances[1].disruptions = []time.Time{at(6)}, []time.Time{at(7)}
		}},
		"after each restarted alone": {crashes: 5, deadly: 4, deadlyAt: 18, change: func(s *Soak) {
			s.instances[0].disruptions, s.instances[1].disruptions = []time.Time{at(6)}, []time.Time{at(10)}
		}, promise: "deadly part"},
		"refused": {deadly: 1, change: func(s *Soak) {
			s.outcomes["deadly-0"].status = http.StatusServiceUnavailable
		}, promise: "not run"},
		"half of the sound":           {crashes: 5, sound: 20, began: 10, soundAt: 12},
		"less than half of the sound": {crashes: 5, sound: 20, began: 9, soundAt: 12, promise: "sound requests"},
		"after fewer crashes":         {crashes: 3, sound: 20, began: 9, soundAt: 12, promise: "sound requests"},
		"few sound":                   {crashes: 5, sound: 19, soundAt: 12},
		"sound soon after the crash":  {crashes: 5, sound: 20, soundAt: 10},
		"sound after the deadly":      {crashes: 5, sound: 20, soundAt: 21},
		"sound in a disruption": {crashes: 5, sound: 20, soundAt: 12, change: func(s *Soak) {
			s.disruptions = []disruption{{interval: interval{from: at(9), to: at(10)}}}
		}},
	} {
		s := newSoak()
		s.began, s.deadlyEndedAt, s.quiet = at(0), at(20), interval{from: at(30), to: at(40)}
		s.instances = []*instance{{name: "z-1"}, {name: "z-2"}}
		b := &backend{id: "i-1", service: "pool", server: &mcstandin.PlatformServer{ID: "i-1"}}
		for n := range c.crashes {
			s.crashes = append(s.crashes, at(float64(n+1)))
		}
		runs := make(map[string]int)
		var deadlyRuns []deadlyRun
		add := func(group string, n int, from float64, parts ...string) *outcome {
			o := &outcome{
				id: fmt.Sprintf("%s-%d", group, n), kind: requestKinds[2], instance: s.instances[0], parts: parts,
				sentAt: at(from + 0.001*float64(n)), status: http.StatusOK,
			}
			o.endedAt = o.sentAt
			s.outcomes[o.id] = o
			return o
		}
		for n := range c.deadly {
			o := add("deadly", n, c.deadlyAt, firstPart, deadlyPart)
			deadlyRuns = append(deadlyRuns, deadlyRun{at: o.sentAt, outcome: o, server: b})
			runs[o.id]++
		}
		for n := range minCompared {
			runs[add("quiet", n, 31, firstPart).id]++
		}
		for n := range c.sound {
			if o := add("sound", n, c.soundAt, firstPart); n < c.began {
				runs[o.id]++
			}
		}
		if c.change != nil {
			c.change(s)
		}
		s.checkRunCounts(runs)
		s.checkDeadlyRuns(deadlyRuns)
		s.checkSoundRequests(runs)
		requireViolation(t, s, name, c.promise)
	}
}
