package mcconfig

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"marigoldcroft"
)

// isStoreBehind reports whether the stored head lacks the change that produced the
// current snapshot: the store was restored with older content, or another instance has
// since applied changes to such content.
func (f *Follower) isStoreBehind(head Head) bool {
	current := f.currentSnapshot().head
	return head.Revision < current.Revision || !head.descendsFrom(current)
}

// repair writes the current configuration to a store that is behind: the pages that
// differ, and a head with a revision above all known ones. Changes that were accepted
// on top of the older content are kept; for each object the higher revision is used. If
// several instances repair at once, the conditional update of the head lets one succeed.
func (f *Follower) repair(ctx context.Context) error {
	if err := f.lock(ctx); err != nil {
		return err
	}
	defer f.unlock()
	head, version, err := readHead(ctx, f.Store)
	if err != nil {
		return err
	}
	if !f.isStoreBehind(head) {
		return nil
	}
	f.observeRevision(head.Revision)
	current := f.snapshot.Load()
	merged, unmerged, err := f.mergePages(ctx, current, head)
	if err != nil {
		return err
	}
	from := *current
	from.head.Recent = mergeRecent(current.head.Recent, head.Recent)
	writeID := newWriteID()
	for revision := f.newest.Load() + 1; ; revision++ {
		next, pages, err := from.withContents(merged, revision, writeID)
		if IsInvalid(err) {
			// The merged pages fail the checks across objects; the current ones do not.
			f.recordProblem("configMergeRefused", err)
			next, pages, err = from.withContents(unmerged, revision, writeID)
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
		f.install(next)
		f.repairs.Add(1)
		f.Logger.Warn().Uint64("storeRevision", head.Revision).Uint64("revision", revision).
			Int("pages", len(pages)).Msg("configStoreRepaired")
		return nil
	}
}

// mergePages returns the pages in which head differs from current. merged holds them
// merged object by object, unmerged as they are in current.
func (f *Follower) mergePages(ctx context.Context, current *Snapshot, head Head) (merged, unmerged []Page, err error) {
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
		unmerged = append(unmerged, content)
		if inStore {
			storedContent, err := f.readContent(ctx, ref)
			if err != nil {
				return nil, nil, err
			}
			content.Entries = mergeEntries(content.Entries, storedContent.Entries)
		}
		merged = append(merged, content)
	}
	return merged, unmerged, nil
}

// readContent reads a page; one that is missing or malformed is returned as empty.
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

// mergeEntries keeps for each object the entry with the higher revision. If the
// revisions are equal, it keeps the one with the later time, as set by the clocks of
// the editors, so that all instances choose the same entry.
func mergeEntries(local, stored []Entry) []Entry {
	page := Page{Entries: slices.Clone(local)}
	for _, e := range stored {
		kept, ok := page.find(e.ObjectName)
		later := e.Revision == kept.Revision && e.Time.After(kept.Time)
		if !ok || e.Revision > kept.Revision || later {
			page.upsert(e)
		}
	}
	return page.Entries
}

// mergeRecent returns the changes of both lists without duplicates, sorted by revision.
func mergeRecent(local, stored []AcceptedChange) []AcceptedChange {
	all := slices.Concat(local, stored)
	slices.SortFunc(all, func(a, b AcceptedChange) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.WriteID, b.WriteID))
	})
	return slices.Compact(all)
}

// withContents returns a snapshot of the given revision in which contents replaces pages
// of s, and the replaced pages in loaded form.
func (s *Snapshot) withContents(contents []Page, revision uint64, writeID string) (*Snapshot, []*loadedPage, error) {
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
	next, err := s.withPages(s.head.next(revision, refs, writeID), pages)
	return next, pages, err
}
