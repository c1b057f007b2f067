package mcquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
)

// serviceBed runs requests of several services at two instances that share their entries.
type serviceBed struct {
	guards   [2]mcquarantine.Guard
	requests int
}

// run sends a request with the parts unless it is refused, and reports whether it was sent.
func (b *serviceBed) run(at time.Duration, instance int, service string, crash bool, parts ...string) bool {
	g, now, fingerprints := &b.guards[instance], start.Add(at), mcquarantine.PartFingerprints(service, parts)
	if _, quarantined := g.QuarantinedPart(now, fingerprints); quarantined {
		return false
	}
	b.requests++
	id, endpoint := stream(b.requests), fmt.Sprint("e", b.requests)
	g.Begin(now, endpoint, id, mcquarantine.FingerprintOf("team", []byte(endpoint)), fingerprints)
	var changed []*mcmessage.QuarantineEntry
	if crash {
		g.StreamBroken(now.Add(50*time.Millisecond), endpoint, id)
		changed = g.ConnectionRefused(now.Add(100*time.Millisecond), endpoint)
	} else {
		g.FirstOutput(now.Add(50*time.Millisecond), endpoint, id)
		changed = g.End(now.Add(100*time.Millisecond), endpoint, id, true)
	}
	other := &b.guards[1-instance]
	other.Merge(now.Add(100*time.Millisecond), changed)
	g.Merge(now.Add(100*time.Millisecond), other.ClearProvenParts(now.Add(100*time.Millisecond)))
	return true
}

// Guards against a deadly part that crashes endpoints of one service after the other, as each of
// them counts for itself: at most three requests may reach endpoints after the fifth crash.
func TestDeadlyPartIsQuarantinedAtAllServices(t *testing.T) {
	for _, proven := range []bool{false, true} {
		t.Run(fmt.Sprint("proven ", proven), func(t *testing.T) {
			b := &serviceBed{}
			services := []string{"s", "t", "u", "v"}
			for i, service := range services {
				if proven {
					require.True(t, b.run(time.Duration(i)*time.Second, i%2, service, false, "subject", "dead"))
				}
			}
			crashes := 0
			for n := range 20 {
				if b.run(time.Duration(10+n)*time.Second, n%2, services[n%len(services)], true, fmt.Sprint("subject", n), "dead") {
					crashes++
				}
			}
			require.LessOrEqual(t, crashes, 5+3)
		})
	}
}

// Guards against answers of one service that clear a part which crashes endpoints of another, and
// against a refusal of the part where it is answered.
func TestDeadlyPartOfOneServiceIsServedAtAnother(t *testing.T) {
	for _, order := range [][]bool{{true, false}, {true, true, false}, {false, true}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			b := &serviceBed{}
			require.True(t, b.run(0, 0, "sound", false, "part"))
			crashes, answers, refused := 0, 0, 0
			for n := range 60 {
				at := time.Second + time.Duration(n)*600*time.Millisecond
				if order[n%len(order)] {
					if b.run(at, n%2, "s", true, "part") {
						crashes++
					}
				} else if b.run(at, n%2, "sound", false, "part") {
					answers++
				} else {
					refused++
				}
			}
			require.LessOrEqual(t, crashes, 5+3)
			require.Zero(t, refused)
			require.NotZero(t, answers)
		})
	}
}
