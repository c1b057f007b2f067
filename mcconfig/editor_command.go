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
	// maxChanges bounds the objects of one change.
	maxChanges = 1000
	// maxAttempts bounds how often one change starts again because another one, of
	// other objects, came first.
	maxAttempts = 16
	// editLimit bounds one change, with the reading back of lost answers.
	editLimit = 15 * time.Second
)

// The actions of a change.
const (
	ActionCreated   Action = "created"
	ActionChanged   Action = "changed"
	ActionDeleted   Action = "deleted"
	ActionUnchanged Action = "unchanged"
)

type (
	// Action is what a change does to an object.
	Action string

	// Change is the wanted content of one object.
	Change struct {
		Name ObjectName
		// Object is the content; it is empty for a deletion.
		Object Object
		// Expected is the revision that the object must have, or 0 that it must not
		// exist; nil accepts the one found first.
		Expected *uint64
	}

	// Outcome is what became of one object.
	Outcome struct {
		ObjectName
		Action Action `json:"action"`
		// Revision is the object's revision after the change.
		Revision uint64      `json:"revision"`
		Diff     []FieldDiff `json:"diff,omitempty"`
	}

	// Result is an accepted or, in a dry run, an acceptable change.
	Result struct {
		// Revision is the configuration revision that holds the change.
		Revision uint64    `json:"revision"`
		DryRun   bool      `json:"dryRun,omitempty"`
		Outcomes []Outcome `json:"outcomes"`
		// Healed names pages that were missing or malformed in the store and were
		// written again with the content last in force.
		Healed []int `json:"healed,omitempty"`
	}

	// Editor changes the stored configuration. Any number of editors may run at once.
	Editor struct {
		Store    marigoldcroft.ObjectStore
		Follower *Follower
	}

	// base is what a change starts from.
	base struct {
		snapshot *Snapshot
		version  marigoldcroft.Version
		// bad holds the pages of the head that are missing or malformed.
		bad []int
	}
)

