package mcconfig

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

// maxHistory limits the entries that History returns; each costs one read of the store.
const maxHistory = 50

// Query reads the current configuration of this instance and the history of its objects.
type Query struct {
	Store    marigoldcroft.ObjectReader
	Follower *Follower
}

// Get returns the current content of the object.
func (q *Query) Get(name ObjectName) (Entry, error) {
	entry, ok := q.Follower.currentSnapshot().entry(name)
	if !ok || entry.Deleted {
		return Entry{}, marigoldcroft.NewFailure("get "+name.String(), KindNotFound, nil)
	}
	return entry, nil
}

// List returns the current objects of the kind, sorted by name. It returns at most limit
// objects, beginning with the first name that sorts after the name after.
func (q *Query) List(kind ObjectKind, after string, limit int) []Entry {
	s := q.Follower.currentSnapshot()
	var (
		entries []Entry
		decoded = map[int]Page{}
	)
	for _, name := range s.names(kind) {
		if name <= after {
			continue
		}
		if len(entries) == limit {
			break
		}
		n := ObjectName{kind, name}
		page, ok := decoded[n.page()]
		if !ok {
			page = s.pages[n.page()].decode()
			decoded[n.page()] = page
		}
		entry, _ := page.find(n)
		entries = append(entries, entry)
	}
	return entries
}

// History returns the revisions of the object, newest first, at most maxHistory of them.
// The object may be deleted. The list ends early if the store has lost an older page.
func (q *Query) History(ctx context.Context, name ObjectName) ([]Entry, error) {
	entry, ok := q.Follower.currentSnapshot().entry(name)
	if !ok {
		return nil, marigoldcroft.NewFailure("history "+name.String(), KindNotFound, nil)
	}
	var entries []Entry
	for entry.Revision > 0 && len(entries) < maxHistory {
		entries = append(entries, entry)
		older, err := previous(ctx, q.Store, entry)
		if IsNotFound(err) {
			break
		}
		if err != nil {
			return nil, err
		}
		entry = older
	}
	return entries, nil
}

// previous reads the revision of the object that precedes entry. It returns an empty
// entry if there is none.
func previous(ctx context.Context, store marigoldcroft.ObjectReader, entry Entry) (Entry, error) {
	if entry.Previous == 0 {
		return Entry{}, nil
	}
	operation := fmt.Sprintf("history %s at %d", entry.ObjectName, entry.Previous)
	object, err := getWithTimeout(ctx, store, pageKey(entry.page(), entry.Previous))
	if mcstore.IsNotFound(err) {
		return Entry{}, marigoldcroft.NewFailure(operation, KindNotFound, errors.New("the store has lost the page"))
	}
	if err != nil {
		return Entry{}, marigoldcroft.NewFailure(operation, KindUnavailable, err)
	}
	page, err := DecodePage(object.Value())
	if err != nil {
		return Entry{}, err
	}
	older, ok := page.find(entry.ObjectName)
	if !ok || older.Revision != entry.Previous {
		return Entry{}, marigoldcroft.NewFailure(operation, KindCorrupt, errors.New("the page lacks the entry"))
	}
	return older, nil
}
