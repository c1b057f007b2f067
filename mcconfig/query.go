package mcconfig

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

// maxHistory bounds the entries of one history answer; each is one store read.
const maxHistory = 50

// Query reads the configuration in force at this instance and its history.
type Query struct {
	Store    marigoldcroft.ObjectReader
	Follower *Follower
}

// Get returns the object in force.
func (q *Query) Get(name ObjectName) (Entry, error) {
	entry, ok := q.Follower.inForce().entry(name)
	if !ok || entry.Deleted {
		return Entry{}, marigoldcroft.NewFailure("get "+name.String(), KindNotFound, nil)
	}
	return entry, nil
}

// List returns up to limit objects of the kind in force whose names sort after the
// name after, in the order of their names.
func (q *Query) List(kind ObjectKind, after string, limit int) []Entry {
	s := q.Follower.inForce()
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

// History returns the contents of the object, the newest first, also of a deleted
// one. It ends early where a store that lost data has no older page.
func (q *Query) History(ctx context.Context, name ObjectName) ([]Entry, error) {
	entry, ok := q.Follower.inForce().entry(name)
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

// previous returns the content before entry, or an empty entry for the first one.
func previous(ctx context.Context, store marigoldcroft.ObjectReader, entry Entry) (Entry, error) {
	if entry.Previous == 0 {
		return Entry{}, nil
	}
	operation := fmt.Sprintf("history %s at %d", entry.ObjectName, entry.Previous)
	object, err := get(ctx, store, pageKey(entry.page(), entry.Previous))
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
