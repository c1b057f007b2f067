package mcpeer_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"marigoldcroft"
	"marigoldcroft/mcpeer"
)

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Measures one exchange over loopback, both ends together: CPU time, and bytes on TCP in
// addition to the encoded messages. mcmember.CallOverheadBytes is the estimate of the latter.
func BenchmarkExchange(b *testing.B) {
	id := identity("copo", "lima-1", "entry-001")
	receiver := identity("copo", "lima-1", "entry-002")
	n := startNode(b, receiver, nil, nil)
	pool := &mcpeer.Pool{Identity: id}
	defer pool.Close()
	r := newExchangeRequest(id)
	response, err := pool.Exchange(b.Context(), n.contact(), r)
	require.NoError(b, err)
	before, sent, received, calls := cpuTime(b), pool.ByteCounter().Sent(), pool.ByteCounter().Received(), 0
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), time.Second)
		_, err := pool.Exchange(ctx, n.contact(), r)
		cancel()
		require.NoError(b, err)
		calls++
	}
	bytes := float64(pool.ByteCounter().Sent()-sent+pool.ByteCounter().Received()-received) / float64(calls)
	b.ReportMetric(bytes-float64(proto.Size(r)+proto.Size(response)), "overhead-B/call")
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(calls), "cpu-us/call")
}

// fakeLoader returns load reports without network calls.
type fakeLoader struct{}

func (fakeLoader) Load(_ context.Context, e marigoldcroft.Endpoint) (marigoldcroft.LoadReport, error) {
	now := time.Now()
	return marigoldcroft.LoadReport{
		Endpoint: e.Name(), Incarnation: 1, Time: now, Running: now.Nanosecond() % 60,
		PrefillTokens: now.UnixMicro() % 900_000, KVUsedTokens: now.UnixMicro() % 1_500_000, KVCapacityTokens: 2_000_000,
	}, nil
}

// staticInstanceList is an instance list with fixed contents.
type staticInstanceList struct{ listing marigoldcroft.InstanceListing }

func (l *staticInstanceList) Instances(context.Context) (marigoldcroft.InstanceListing, error) {
	return l.listing, nil
}

// Measures the resources used by each member of a data centre of full size, with real
// connections over loopback and in-flight work that changes all the time. It reports bytes
// on TCP and CPU time of the whole process, divided by the number of members.
func BenchmarkFleet(b *testing.B) {
	const (
		members, endpoints = 37, 67
		settle, measured   = 20 * time.Second, 30 * time.Second
	)
	for b.Loop() {
		list := &staticInstanceList{}
		for i := range endpoints {
			list.listing.Endpoints = append(list.listing.Endpoints, marigoldcroft.ListedEndpoint{
				Name: fmt.Sprintf("caption-%03d", i), DataCentre: "lima-1", Address: "http://e",
			})
		}
		nodes := make([]*node, members)
		for i := range nodes {
			nodes[i] = startNode(b, identity("copo", "lima-1", fmt.Sprintf("entry-%03d", i)), nil, nil)
			list.listing.Instances = append(list.listing.Instances, marigoldcroft.ListedInstance{
				Name: nodes[i].member.Self.Identity.Instance(), DataCentre: "lima-1", PeerAddress: nodes[i].address,
			})
		}
		ctx, cancel := context.WithCancel(b.Context())
		var wait sync.WaitGroup
		for i, n := range nodes {
			n.member.List, n.member.Loader, n.member.Seed = list, fakeLoader{}, uint64(i)
			n.member.InFlight = func() map[string]marigoldcroft.InFlight { return changingInFlight(list) }
			wait.Go(func() { _ = n.member.Run(ctx) })
		}
		time.Sleep(settle)
		before, bytesBefore := cpuTime(b), totalBytes(nodes)
		time.Sleep(measured)
		used, bytes := cpuTime(b)-before, totalBytes(nodes)-bytesBefore
		cancel()
		wait.Wait()
		// Each byte counts as sent by one member and as received by another.
		b.ReportMetric(float64(bytes)/measured.Seconds()/members, "B/s")
		b.ReportMetric(100*used.Seconds()/measured.Seconds()/members, "%core")
		estimated := nodes[0].member.Traffic()
		b.ReportMetric(float64(estimated.SentBytes+estimated.ReceivedBytes)/(settle+measured).Seconds(), "estimated-B/s")
	}
}

func changingInFlight(list *staticInstanceList) map[string]marigoldcroft.InFlight {
	work, now := make(map[string]marigoldcroft.InFlight), time.Now().UnixMicro()
	for i, e := range list.listing.Endpoints {
		work[e.Name] = marigoldcroft.InFlight{Short: int(now) % (i + 3), PrefillTokens: now % int64(1000*(i+50)), KVTokens: now % int64(2000*(i+50))}
	}
	return work
}

func totalBytes(nodes []*node) uint64 {
	total := uint64(0)
	for _, n := range nodes {
		total += n.pool.ByteCounter().Sent() + n.pool.ByteCounter().Received() + n.serverBytes.Sent() + n.serverBytes.Received()
	}
	return total
}
