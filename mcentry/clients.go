package mcentry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldcroft/mcbudget"
	"marigoldcroft/mcobserve"
	"marigoldcroft/mcsetting"
)

const (
	// assumedMemory is the memory of a process whose settings state none.
	assumedMemory = 256 << 20
	// leastBodies is the number of the largest bodies for which such a process has memory.
	leastBodies = 4
)

// clients bounds what the clients of a process may make it hold: one budget, and the shares of the listeners.
type clients struct {
	budget                              *mcbudget.Budget
	callers, balancer, operators, peers *mcbudget.Share
}

func newClients(s mcsetting.Settings, metrics *mcobserve.Metrics, logger zerolog.Logger) clients {
	memory := mcbudget.MemoryOf(int64(s.Forward.MemoryMB) << 20)
	if memory == 0 {
		memory = max(mcbudget.MemoryOf(assumedMemory), leastBodies*mcbudget.BodyCost(s.Limits.MaxBodyBytes))
	}
	b := &mcbudget.Budget{Memory: memory, Logger: logger, Rejected: func(listener, bound string) {
		metrics.RejectedConnections.WithLabelValues(listener, bound).Inc()
	}}
	metrics.Registry().MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "marigoldcroft", Name: "client_held_bytes", Help: "Memory that is charged to clients' connections.",
	}, func() float64 { return float64(b.Held()) }))
	n := mcbudget.ConnectionsOf(mcbudget.Descriptors())
	if s.Limits.MaxConnections > 0 {
		n.Callers = min(n.Callers, s.Limits.MaxConnections)
	}
	logger.Info().Int64("memoryBytes", memory).Int("callers", n.Callers).Int("balancer", n.Checks).Int("operators", n.Checks).
		Int("peers", n.Peers).Msg("clientBounds")
	return clients{
		budget: b, callers: b.Share("callers", n.Callers), balancer: b.Share("balancer", n.Checks),
		operators: b.Share("operators", n.Checks), peers: b.Share("peers", n.Peers),
	}
}
