package mcforward_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/platform"
)

// BenchmarkPromptParts measures what the shared parts of a prompt cost in one request that is
// answered: decoding, both checks and the proof. Every tenth part is found in all prompts.
func BenchmarkPromptParts(b *testing.B) {
	const prompts = 1000
	for _, parts := range []int{3, 200, 5000} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			requests := make([]*http.Request, prompts)
			for n := range requests {
				var value strings.Builder
				for i := range parts {
					id := n*parts + i
					if i%10 == 0 {
						id = i
					}
					fmt.Fprintf(&value, "%08x:800,", id)
				}
				requests[n] = &http.Request{Header: http.Header{"Prefix-Hash": {value.String() + "ffffffff:250"}}}
			}
			guard, now := &mcquarantine.Guard{}, time.Unix(1000, 0)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				now = now.Add(10 * time.Millisecond)
				call := platform.Codec{}.DecodeRequest(requests[n%prompts])
				fingerprints := mcquarantine.PartFingerprints("s", call.SharedParts)
				for range 2 {
					if _, quarantined := guard.QuarantinedPart(now, fingerprints); quarantined {
						b.Fatal("a sound part is quarantined")
					}
				}
				id := marigoldcroft.NewStreamID("r", n)
				guard.Begin(now, "e", id, mcquarantine.Fingerprint(n), fingerprints)
				guard.FirstOutput(now, "e", id)
				guard.End(now, "e", id, true)
			}
		})
	}
}
