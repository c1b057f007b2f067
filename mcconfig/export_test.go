package mcconfig

import (
	"context"

	"marigoldcroft"
)

// ReplacedPage is a stored head that refers to a replaced page, with the key of that
// page.
type ReplacedPage struct {
	PageKey string
	Head    []byte
}

// HeadWithPage returns a head of the next revision, in which raw replaces the first page.
func HeadWithPage(head Head, raw []byte) ReplacedPage {
	ref := head.Pages[0]
	ref.Revision, ref.Hash = head.Revision+1, hashOf(raw)
	next := head.next(head.Revision+1, []PageRef{ref}, "w")
	return ReplacedPage{PageKey: pageKey(ref.Page, ref.Revision), Head: next.encode()}
}

// PageOf returns the number of the page that holds the object.
func PageOf(name ObjectName) int { return name.page() }

// StoredHead returns the revision and the store version of the stored head.
func StoredHead(ctx context.Context, store marigoldcroft.ObjectReader) (uint64, marigoldcroft.Version, error) {
	head, version, err := readHead(ctx, store)
	return head.Revision, version, err
}
