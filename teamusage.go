package marigoldcroft

// TeamUsage is one team's use at one instance or in one data centre. Its fields are
// exported as it is a plain message between parts.
type TeamUsage struct {
	Team            string
	TokensPerSecond float64
	Concurrency     int
	// Share is the part of the team's limits that the instance holds, 0 to 1.
	Share float64
}
