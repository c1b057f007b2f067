package mcforward_test

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// cpu returns the CPU time used by this process.
func cpu(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkForward measures a request and its response. The CPU time is that of the
// instance, the caller and the server together, as they share the process.
func BenchmarkForward(b *testing.B) {
	benchmarkForward(b, "/once/x", 0)
}

// BenchmarkForwardStream measures a stream of 200 events without pauses between them.
func BenchmarkForwardStream(b *testing.B) {
	benchmarkForward(b, "/stream/x", 200)
}

func benchmarkForward(b *testing.B, path string, events int) {
	bed := newTestBed(b, 2)
	for _, s := range bed.servers {
		s.Events, s.EventInterval = events, 0
	}
	started := cpu(b)
	for b.Loop() {
		response, err := bed.client.Do(bed.request(http.MethodGet, path, ""))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(response.StatusCode, err)
		}
		response.Body.Close()
	}
	b.ReportMetric(float64(cpu(b)-started)/float64(b.N)/1e3, "cpu-µs/op")
	if events > 0 {
		b.ReportMetric(float64(cpu(b)-started)/float64(b.N)/float64(events)/1e3, "cpu-µs/event")
	}
}
