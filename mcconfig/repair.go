package mcconfig

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"marigoldcroft"
)

// behind tells whether a head of the store lacks the change in force here: the store
// came back with older content, or another instance went on from such content.
func (f *Follower) behind(head Head) bool {
	current := f.inForce().head
	return head.Revision < current.Revision || !head.follows(current)
}

// repair brings a store that is behind up to the configuration in force: it writes the
// pages that differ and a head of a revision above all seen. Changes that were
// accepted on the older content are kept: of each object the higher revision counts.
// Of several instances that repair at once, the conditional update lets one through.
func (f *Follower) repair(ctx context.Context) error {
	if err := f.lock(ctx); err != nil {
		return err
	}
	defer f.unlock()
	head, version, err := readHead(ctx, f.Store)
	if err != nil {
		return err
	}
	if !f.behind(head) {
		return nil
	}
	f.see(head.Revision)
	current := f.snapshot.Load()
	merged, own, err := f.merge(ctx, current, head)
	if err != nil {
		return err
	}
	from := *current
	from.head.Recent = mergeRecent(current.head.Recent, head.Recent)
	writeID := newWriteID()
	for revision := f.newest.Load() + 1; ; revision++ {
		next, pages, err := from.rewrite(merged, revision, writeID)
		if IsInvalid(err) {
			// The merged contents break a cross check; those in force do not.
			f.report("configMergeRefused", err)
			next, pages, err = from.rewrite(own, revision, writeID)
		}
		if err != nil {
			return err
		}
		free, err := createPages(ctx, f.Store, pages, writeID)
		if err != nil {
			return err
		}
		if !free {
			continue
		}
		accepted, err := putHead(ctx, f.Store, next.head, head.Revision, version, writeID)
		if err != nil || !accepted {
			return err
		}
		f.put(next)
		f.repairs.Add(1)
		f.Logger.Warn().Uint64("storeRevision", head.Revision).Uint64("revision", revision).
			Int("pages", len(pages)).Msg("configStoreRepaired")
		return nil
	}
}

// merge returns the contents of the pages in which the head differs from current, once
// merged by object and once as they are in current.
func (f *Follower) merge(ctx context.Context, current *Snapshot, head Head) (merged, own []Page, err error) {
	stored := make(map[int]PageRef, len(head.Pages))
	for _, ref := range head.Pages {
		stored[ref.Page] = ref
	}
	for number, page := range current.pages {
		ref, inStore := stored[number]
		if page == nil && !inStore || page != nil && page.ref == ref {
			continue
		}
		content := Page{Page: number}
		if page != nil {
			content = page.decode()
		}
		own = append(own, content)
		if inStore {
			theirs, err := f.readContent(ctx, ref)
			if err != nil {
				return nil, nil, err
			}
			content.Entries = mergeEntries(content.Entries, theirs.Entries)
		}
		merged = append(merged, content)
	}
	return merged, own, nil
}

// readContent reads a page of the store; one that is missing or malformed is empty.
func (f *Follower) readContent(ctx context.Context, ref PageRef) (Page, error) {
	raw, err := f.readPage(ctx, ref)
	if err == nil {
		var page Page
		if page, err = DecodePage(raw); err == nil {
			return page, nil
		}
	}
	if marigoldcroft.FailureKind[Kind](err) == KindCorrupt {
		return Page{}, nil
	}
	return Page{}, err
}

// mergeEntries returns of each object the entry with the higher revision; of equal
// ones the later by the editors' clocks, so that all instances choose the same.
func mergeEntries(mine, theirs []Entry) []Entry {
	page := Page{Entries: slices.Clone(mine)}
	for _, e := range theirs {
		kept, ok := page.find(e.ObjectName)
		later := e.Revision == kept.Revision && e.Time.After(kept.Time)
		if !ok || e.Revision > kept.Revision || later {
			page.set(e)
		}
	}
	return page.Entries
}

// mergeRecent returns the changes of both lists in the order of their revisions.
func mergeRecent(mine, theirs []Accepted) []Accepted {
	all := slices.Concat(mine, theirs)
	slices.SortFunc(all, func(a, b Accepted) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.WriteID, b.WriteID))
	})
	return slices.Compact(all)
}

// rewrite returns the snapshot in which the pages with their new contents have the
// given revision, and these pages.
func (s *Snapshot) rewrite(contents []Page, revision uint64, writeID string) (*Snapshot, []*loadedPage, error) {
	var (
		refs  = make([]PageRef, 0, len(contents))
		pages = make([]*loadedPage, 0, len(contents))
		names = map[string]string{}
	)
	for _, content := range contents {
		content.Version, content.Revision = formatVersion, revision
		raw := mustEncode(content)
		ref := PageRef{Page: content.Page, Revision: revision, Hash: hashOf(raw)}
		page, err := loadPage(ref, raw, names)
		if err != nil {
			return nil, nil, marigoldcroft.NewFailure("build page", KindInvalid, err)
		}
		refs, pages = append(refs, ref), append(pages, page)
	}
	next, err := s.with(s.head.next(revision, refs, writeID), pages)
	return next, pages, err
}
