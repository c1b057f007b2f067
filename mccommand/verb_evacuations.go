package mccommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"marigoldcroft/mcevacuation"
	"marigoldcroft/mcverb"
)

const (
	// reportTimeout limits the call to one instance, and reportCalls the calls at once.
	reportTimeout = 2 * time.Second
	reportCalls   = 16
	// maxReportBytes limits the report of one instance.
	maxReportBytes = 1 << 20
	// maxNamedInstances limits the instances that the list names in a line.
	maxNamedInstances = 8
)

func evacuationsVerb() Verb {
	return Verb{
		Name:    "evacuations",
		Summary: "list the evacuated data centres and the instances that follow",
		Example: "marigoldcroft evacuations --server 10.0.0.2:7003",
		Run:     runEvacuations,
	}
}

func runEvacuations(arguments []string, stdout, stderr io.Writer) int {
	server := defaultServer
	parser := mcverb.NewParser(program, evacuationsVerb())
	parser.String(&server, "s", "server", "admin IP and port of any forwarding instance")
	fail := func(code int, err error) int {
		fmt.Fprintf(stderr, "%s evacuations: %v\n", program, err)
		return code
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return fail(exitUsage, err)
	}
	ctx, cancel := mcverb.SignalContext()
	defer cancel()
	first, err := fetchReport(ctx, server)
	if err != nil {
		return fail(exitFailed, err)
	}
	if !first.Followed {
		return fail(exitFailed, errors.New("the instances do not follow evacuations: forward.evacuationDelay is 0"))
	}
	reports, silent := fetchReports(ctx, first)
	if err := printEvacuations(stdout, reports, silent); err != nil {
		return fail(exitFailed, err)
	}
	if len(silent) > 0 || !agree(reports) {
		return exitNotInForce
	}
	return exitOK
}

// fetchReport asks one instance for its view.
func fetchReport(ctx context.Context, address string) (mcevacuation.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var report mcevacuation.Report
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+mcevacuation.ReportPath, nil)
	if err != nil {
		return report, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, errors.Newf("%s answered with status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, errors.Wrapf(err, "answer of %s", address)
}

// fetchReports asks all instances that the first one knows. It returns their reports, sorted by instance,
// and the names of those that did not answer.
func fetchReports(ctx context.Context, first mcevacuation.Report) (reports []mcevacuation.Report, silent []string) {
	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(reportCalls)
	for instance, address := range first.AdminAddresses {
		calls.Go(func() error {
			report, err := fetchReport(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, instance)
			} else {
				reports = append(reports, report)
			}
			return nil
		})
	}
	// The calls return no errors.
	_ = calls.Wait()
	slices.Sort(silent)
	slices.SortFunc(reports, func(a, b mcevacuation.Report) int { return strings.Compare(a.Instance, b.Instance) })
	return reports, silent
}

// evacuatedIn returns the data centres that are evacuated in the view of the report.
func evacuatedIn(report mcevacuation.Report) map[string]mcevacuation.ReportedCentre {
	centres := make(map[string]mcevacuation.ReportedCentre)
	for _, c := range report.DataCentres {
		centres[c.DataCentre] = c
	}
	return centres
}

// agree reports whether all instances know the evacuations and have the same view of them.
func agree(reports []mcevacuation.Report) bool {
	for _, r := range reports {
		if !r.Known || !maps.EqualFunc(evacuatedIn(r), evacuatedIn(reports[0]), func(_, _ mcevacuation.ReportedCentre) bool { return true }) {
			return false
		}
	}
	return true
}

// printEvacuations writes one row for each data centre that an instance takes to be evacuated.
func printEvacuations(w io.Writer, reports []mcevacuation.Report, silent []string) error {
	names := make(map[string]bool)
	for _, r := range reports {
		for _, c := range r.DataCentres {
			names[c.DataCentre] = true
		}
	}
	t := newTable(w, "DATACENTRE", "SINCE", "RUNNING", "FOLLOWING", "NOT FOLLOWING")
	for _, name := range slices.Sorted(maps.Keys(names)) {
		since, running, following := time.Time{}, 0, 0
		var others []string
		for _, r := range reports {
			c, evacuated := evacuatedIn(r)[name]
			if !evacuated {
				others = append(others, r.Instance)
				continue
			}
			following++
			running += c.Running
			if since.IsZero() || c.Since.Before(since) {
				since = c.Since
			}
		}
		t.row(name, since.UTC().Format(time.RFC3339), running, fmt.Sprintf("%d of %d", following, len(reports)+len(silent)), abbreviate(others))
	}
	if err := t.flush(); err != nil {
		return err
	}
	if len(silent) > 0 {
		fmt.Fprintf(w, "no answer: %s\n", abbreviate(silent))
	}
	return nil
}

// abbreviate returns the first names of a list, and the number of the others.
func abbreviate(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	if len(names) > maxNamedInstances {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamedInstances], " "), len(names)-maxNamedInstances)
	}
	return strings.Join(names, " ")
}
