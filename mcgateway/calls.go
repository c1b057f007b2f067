package mcgateway

import (
	"sync"
	"time"

	"marigoldcroft/mcscheduler"
)

// callTable holds the times of the calls of each plain service.
type callTable struct {
	mu       sync.Mutex
	epoch    time.Time
	services map[string]*mcscheduler.CallTimes
}

// measure runs a call of the service that is sent to the endpoint first. The call returns
// whether it succeeded.
func (t *callTable) measure(service, endpoint string, call func() bool) {
	times, begun := t.begin(service, endpoint)
	succeeded := false
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		times.End(begun, endpoint)
		if succeeded {
			times.Observe(time.Since(t.epoch) - begun)
		}
	}()
	succeeded = call()
}

func (t *callTable) begin(service, endpoint string) (times *mcscheduler.CallTimes, begun time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services == nil {
		t.epoch, t.services = time.Now(), make(map[string]*mcscheduler.CallTimes)
	}
	times = t.services[service]
	if times == nil {
		times = &mcscheduler.CallTimes{}
		t.services[service] = times
	}
	begun = time.Since(t.epoch)
	times.Begin(begun, endpoint)
	return times, begun
}

// timeForStop returns the time that a call of the service needs before the end of a planned
// stop, or 0 if nothing is known.
func (t *callTable) timeForStop(service string, endpoints int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.services[service]
	if times == nil {
		return 0
	}
	return times.PredictForStop(time.Since(t.epoch), endpoints)
}
