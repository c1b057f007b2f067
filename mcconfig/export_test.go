package mcconfig

import (
	"context"

	"marigoldcroft"
)

// Damage is a head that names a page with other content.
type Damage struct {
	PageKey string
	Head    []byte
}

// BadHead returns the head of the next revision whose first page has the bytes raw.
func BadHead(head Head, raw []byte) Damage {
	ref := head.Pages[0]
	ref.Revision, ref.Hash = head.Revision+1, hashOf(raw)
	next := head.next(head.Revision+1, []PageRef{ref}, "w")
	return Damage{PageKey: pageKey(ref.Page, ref.Revision), Head: next.encode()}
}

// PageOf returns the page of the object.
func PageOf(name ObjectName) int { return name.page() }

// StoredHead returns the revision of the store's head and its version.
func StoredHead(ctx context.Context, store marigoldcroft.ObjectReader) (uint64, marigoldcroft.Version, error) {
	head, version, err := readHead(ctx, store)
	return head.Revision, version, err
}
