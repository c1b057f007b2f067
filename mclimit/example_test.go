package mclimit_test

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

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

// Uses the limiter of endpoints without the daemon, in a program without peers: it calls Acquire
// before each request and Observe with what the endpoint stated in its answer. With peers, it would
// also call Ownership.SetMembers after each change, Merge with the limits that peers announce, and
// Grant for the questions that they send with Ask.
func ExampleEndpointLimiter() {
	ownership := &mclimit.Ownership{Self: "a"}
	ownership.SetMembers(time.Now().Add(-time.Minute), []string{"a"}, 0)
	limiter := &mclimit.EndpointLimiter{
		Ownership: ownership, Logger: zerolog.Nop(),
		Announce: func(limit marigoldcroft.EndpointLimit) { fmt.Println(limit.Endpoint(), limit.PerSecond()) },
	}
	granted, _ := limiter.Acquire(context.Background(), "engine-1")
	fmt.Println(granted)
	sentAt := time.Now()
	limiter.Observe(time.Now(), sentAt, "engine-1", true, 0.5)
	granted, wait := limiter.Acquire(context.Background(), "engine-1")
	fmt.Println(granted, wait >= 2*time.Second)
	// Output:
	// true
	// engine-1 0.5
	// false true
}
