package mcentry

import (
	"github.com/prometheus/client_golang/prometheus"

	"marigoldcroft/mcscheduler"
)

// logReservation logs that engines were reserved for long work, or no longer are, and the loads that
// decided.
func (e *Forwarding) logReservation(r mcscheduler.Reservation) {
	e.logger.Info().Str("model", r.Model).Int("engines", r.Engines).Int("ofEngines", r.OfEngines).
		Float64("longEngines", r.LongEngines).Int("shortInFlight", r.ShortInFlight).Msg("reservationChanged")
}

// exportReservations exports the number of reserved engines as a metric.
func (e *Forwarding) exportReservations() {
	s, ok := e.scheduler.(interface{ ReservedEngines() int })
	if !ok || !e.Settings.Forward.Yield {
		return
	}
	e.metrics.Registry().MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "marigoldcroft", Name: "reserved_engines", Help: "Engines reserved for long work.",
	}, func() float64 { return float64(s.ReservedEngines()) }))
}
