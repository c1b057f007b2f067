package mcconfig

import (
	"context"

	"marigoldcroft"
)

// repair brings a store that came back with an older head up to the configuration in
// force: it writes the pages that differ and a head of a revision above all seen.
// Of several instances that repair at once, the conditional update lets one through.
func (f *Follower) repair(ctx context.Context) error {
	f.adopting <- struct{}{}
	defer func() { <-f.adopting }()
	head, version, err := readHead(ctx, f.Store)
	if err != nil {
		return err
	}
	current := f.snapshot.Load()
	if head.Revision >= current.Revision() {
		return nil
	}
	stored := make(map[int]PageRef, len(head.Pages))
	for _, ref := range head.Pages {
		stored[ref.Page] = ref
	}
	var lost []Page
	for _, page := range current.pages {
		if page != nil && stored[page.ref.Page] != page.ref {
			lost = append(lost, page.decode())
		}
	}
	writeID := newWriteID()
	for revision := f.newest.Load() + 1; ; revision++ {
		next, pages, err := current.rewrite(lost, revision, writeID)
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
