package mcemulate

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"marigoldcroft"
)

// Error kinds of the package.
const (
	KindDecode  Kind = "malformed experiment"
	KindInvalid Kind = "invalid experiment"
	KindRun     Kind = "cannot run"
)

type (
	// Kind classifies the errors of the package.
	Kind string
	// Error is the error type of the package.
	Error = marigoldcroft.Failure[Kind]

	// File is an experiment file. It lists the scheduling policies to compare and the
	// deployment and load to compare them on. Fields are exported because the YAML codec and
	// the validator can access only exported fields.
	File struct {
		Policies  []string      `yaml:"policies" validate:"min=1,max=16"`
		Seeds     []uint64      `yaml:"seeds" validate:"min=1,max=64"`
		Engines   int           `yaml:"engines" validate:"min=1,max=1000"`
		Instances int           `yaml:"instances" validate:"min=1,max=400"`
		Lag       time.Duration `yaml:"lag" validate:"min=0,max=1m"`
		// ReportDelay and NetworkDelay are as in Experiment.
		ReportDelay  time.Duration `yaml:"reportDelay" validate:"min=0,max=1m"`
		NetworkDelay time.Duration `yaml:"networkDelay" validate:"min=0,max=1s"`
		// Yield lists the values of forward.yield to compare; empty means false only.
		Yield   []bool          `yaml:"yield" validate:"max=2"`
		Losses  []LossSpec      `yaml:"losses" validate:"max=16,dive"`
		Length  time.Duration   `yaml:"length" validate:"min=1s,max=1h"`
		Figures EngineSpec      `yaml:"figures"`
		Classes []ClassSpec     `yaml:"classes" validate:"min=1,max=16,dive"`
		Slow    map[int]float64 `yaml:"slow"`
	}

	// EngineSpec holds the published performance figures that all engines share.
	EngineSpec struct {
		Slots                  int           `yaml:"slots" validate:"min=1,max=1024"`
		MemoryTokens           int64         `yaml:"memoryTokens" validate:"min=1"`
		StepTime               time.Duration `yaml:"stepTime" validate:"min=1us,max=1s"`
		StepTimePerRequest     time.Duration `yaml:"stepTimePerRequest" validate:"min=0,max=1s"`
		PrefillTokensPerSecond float64       `yaml:"prefillTokensPerSecond" validate:"gt=0"`
		PrefillTimePerMegaPair time.Duration `yaml:"prefillTimePerMegaPair" validate:"min=0,max=1s"`
		ChunkTokens            int           `yaml:"chunkTokens" validate:"min=1"`
		Stride                 int           `yaml:"stride" validate:"min=1,max=1000"`
	}

	// ClassSpec describes one class of requests; Class explains the fields.
	ClassSpec struct {
		Name string `yaml:"name" validate:"required,max=64"`
		// Rates are the arrival rates in order of time; each applies until the next one begins.
		Rates     []RateChange  `yaml:"rates" validate:"min=1,max=64,dive"`
		Prompt    float64       `yaml:"prompt" validate:"gt=0"`
		Output    float64       `yaml:"output" validate:"gt=0"`
		MaxPrompt float64       `yaml:"maxPrompt" validate:"min=0"`
		Spread    float64       `yaml:"spread" validate:"min=0,max=3"`
		Objective time.Duration `yaml:"objective" validate:"gt=0"`
		MaxPause  time.Duration `yaml:"maxPause" validate:"gt=0"`
		Deadline  time.Duration `yaml:"deadline" validate:"gt=0"`
		Team      string        `yaml:"team" validate:"max=64"`
		Rank      int           `yaml:"rank" validate:"min=0,max=16"`
		LateShare float64       `yaml:"lateShare" validate:"min=0,max=1"`
		Retries   int           `yaml:"retries" validate:"min=0,max=100"`
		Patience  time.Duration `yaml:"patience" validate:"min=0"`
	}

	// LossSpec describes the loss of engines; Loss explains the fields.
	LossSpec struct {
		At      time.Duration `yaml:"at" validate:"min=0"`
		Engines int           `yaml:"engines" validate:"min=1,max=1000"`
	}

	// RateChange is an arrival rate in requests per second that applies from a given time.
	RateChange struct {
		From      time.Duration `yaml:"from" validate:"min=0"`
		PerSecond float64       `yaml:"perSecond" validate:"min=0,max=500"`
	}
)

