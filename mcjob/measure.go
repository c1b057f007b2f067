package mcjob

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcstore"
)

const (
	// tokenBytes is the average text length of a token, the same estimate that the
	// scheduler uses.
	tokenBytes = 4
	// vocabularySize is the number of distinct words in generated bodies.
	vocabularySize = 4096
	measureTimeout = 10 * time.Minute
)

type (
	// MeasureResult holds the store calls and bytes of one job from its submission to
	// its removal. One sweep runs while the job runs and one after its end.
	MeasureResult struct {
		// BodyBytes is the size of the body before compression.
		BodyBytes int
		// PromptChunks and AnswerChunks are the numbers of stored chunks.
		PromptChunks, AnswerChunks int
		// Counts includes the list calls of the sweeps, whose cost all jobs of a shard
		// share.
		Counts Counts
	}

	// runnerFunc implements marigoldcroft.JobRunner by a function.
	runnerFunc func(ctx context.Context, status marigoldcroft.JobStatus) (string, error)

	// simulatedPeers owns all shards if sweeps is true. Its function hasEnded reports
	// whether the other instance is known to be dead.
	simulatedPeers struct {
		sweeps   bool
		hasEnded func() bool
	}
)

func (f runnerFunc) RunJob(ctx context.Context, status marigoldcroft.JobStatus, _ []byte) (string, error) {
	return f(ctx, status)
}

func (p simulatedPeers) Owns(int) bool { return p.sweeps }

func (p simulatedPeers) HasEnded(string, uint64) bool { return p.hasEnded() }

func neverEnded() bool { return false }

// randomText returns words drawn uniformly from a vocabulary, which compress worse than
// prose.
func randomText(tokens int, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, seed))
	words := make([]string, vocabularySize)
	for i := range words {
		word := make([]byte, 2+random.IntN(8))
		for k := range word {
			word[k] = 'a' + byte(random.IntN(26))
		}
		words[i] = string(word)
	}
	var b strings.Builder
	for b.Len() < tokens*tokenBytes {
		b.WriteString(words[random.IntN(vocabularySize)])
		b.WriteByte(' ')
	}
	return b.String()[:tokens*tokenBytes]
}

// Measure runs one job with a body and an answer of the given numbers of tokens over an
// in-memory store, and counts its store calls.
func Measure(ctx context.Context, bodyTokens, answerTokens int, seed uint64) (MeasureResult, error) {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	j := &Jobs{
		Store:    &mcstore.Memory{},
		Identity: marigoldcroft.NewIdentity("measure", "region", "dataCentre", "instance", time.Now(), 0),
		Peers:    simulatedPeers{hasEnded: neverEnded},
	}
	ended := make(chan error, 1)
	j.Runner = runnerFunc(func(ctx context.Context, status marigoldcroft.JobStatus) (string, error) {
		ended <- j.sweepShardOf(ctx, status.ID)
		return randomText(answerTokens, seed+1), nil
	})
	go j.Run(ctx)
	body := randomText(bodyTokens, seed)
	status, err := j.Submit(ctx, marigoldcroft.JobSubmission{
		Team: "team", Template: "template", Key: "key", Deadline: time.Now().Add(measureTimeout), Body: []byte(body),
	})
	if err != nil {
		return MeasureResult{}, err
	}
	if err := <-ended; err != nil {
		return MeasureResult{}, err
	}
	for j.Counts().Running > 0 {
		if !mcclock.Sleep(ctx, time.Millisecond) {
			return MeasureResult{}, ctx.Err()
		}
	}
	if err := j.sweepShardOf(ctx, status.ID); err != nil {
		return MeasureResult{}, err
	}
	shard := j.shards[shardOf(status.ID)]
	job := shard.known[jobKey(status.ID)]
	if err := j.removeJob(ctx, job); err != nil {
		return MeasureResult{}, err
	}
	return MeasureResult{
		BodyBytes: len(body), PromptChunks: job.document.Prompt.Count, AnswerChunks: job.document.Answers.Count,
		Counts: j.Counts(),
	}, nil
}

func (j *Jobs) sweepShardOf(ctx context.Context, id string) error {
	return j.sweepOnce(ctx, j.shards[shardOf(id)])
}

// MeasureTakeover returns the time from the death of an owner to the start of its job
// at another instance. That instance learns of the death after detection. The death
// occurs phase after the sweeper starts.
func MeasureTakeover(ctx context.Context, detection, phase time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	store := &mcstore.Memory{}
	started := make(chan time.Time, 2)
	run := runnerFunc(func(ctx context.Context, _ marigoldcroft.JobStatus) (string, error) {
		started <- time.Now()
		<-ctx.Done()
		return "", ctx.Err()
	})
	death := time.Now().Add(phase)
	hasEnded := func() bool { return time.Now().After(death.Add(detection)) }
	newJobs := func(instance string, sweeps bool) *Jobs {
		return &Jobs{
			Store: store, Runner: run, Peers: simulatedPeers{sweeps, hasEnded},
			Identity: marigoldcroft.NewIdentity("measure", "region", "dataCentre", instance, time.Now(), 0),
		}
	}
	failing, successor := newJobs("dying", false), newJobs("heir", true)
	life, kill := context.WithDeadline(ctx, death)
	defer kill()
	go failing.Run(life)
	go successor.Run(ctx)
	_, err := failing.Submit(ctx, marigoldcroft.JobSubmission{
		Team: "team", Template: "template", Deadline: time.Now().Add(measureTimeout), Body: []byte("body"),
	})
	if err != nil {
		return 0, err
	}
	<-started
	select {
	case at := <-started:
		return at.Sub(death), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}
