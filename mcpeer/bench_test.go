package mcpeer_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"marigoldcroft/mcpeer"
)

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Reports what one exchange costs both ends together over loopback: processor time,
// and bytes on TCP beyond the encoded messages, which mcmember.MessageOverhead stands
// for.
func BenchmarkExchange(b *testing.B) {
	id := identity("copo", "lima-1", "entry-001")
	receiver := identity("copo", "lima-1", "entry-002")
	n := start(b, receiver, nil, nil)
	pool := &mcpeer.Pool{Identity: id}
	defer pool.Close()
	r := request(id)
	answer, err := pool.Exchange(b.Context(), n.contact(), r)
	require.NoError(b, err)
	before, sent, received, calls := processorTime(b), pool.Bytes().Sent(), pool.Bytes().Received(), 0
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), time.Second)
		_, err := pool.Exchange(ctx, n.contact(), r)
		cancel()
		require.NoError(b, err)
		calls++
	}
	bytes := float64(pool.Bytes().Sent()-sent+pool.Bytes().Received()-received) / float64(calls)
	b.ReportMetric(bytes-float64(proto.Size(r)+proto.Size(answer)), "overhead-B/call")
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(calls), "cpu-us/call")
}
