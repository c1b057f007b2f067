package marigoldcroft

// TeamUsage is the usage of one team at one instance or in one data centre.
type TeamUsage struct {
	Team string
	// TokensPerSecond is the smoothed rate of requested tokens, rejected requests included.
	TokensPerSecond float64
	// Concurrency is the number of running requests.
	Concurrency int
	// Share is the fraction of the team's limits that the instance claims, 0 to 1.
	Share float64
}