// Apply stores the contents in one change, or tells in a dry run what it would do.
func (e *Editor) Apply(ctx context.Context, changes []Change, dryRun bool) (Result, error) {
	changes = slices.Clone(changes)
	for i := range changes {
		changes[i].Object = changes[i].Object.normalized()
	}
	if err := checkChanges(changes); err != nil {
		return Result{}, marigoldcroft.NewFailure("apply", KindInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, editLimit)
	defer cancel()
	first := make(map[ObjectName]uint64, len(changes))
	for _, c := range changes {
		if c.Expected != nil {
			first[c.Name] = *c.Expected
		}
	}
	for range maxAttempts {
		from, err := e.base(ctx)
		if err != nil {
			return Result{}, err
		}
		result, done, err := e.attempt(ctx, from, changes, first, dryRun)
		if done || err != nil {
			return result, err
		}
	}
	return Result{}, marigoldcroft.NewFailure("apply", KindConflict,
		errors.Newf("other changes came first %d times", maxAttempts))
}

// Delete removes the object.
func (e *Editor) Delete(ctx context.Context, name ObjectName, expected *uint64, dryRun bool) (Result, error) {
	from, err := e.base(ctx)
	if err != nil {
		return Result{}, err
	}
	if entry, ok := from.snapshot.entry(name); !ok || entry.Deleted {
		return Result{}, marigoldcroft.NewFailure("delete "+name.String(), KindNotFound, nil)
	}
	return e.Apply(ctx, []Change{{Name: name, Expected: expected}}, dryRun)
}

// Rollback stores the content that was in force at the revision to as a new change.
func (e *Editor) Rollback(ctx context.Context, name ObjectName, to uint64, dryRun bool) (Result, error) {
	operation := fmt.Sprintf("rollback %s to %d", name, to)
	from, err := e.base(ctx)
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

// checkChanges validates each object on its own.
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
		if c.deletes() {
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

func (c Change) deletes() bool { return c.Object.Template == nil && c.Object.Team == nil }

// base returns the newest configuration in the store. A store that is behind what is
// known is brought up first, so that no change builds on an older configuration.
func (e *Editor) base(ctx context.Context) (base, error) {
	for range maxAttempts {
		// newest is read before the head: a higher head that comes later is no fault.
		newest := e.Follower.newest.Load()
		head, version, err := readHead(ctx, e.Store)
		if err != nil {
			return base{}, marigoldcroft.NewFailure("read head", KindUnavailable, err)
		}
		switch inForce := e.Follower.inForce(); {
		case e.Follower.behind(head):
			if err := e.Follower.repair(ctx); err != nil {
				return base{}, marigoldcroft.NewFailure("repair store", KindUnavailable, err)
			}
		case head.Revision < newest:
			return base{}, marigoldcroft.NewFailure("read head", KindUnavailable,
				errors.Newf("the store has revision %d, peers have %d, which is not in force here yet", head.Revision, newest))
		case head.Revision == inForce.Revision():
			return base{snapshot: inForce, version: version}, nil
		default:
			if err := e.Follower.adopt(ctx, head); err == nil {
				continue
			}
			snapshot, bad, err := e.Follower.loadGood(ctx, inForce, head)
			if err != nil {
				return base{}, marigoldcroft.NewFailure("read pages", KindUnavailable, err)
			}
			return base{snapshot: snapshot, version: version, bad: sortedKeys(bad)}, nil
		}
	}
	return base{}, marigoldcroft.NewFailure("read head", KindUnavailable, errors.New("the head keeps changing"))
}

// attempt tries one change on a base. It returns false when another change came first.
func (e *Editor) attempt(ctx context.Context, from base, changes []Change, first map[ObjectName]uint64, dryRun bool) (Result, bool, error) {
	outcomes, err := plan(from.snapshot, changes, first)
	if err != nil {
		return Result{}, false, err
	}
	result := Result{Revision: from.snapshot.Revision(), DryRun: dryRun, Outcomes: outcomes, Healed: from.bad}
	if !slices.ContainsFunc(outcomes, func(o Outcome) bool { return o.Action != ActionUnchanged }) {
		return result, true, nil
	}
	writeID := newWriteID()
	for revision := max(from.snapshot.Revision(), e.Follower.newest.Load()) + 1; ; revision++ {
		contents := edit(from, changes, outcomes, revision)
		next, pages, err := from.snapshot.rewrite(contents, revision, writeID)
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
			e.Follower.accept(next)
		}
		return result, accepted, err
	}
}

// accept applies a snapshot that this process has written.
func (f *Follower) accept(next *Snapshot) {
	f.adopting <- struct{}{}
	defer func() { <-f.adopting }()
	f.put(next)
}

// plan compares the wanted contents with those in force and finds conflicts with the
// revisions in first. Objects without one there get the revision found now.
func plan(s *Snapshot, changes []Change, first map[ObjectName]uint64) ([]Outcome, error) {
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
		case exists == !c.deletes() && entry.Object.equal(c.Object):
			outcome.Action = ActionUnchanged
		case c.deletes():
			outcome.Action = ActionDeleted
		case exists:
			outcome.Action = ActionChanged
		default:
			outcome.Action = ActionCreated
		}
		outcomes = append(outcomes, outcome)
		expected, known := first[c.Name]
		if !known {
			first[c.Name] = found
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

// edit returns the new contents of the pages that the change touches or heals, and
// sets the new revisions in outcomes.
func edit(from base, changes []Change, outcomes []Outcome, revision uint64) []Page {
	touched := make(map[int]*Page)
	open := func(number int) *Page {
		if touched[number] == nil {
			content := Page{Page: number}
			if loaded := from.snapshot.pages[number]; loaded != nil {
				content = loaded.decode()
			}
			touched[number] = &content
		}
		return touched[number]
	}
	for _, number := range from.bad {
		open(number)
	}
	now := time.Now().UTC().Truncate(time.Millisecond)
	for i, c := range changes {
		if outcomes[i].Action == ActionUnchanged {
			continue
		}
		page := open(c.Name.page())
		old, _ := page.find(c.Name)
		page.set(Entry{
			ObjectName: c.Name, Revision: revision, Previous: old.Revision, Time: now,
			Deleted: c.deletes(), Object: c.Object,
		})
		outcomes[i].Revision = revision
	}
	contents := make([]Page, 0, len(touched))
	for _, number := range sortedKeys(touched) {
		contents = append(contents, *touched[number])
	}
	return contents
}

// set replaces or adds the entry; entries are sorted by kind and name.
func (p *Page) set(entry Entry) {
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
