package mcledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

type (
	// MeasureConfig configures a measurement of the store writes per action.
	MeasureConfig struct {
		// Concurrency is the number of concurrent callers, each of which runs one action at
		// a time.
		Concurrency int
		Actions     int
		// Shards is the number of shards over which the keys are spread, up to ShardCount.
		Shards int
		// StoreLatency is the latency of each store call.
		StoreLatency time.Duration
		// WritesPerSecond is the rate limit of this instance's store writes; 0 means no
		// limit.
		WritesPerSecond float64
	}

	// MeasureResult holds the results of one measurement.
	MeasureResult struct {
		Actions int
		// Failed counts actions whose intent or outcome was not recorded.
		Failed int
		// Writes and WriteBytes count stored heads and segments.
		Writes, WriteBytes uint64
		Elapsed            time.Duration
		// P50 and P99 are percentiles of the time that Begin and Finish of an action take
		// together.
		P50, P99 time.Duration
	}

	// slowStore delays each call of the store that it wraps.
	slowStore struct {
		marigoldcroft.ObjectStore
		delay time.Duration
	}
)

// WritesPerAction returns the store writes per action.
func (r MeasureResult) WritesPerAction() float64 { return float64(r.Writes) / float64(r.Actions) }

func (s slowStore) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	time.Sleep(s.delay)
	return s.ObjectStore.Get(ctx, key)
}

func (s slowStore) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	time.Sleep(s.delay)
	return s.ObjectStore.Put(ctx, key, value, expected, writeID)
}

// Measure runs actions through a ledger with an in-memory store and counts the ledger's
// store writes.
func Measure(ctx context.Context, cfg MeasureConfig) MeasureResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ledger := &Ledger{
		Store: mcstore.NewClient(mcstore.ClientConfig{
			Store: slowStore{&mcstore.Memory{}, cfg.StoreLatency}, WritesPerSecond: cfg.WritesPerSecond,
		}),
		Identity: marigoldcroft.NewIdentity("measure", "region", "dataCentre", "instance", time.Now(), 0),
	}
	go ledger.Run(ctx)
	const maxMicroseconds = 60_000_000
	times := hdrhistogram.New(1, maxMicroseconds, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var next, failed atomic.Int64
	start := time.Now()
	for range cfg.Concurrency {
		wg.Go(func() {
			for next.Add(1) <= int64(cfg.Actions) {
				began := time.Now()
				if !measureAction(ctx, ledger, cfg.Shards) {
					failed.Add(1)
				}
				mu.Lock()
				_ = times.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	counts := ledger.Counts()
	return MeasureResult{
		Actions: cfg.Actions, Failed: int(failed.Load()), Writes: counts.Writes, WriteBytes: counts.WriteBytes,
		Elapsed: time.Since(start),
		P50:     time.Duration(times.ValueAtQuantile(50)) * time.Microsecond,
		P99:     time.Duration(times.ValueAtQuantile(99)) * time.Microsecond,
	}
}

func measureAction(ctx context.Context, ledger *Ledger, shards int) bool {
	var key marigoldcroft.ActionKey
	for found := false; !found; found = Shard(key) < shards {
		id, err := uuid.NewV7()
		if err != nil {
			return false
		}
		key = marigoldcroft.NewActionKey("team", "orders", id.String())
	}
	grant, err := ledger.Begin(ctx, key, [32]byte{1})
	if err != nil || !grant.Granted {
		return false
	}
	outcome := marigoldcroft.ActionOutcome{Status: 200, ContentType: "application/json", Body: []byte(`{"booked":true}`)}
	return ledger.Finish(ctx, key, grant.AttemptID, marigoldcroft.ActionDone, outcome) == nil
}
