package mcjob

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

const (
	// DefaultRetention is how long the result of an ended job is kept.
	DefaultRetention = time.Hour
	// sweepInterval is the pause between two passes over the owned shards.
	sweepInterval = 5 * time.Second
	callTimeout   = 2 * time.Second
	// settleLimit bounds the reading back of a write whose answer was lost.
	settleLimit = 10 * time.Second
	settlePause = 200 * time.Millisecond
)

type (
	// Membership is what the daemon knows of the instances.
	Membership interface {
		// Gone tells whether the run owner, in the form instance/incarnation, has ended.
		// It is false when this is not known: a job of a run that is only unreachable stays with it.
		Gone(owner string) bool
		// OwnsShard tells whether this instance comes first for the shard (rendezvous).
		// Two instances that both think so cause extra claims but no double write.
		OwnsShard(shard int) bool
	}

	// Jobs accepts, finds and runs durable jobs. Set the exported fields before use.
	Jobs struct {
		Store    marigoldcroft.ObjectStore
		Identity marigoldcroft.Identity
		Members  Membership
		Runner   marigoldcroft.JobRunner
		// WritesPerSecond is this instance's share of the jobs' write budget.
		WritesPerSecond float64
		// Concurrency bounds the jobs that run here at once.
		Concurrency int
		Retention   time.Duration
		Logger      zerolog.Logger

		initOnce sync.Once
		budget   *rate.Limiter
		// slots has one place for each job that runs here.
		slots chan struct{}
		wake  chan struct{}

		mu sync.Mutex
		// held maps the ids of claimed jobs to the cancellation of their run.
		held map[string]context.CancelCauseFunc
		// unconfirmed holds jobs whose claim may have been written.
		unconfirmed map[string]bool
		draining    bool
		running     sync.WaitGroup

		claims, lost atomic.Uint64
	}

	// stored is a record with the version that was read or written.
	stored struct {
		Record
		version marigoldcroft.Version
	}
)

var (
	_ marigoldcroft.JobCommand = (*Jobs)(nil)
	_ marigoldcroft.JobQuery   = (*Jobs)(nil)

	// errReleased ends the run of a job at a planned stop, errSuperseded that of a job
	// whose record another run has changed.
	errReleased   = errors.New("the instance stops")
	errSuperseded = errors.New("the job has another owner or has ended")
	// errConflict is the outcome of a write that another one came before.
	errConflict = errors.New("the object has changed")
)

func (j *Jobs) init() {
	j.initOnce.Do(func() {
		if j.WritesPerSecond <= 0 {
			j.WritesPerSecond = 10
		}
		if j.Concurrency <= 0 {
			j.Concurrency = 16
		}
		if j.Retention <= 0 {
			j.Retention = DefaultRetention
		}
		const burstSeconds = 4
		// The burst holds the chunks of the largest prompt at least.
		burst := max(int(j.WritesPerSecond*burstSeconds), maxBodyBytes/chunkBytes+8)
		j.budget = rate.NewLimiter(rate.Limit(j.WritesPerSecond), burst)
		j.slots = make(chan struct{}, j.Concurrency)
		j.wake = make(chan struct{}, 1)
		j.held = make(map[string]context.CancelCauseFunc)
		j.unconfirmed = make(map[string]bool)
	})
}

// read returns the job's record.
func (j *Jobs) read(ctx context.Context, id string) (stored, error) {
	key, ok := jobKey(id)
	if !ok {
		return stored{}, marigoldcroft.NewFailure("job "+id, KindNotFound, errors.New("the id is malformed"))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := j.Store.Get(ctx, key)
	if mcstore.IsNotFound(err) {
		return stored{}, marigoldcroft.NewFailure("job "+id, KindNotFound, nil)
	}
	if err != nil {
		return stored{}, marigoldcroft.NewFailure("job "+id, KindUnavailable, err)
	}
	record, err := decodeRecord(id, object.Value())
	return stored{Record: record, version: object.Version()}, err
}

// write stores value if the version is expected, and settles a lost answer by reading
// the write id back. It returns errConflict when another write came first.
func (j *Jobs) write(ctx context.Context, key string, value []byte, expected marigoldcroft.Version) (marigoldcroft.Version, error) {
	writeID := uuid.NewString()
	limit := time.Now().Add(settleLimit)
	mayHave := false
	for {
		version, err := j.put(ctx, key, value, expected, writeID)
		if err == nil {
			return version, nil
		}
		mayHave = mayHave || mcstore.IsUnknown(err)
		if !mayHave && !mcstore.IsConflict(err) {
			return "", marigoldcroft.NewFailure("write "+key, KindUnavailable, err)
		}
		object, readErr := j.get(ctx, key)
		switch {
		case readErr == nil && object.WriteID() == writeID && bytes.Equal(object.Value(), value):
			return object.Version(), nil
		case readErr == nil && object.Version() != expected:
			return "", errConflict
		case mcstore.IsNotFound(readErr) && expected != "":
			return "", errConflict
		case ctx.Err() != nil || time.Now().After(limit):
			return "", marigoldcroft.NewFailure("write "+key, KindUnknown, err)
		}
		pause(ctx, settlePause)
	}
}

func (j *Jobs) put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return j.Store.Put(ctx, key, value, expected, writeID)
}

func (j *Jobs) get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return j.Store.Get(ctx, key)
}

// update writes a changed record of the job over the version that was read.
func (j *Jobs) update(ctx context.Context, from stored, change func(*Record)) (stored, error) {
	key, _ := jobKey(from.ID)
	next := from.Record
	change(&next)
	raw, err := encodeRecord(next)
	if err != nil {
		return stored{}, marigoldcroft.NewFailure("write "+key, KindInvalid, err)
	}
	version, err := j.write(ctx, key, raw, from.version)
	return stored{Record: next, version: version}, err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// logJob writes one line for an event of a job.
func (j *Jobs) logJob(event, id string, epoch uint64, err error) {
	line := j.Logger.Info()
	if err != nil {
		line = j.Logger.Warn().Err(err)
	}
	line.Str("job", id).Str("epoch", fmt.Sprint(epoch)).Msg(event)
}
