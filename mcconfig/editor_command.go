package mcconfig

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// maxChanges limits the number of objects in one call of Apply.
	maxChanges = 1000
	// maxAttempts limits how often a change is retried because a concurrent change of
	// other objects was accepted first.
	maxAttempts = 16
	// editTimeout is the time limit of one change, including the time to resolve lost
	// responses.
	editTimeout = 15 * time.Second
)

// The possible effects of a change on an object.
const (
	ActionCreated   Action = "created"
	ActionChanged   Action = "changed"
	ActionDeleted   Action = "deleted"
	ActionUnchanged Action = "unchanged"
)

type (
	// Action is the effect of a change on an object.
	Action string

	// Change is the requested content of one object.
	Change struct {
		Name ObjectName
		// Object is the content; it is empty for a deletion.
		Object Object
		// Expected is the revision that the object must have; 0 means that it must not
		// exist. If Expected is nil, the revision found by the first attempt is used.
		Expected *uint64
	}

	// Outcome is the effect of a change on one object.
	Outcome struct {
		ObjectName
		Action Action `json:"action"`
		// Revision is the object's revision after the change.
		Revision uint64      `json:"revision"`
		Diff     []FieldDiff `json:"diff,omitempty"`
	}

	// Result describes an accepted change or, in a dry run, one that would be accepted.
	Result struct {
		// Revision is the configuration revision that holds the change.
		Revision uint64    `json:"revision"`
		DryRun   bool      `json:"dryRun,omitempty"`
		Outcomes []Outcome `json:"outcomes"`
		// RewrittenPages lists the pages that were missing or malformed in the store and were
		// rewritten with the last valid content known to this instance.
		RewrittenPages []int `json:"healed,omitempty"`
	}

	// Editor changes the stored configuration. Any number of editors, also in different
	// instances, may be used concurrently.
	Editor struct {
		Store    marigoldcroft.ObjectStore
		Follower *Follower
	}

	// baseConfig is the stored configuration that a change is based on.
	baseConfig struct {
		snapshot *Snapshot
		version  marigoldcroft.Version
		// corrupt lists the pages of the stored head that are missing or malformed.
		corrupt []int
	}
)

