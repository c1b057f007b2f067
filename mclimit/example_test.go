package mclimit_test

import (
	"fmt"
	"time"

	"marigoldcroft"
	"marigoldcroft/mclimit"
)

// Uses the limiter without the daemon: the program calls Admit before each request and
// Finish after it. With peers, it would also call SetMembers, ObservePeer and, once per
// exchange interval, Rebalance and Usage.
func Example() {
	limiter := &mclimit.Limiter{}
	team := marigoldcroft.NewTeam(marigoldcroft.TeamSpec{Name: "studio", TokensPerSecond: 1000, BurstTokens: 1500})
	now := time.Unix(1_800_000_000, 0)
	for range 3 {
		decision := limiter.Admit(now, team, 1000, false)
		fmt.Println(decision.Allowed(), decision.Reason, decision.RetryAfter)
		if decision.Allowed() {
			limiter.Finish(now, "studio", 1000, 1000, false)
		}
	}
	fmt.Println(limiter.Admit(now.Add(time.Second), team, 1000, false).Allowed())
	// Output:
	// true  0s
	// true  0s
	// false teamTokenRate 501ms
	// true
}