// Decode parses and validates an experiment file. An unknown field is an error that gives
// the line number.
func Decode(text []byte) (File, error) {
	var f File
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(&f); err != nil {
		return File{}, marigoldcroft.NewFailure("decode", KindDecode, errors.New(yaml.FormatError(err, false, true)))
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(f); err != nil {
		return File{}, marigoldcroft.NewFailure("check", KindInvalid, err)
	}
	return f, nil
}

// rateAt returns the arrival rate at the given time; it is 0 before the first rate begins.
func (c ClassSpec) rateAt(at time.Duration) float64 {
	rate := 0.0
	for _, r := range c.Rates {
		if at >= r.From {
			rate = r.PerSecond
		}
	}
	return rate
}

// experiment returns the experiment that runs one policy with one seed.
func (f File) experiment(policy string, yield bool, seed uint64) Experiment {
	x := Experiment{
		Policy: policy, Engines: f.Engines, Instances: f.Instances, ReportInterval: f.Lag, Length: f.Length, Seed: seed, Slowdown: f.Slow,
		ReportDelay: f.ReportDelay, NetworkDelay: f.NetworkDelay, Yield: yield,
		Figures: marigoldcroft.EnginePerformance{
			Slots: f.Figures.Slots, MemoryTokens: f.Figures.MemoryTokens, StepTime: f.Figures.StepTime,
			StepTimePerRequest: f.Figures.StepTimePerRequest, PrefillTokensPerSecond: f.Figures.PrefillTokensPerSecond,
			PrefillTimePerMegaPair: f.Figures.PrefillTimePerMegaPair, ChunkTokens: f.Figures.ChunkTokens, StepsPerPass: f.Figures.Stride,
		},
	}
	for _, c := range f.Classes {
		x.Classes = append(x.Classes, Class{
			Name: c.Name, ArrivalRate: c.rateAt, Prompt: c.Prompt, Output: c.Output, MaxPrompt: c.MaxPrompt, LogDeviation: c.Spread,
			Objective: c.Objective, MaxPause: c.MaxPause, Deadline: c.Deadline,
			Team: c.Team, Rank: c.Rank, LateShare: c.LateShare, Retries: c.Retries, Patience: c.Patience,
		})
	}
	for _, l := range f.Losses {
		x.Losses = append(x.Losses, Loss(l))
	}
	return x
}

// Compare runs every policy with every seed and writes the results as a Markdown table. Late
// answers have their first token after the objective; paused ones have a pause above MaxPause.
func (f File) Compare(w io.Writer) error {
	fmt.Fprintln(w, "| policy | seed | class | asked | on time | earned | served | late | paused | refused | first token p50 | p95 |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	yields := f.Yield
	if len(yields) == 0 {
		yields = []bool{false}
	}
	for _, policy := range f.Policies {
		for _, yield := range yields {
			for _, seed := range f.Seeds {
				results, err := f.experiment(policy, yield, seed).Run()
				if err != nil {
					return marigoldcroft.NewFailure("run "+policy, KindRun, err)
				}
				label := policy
				if yield {
					label += ", yield"
				}
				for _, r := range results {
					fmt.Fprintf(w, "| %s | %d | %s | %d | %.3f | %.3f | %d | %d | %d | %d | %s | %s |\n", label, seed, r.Class, r.Requests, r.OnTimeShare(), r.ValueShare(),
						r.Served, r.Served-r.OnTime-r.Paused, r.Paused, r.Refused, r.FirstP50.Round(time.Millisecond), r.FirstP95.Round(time.Millisecond))
				}
			}
		}
	}
	return nil
}