// Apply stores all contents in one atomic change. In a dry run it only returns the
// result that the change would have.
func (e *Editor) Apply(ctx context.Context, changes []Change, dryRun bool) (Result, error) {
	changes = slices.Clone(changes)
	for i := range changes {
		changes[i].Object = changes[i].Object.normalized()
	}
	if err := checkChanges(changes); err != nil {
		return Result{}, marigoldcroft.NewFailure("apply", KindInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	expectedRevisions := make(map[ObjectName]uint64, len(changes))
	for _, c := range changes {
		if c.Expected != nil {
			expectedRevisions[c.Name] = *c.Expected
		}
	}
	for range maxAttempts {
		from, err := e.loadBase(ctx)
		if err != nil {
			return Result{}, err
		}
		result, done, err := e.attempt(ctx, from, changes, expectedRevisions, dryRun)
		if done || err != nil {
			return result, err
		}
	}
	return Result{}, marigoldcroft.NewFailure("apply", KindConflict,
		errors.Newf("other changes came first %d times", maxAttempts))
}

// Delete deletes the object. expected has the meaning of Change.Expected.
func (e *Editor) Delete(ctx context.Context, name ObjectName, expected *uint64, dryRun bool) (Result, error) {
	from, err := e.loadBase(ctx)
	if err != nil {
		return Result{}, err
	}
	if entry, ok := from.snapshot.entry(name); !ok || entry.Deleted {
		return Result{}, marigoldcroft.NewFailure("delete "+name.String(), KindNotFound, nil)
	}
	return e.Apply(ctx, []Change{{Name: name, Expected: expected}}, dryRun)
}

// Rollback stores the content that the object had at the revision to as a new change.
func (e *Editor) Rollback(ctx context.Context, name ObjectName, to uint64, dryRun bool) (Result, error) {
	operation := fmt.Sprintf("rollback %s to %d", name, to)
	from, err := e.loadBase(ctx)
	if err != nil {
		return Result{}, err
	}
	entry, ok := from.snapshot.entry(name)
	if !ok {
		return Result{}, marigoldcroft.NewFailure(operation, KindNotFound, nil)
	}
	expected := entry.Revision
	for entry.Revision > to {
		if entry, err = previous(ctx, e.Store, entry); err != nil {
			return Result{}, err
		}
		if entry.Revision == 0 {
			return Result{}, marigoldcroft.NewFailure(operation, KindNotFound, errors.New("the object did not exist"))
		}
	}
	return e.Apply(ctx, []Change{{Name: name, Object: entry.Object, Expected: &expected}}, dryRun)
}

// checkChanges validates the number of changes and each object by itself.
func checkChanges(changes []Change) error {
	if len(changes) == 0 || len(changes) > maxChanges {
		return errors.Newf("%d objects are given; 1 to %d are allowed", len(changes), maxChanges)
	}
	seen := make(map[ObjectName]bool, len(changes))
	for _, c := range changes {
		if seen[c.Name] {
			return errors.Newf("%s stands here twice", c.Name)
		}
		seen[c.Name] = true
		if c.isDeletion() {
			continue
		}
		if err := c.Object.check(); err != nil {
			return errors.Wrap(err, c.Name.String())
		}
		if c.Object.ID() != c.Name {
			return errors.Newf("%s has the content of %s", c.Name, c.Object.ID())
		}
	}
	return nil
}

func (c Change) isDeletion() bool { return c.Object.Template == nil && c.Object.Team == nil }

// loadBase returns the configuration in the store. It first repairs a store that is
// behind the current snapshot, so that no change is based on an older configuration.
func (e *Editor) loadBase(ctx context.Context) (baseConfig, error) {
	for range maxAttempts {
		// newest is read before the head, so that a head that is accepted between the two
		// reads does not make the store look behind.
		newest := e.Follower.newest.Load()
		head, version, err := readHead(ctx, e.Store)
		if err != nil {
			return baseConfig{}, marigoldcroft.NewFailure("read head", KindUnavailable, err)
		}
		switch current := e.Follower.currentSnapshot(); {
		case e.Follower.isStoreBehind(head):
			if err := e.Follower.repair(ctx); err != nil {
				return baseConfig{}, marigoldcroft.NewFailure("repair store", KindUnavailable, err)
			}
		case head.Revision < newest:
			return baseConfig{}, marigoldcroft.NewFailure("read head", KindUnavailable,
				errors.Newf("the store has revision %d, peers have %d, which is not in force here yet", head.Revision, newest))
		case head.Revision == current.Revision():
			return baseConfig{snapshot: current, version: version}, nil
		default:
			if err := e.Follower.applyHead(ctx, head); err == nil {
				continue
			}
			snapshot, corrupt, err := e.Follower.loadSkippingCorrupt(ctx, current, head)
			if err != nil {
				return baseConfig{}, marigoldcroft.NewFailure("read pages", KindUnavailable, err)
			}
			return baseConfig{snapshot: snapshot, version: version, corrupt: sortedKeys(corrupt)}, nil
		}
	}
	return baseConfig{}, marigoldcroft.NewFailure("read head", KindUnavailable, errors.New("the head keeps changing"))
}

// attempt tries to apply the changes to a base. It returns false if a concurrent change
// was accepted first.
func (e *Editor) attempt(ctx context.Context, from baseConfig, changes []Change, expectedRevisions map[ObjectName]uint64, dryRun bool) (Result, bool, error) {
	outcomes, err := planOutcomes(from.snapshot, changes, expectedRevisions)
	if err != nil {
		return Result{}, false, err
	}
	result := Result{Revision: from.snapshot.Revision(), DryRun: dryRun, Outcomes: outcomes, RewrittenPages: from.corrupt}
	if !slices.ContainsFunc(outcomes, func(o Outcome) bool { return o.Action != ActionUnchanged }) {
		return result, true, nil
	}
	writeID := newWriteID()
	for revision := max(from.snapshot.Revision(), e.Follower.newest.Load()) + 1; ; revision++ {
		contents := editPages(from, changes, outcomes, revision)
		next, pages, err := from.snapshot.withContents(contents, revision, writeID)
		if err != nil {
			return Result{}, false, err
		}
		result.Revision = revision
		if dryRun {
			return result, true, nil
		}
		free, err := createPages(ctx, e.Store, pages, writeID)
		if err != nil {
			return Result{}, false, err
		}
		if !free {
			continue
		}
		accepted, err := putHead(ctx, e.Store, next.head, from.snapshot.Revision(), from.version, writeID)
		if accepted {
			e.Follower.installAccepted(next)
		}
		return result, accepted, err
	}
}

// installAccepted makes a snapshot current whose head this process has written.
func (f *Follower) installAccepted(next *Snapshot) {
	f.applyLock <- struct{}{}
	defer func() { <-f.applyLock }()
	f.install(next)
}

// planOutcomes determines the effect of each change on s. It returns an error if an object
// does not have its expected revision. For an object without one it sets the expected
// revision to the one found, so that a retry detects a change in between.
func planOutcomes(s *Snapshot, changes []Change, expectedRevisions map[ObjectName]uint64) ([]Outcome, error) {
	var conflicts []Conflict
	outcomes := make([]Outcome, 0, len(changes))
	decoded := make(map[int]Page)
	for _, c := range changes {
		number := c.Name.page()
		if _, ok := decoded[number]; !ok && s.pages[number] != nil {
			decoded[number] = s.pages[number].decode()
		}
		entry, ok := decoded[number].find(c.Name)
		exists := ok && !entry.Deleted
		found := uint64(0)
		if exists {
			found = entry.Revision
		}
		outcome := Outcome{ObjectName: c.Name, Revision: entry.Revision, Diff: diff(entry.Object, c.Object)}
		switch {
		case exists == !c.isDeletion() && entry.Object.equal(c.Object):
			outcome.Action = ActionUnchanged
		case c.isDeletion():
			outcome.Action = ActionDeleted
		case exists:
			outcome.Action = ActionChanged
		default:
			outcome.Action = ActionCreated
		}
		outcomes = append(outcomes, outcome)
		expected, known := expectedRevisions[c.Name]
		if !known {
			expectedRevisions[c.Name] = found
			continue
		}
		if expected != found && outcome.Action != ActionUnchanged {
			conflicts = append(conflicts, Conflict{ObjectName: c.Name, Expected: expected, Found: found, Diff: outcome.Diff})
		}
	}
	if len(conflicts) > 0 {
		return nil, marigoldcroft.NewFailure("apply", KindConflict, NewConflictError(conflicts))
	}
	return outcomes, nil
}

// editPages returns the new contents of the pages that the changes modify, and the pages
// of from.corrupt, which are rewritten. It sets the new revisions in outcomes.
func editPages(from baseConfig, changes []Change, outcomes []Outcome, revision uint64) []Page {
	edited := make(map[int]*Page)
	editablePage := func(number int) *Page {
		if edited[number] == nil {
			content := Page{Page: number}
			if loaded := from.snapshot.pages[number]; loaded != nil {
				content = loaded.decode()
			}
			edited[number] = &content
		}
		return edited[number]
	}
	for _, number := range from.corrupt {
		editablePage(number)
	}
	now := time.Now().UTC().Truncate(time.Millisecond)
	for i, c := range changes {
		if outcomes[i].Action == ActionUnchanged {
			continue
		}
		page := editablePage(c.Name.page())
		old, _ := page.find(c.Name)
		page.upsert(Entry{
			ObjectName: c.Name, Revision: revision, Previous: old.Revision, Time: now,
			Deleted: c.isDeletion(), Object: c.Object,
		})
		outcomes[i].Revision = revision
	}
	contents := make([]Page, 0, len(edited))
	for _, number := range sortedKeys(edited) {
		contents = append(contents, *edited[number])
	}
	return contents
}

// upsert inserts or replaces the entry. Entries are sorted by kind and name.
func (p *Page) upsert(entry Entry) {
	i, found := slices.BinarySearchFunc(p.Entries, entry.ObjectName, func(e Entry, n ObjectName) int {
		return strings.Compare(e.String(), n.String())
	})
	if found {
		p.Entries[i] = entry
		return
	}
	p.Entries = slices.Insert(p.Entries, i, entry)
}

func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
