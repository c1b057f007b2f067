package mcload

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the largest time that a histogram can record, one hour in microseconds.
	histogramMax = int64(3_600_000_000)
	// histogramDigits is the number of significant decimal digits of recorded times.
	histogramDigits = 3
)

type (
	// Report collects the outcomes and latencies of a run.
	Report struct {
		mu sync.Mutex
		// rows is keyed by class name and phase of the run.
		rows    map[rowKey]*rowStats
		skipped int
	}

	rowKey struct {
		class string
		phase Phase
	}

	rowStats struct {
		outcomes      map[Outcome]int
		codes         map[string]int
		attempts      int
		firstToken    *hdrhistogram.Histogram
		sinceArrival  *hdrhistogram.Histogram
		betweenTokens *hdrhistogram.Histogram
	}

	// Row summarises one class in one phase of the run, with times in milliseconds.
	Row struct {
		Class    string          `json:"class"`
		Phase    Phase           `json:"part"`
		Callers  int             `json:"callers"`
		Attempts int             `json:"tries"`
		Outcomes map[Outcome]int `json:"outcomes"`
		Codes    map[string]int  `json:"codes"`
		// FirstToken is the time to first token from the start of the last attempt,
		// SinceArrival from the start of the caller's first attempt. BetweenTokens is the time
		// between two events of a stream. All three cover complete answers only.
		FirstToken    Quantiles `json:"firstTokenMs"`
		SinceArrival  Quantiles `json:"sinceArrivalMs"`
		BetweenTokens Quantiles `json:"betweenTokensMs"`
	}

	// Quantiles are latency percentiles in milliseconds.
	Quantiles struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}
)

func newReport() *Report { return &Report{rows: make(map[rowKey]*rowStats)} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// addSkipped counts a caller that the generator did not start.
func (r *Report) addSkipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped++
}

// add records the final result of one caller and its number of attempts.
func (r *Report) add(class string, phase Phase, result attemptResult, attempts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := rowKey{class: class, phase: phase}
	stats, ok := r.rows[key]
	if !ok {
		stats = &rowStats{outcomes: make(map[Outcome]int), codes: make(map[string]int), firstToken: newHistogram(), sinceArrival: newHistogram(), betweenTokens: newHistogram()}
		r.rows[key] = stats
	}
	stats.outcomes[result.outcome]++
	stats.attempts += attempts
	if result.code != "" {
		stats.codes[result.code]++
	}
	if result.outcome == OutcomeComplete {
		record(stats.firstToken, result.firstToken)
		record(stats.sinceArrival, result.sinceArrival)
		for _, gap := range result.eventGaps {
			record(stats.betweenTokens, gap)
		}
	}
}

// record adds a time to a histogram. A time above histogramMax counts as histogramMax.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	if h.RecordValue(d.Microseconds()) != nil {
		// histogramMax itself is always in range.
		_ = h.RecordValue(histogramMax)
	}
}

// Rows returns the rows, sorted by class and phase.
func (r *Report) Rows() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]Row, 0, len(r.rows))
	for key, stats := range r.rows {
		row := Row{
			Class: key.class, Phase: key.phase, Attempts: stats.attempts, Outcomes: stats.outcomes, Codes: stats.codes,
			FirstToken: quantiles(stats.firstToken), SinceArrival: quantiles(stats.sinceArrival), BetweenTokens: quantiles(stats.betweenTokens),
		}
		for _, n := range stats.outcomes {
			row.Callers += n
		}
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Class != rows[j].Class {
			return rows[i].Class < rows[j].Class
		}
		return phaseOrder[rows[i].Phase] < phaseOrder[rows[j].Phase]
	})
	return rows
}

// phaseOrder sorts the phases of a run by time.
var phaseOrder = map[Phase]int{PhaseBase: 0, PhaseRamp: 1, PhasePeak: 2, PhaseAfter: 3}

// Row returns the row of a class in one phase of the run. Its counts are zero if the class
// had no callers then.
func (r *Report) Row(class string, phase Phase) Row {
	for _, row := range r.Rows() {
		if row.Class == class && row.Phase == phase {
			return row
		}
	}
	return Row{Class: class, Phase: phase}
}

// Skipped returns the number of callers that were not started because MaxCallers were
// already active.
func (r *Report) Skipped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.skipped
}

// quantiles returns the percentiles of a histogram of microseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsecondsPerMs = 1000.0
	atPercentile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsecondsPerMs }
	return Quantiles{P50: atPercentile(50), P95: atPercentile(95), P99: atPercentile(99)}
}

// WriteTable writes the rows as an aligned text table.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tpart\tcallers\ttries\twhole\trefused\tfailed\tbroken promises\tfirst token p50 ms\tp95\tp99\tsince arrival p95\tcodes\t")
	for _, row := range r.Rows() {
		broken := row.Outcomes[OutcomeWrongPrompt] + row.Outcomes[OutcomeTruncated] + row.Outcomes[OutcomeNoAnswer]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%v\t\n", row.Class, row.Phase, row.Callers, row.Attempts,
			row.Outcomes[OutcomeComplete], row.Outcomes[OutcomeRefused], row.Outcomes[OutcomeFailed], broken,
			row.FirstToken.P50, row.FirstToken.P95, row.FirstToken.P99, row.SinceArrival.P95, row.Codes)
	}
	return table.Flush()
}

// WriteJSON writes the rows and the number of skipped callers as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(map[string]any{"rows": r.Rows(), "skipped": r.Skipped()})
}
