package mcconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	headKey = "config/head"
	// formatVersion is the version of the stored formats of heads and pages.
	formatVersion = 1
	// maxRecent limits the list of accepted changes in the head. A writer whose response
	// was lost finds its write ID there, unless this many changes were accepted since.
	maxRecent = 64
	// maxPageBytes is the largest value that the object store accepts.
	maxPageBytes = 1 << 20
	// hashBytes is the length to which the head truncates the SHA-256 of a page.
	hashBytes = 8
)

type (
	// Head lists the pages that make up one revision of the configuration.
	Head struct {
		Version  int       `json:"version"`
		Revision uint64    `json:"revision"`
		Pages    []PageRef `json:"pages"`
		// Recent holds the latest accepted changes, oldest first.
		Recent []AcceptedChange `json:"recent"`
	}

	// PageRef identifies one revision of a page and its content.
	PageRef struct {
		Page     int    `json:"page"`
		Revision uint64 `json:"revision"`
		// Hash is the truncated SHA-256 of the stored page, in hex.
		Hash string `json:"hash"`
	}

	// AcceptedChange identifies an accepted change.
	AcceptedChange struct {
		Revision uint64 `json:"revision"`
		WriteID  string `json:"writeId"`
	}

	// Page is the stored content of one page.
	Page struct {
		Version  int     `json:"version"`
		Page     int     `json:"page"`
		Revision uint64  `json:"revision"`
		Entries  []Entry `json:"entries"`
	}
)

func pageKey(page int, revision uint64) string {
	return fmt.Sprintf("config/page/%d/%d", page, revision)
}

// hashOf returns the truncated SHA-256 of a stored page, in hex, as in PageRef.Hash.
func hashOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:hashBytes])
}

// DecodeHead decodes and validates a stored head.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	if err := decodeStrict(raw, &h); err != nil {
		return Head{}, marigoldcroft.NewFailure("decode head", KindCorrupt, err)
	}
	if err := h.check(); err != nil {
		return Head{}, marigoldcroft.NewFailure("decode head", KindCorrupt, err)
	}
	return h, nil
}

func (h Head) check() error {
	if h.Version != formatVersion {
		return errors.Newf("format version %d is not %d", h.Version, formatVersion)
	}
	if len(h.Recent) > maxRecent {
		return errors.Newf("%d recent changes are listed; at most %d are allowed", len(h.Recent), maxRecent)
	}
	last := -1
	for _, ref := range h.Pages {
		if ref.Page <= last || ref.Page >= PageCount {
			return errors.Newf("page %d is out of order or range", ref.Page)
		}
		if ref.Revision == 0 || ref.Revision > h.Revision {
			return errors.Newf("page %d has revision %d in a head of revision %d", ref.Page, ref.Revision, h.Revision)
		}
		last = ref.Page
	}
	return nil
}

func (h Head) encode() []byte { return mustEncode(h) }

// acceptedRevision returns the revision of the change with the write ID, if Recent lists
// it.
func (h Head) acceptedRevision(writeID string) (uint64, bool) {
	for _, a := range h.Recent {
		if a.WriteID == writeID {
			return a.Revision, true
		}
	}
	return 0, false
}

// descendsFrom reports whether h includes the change that produced base. It also returns
// true if this cannot be determined because more than maxRecent changes were accepted
// since.
func (h Head) descendsFrom(base Head) bool {
	if len(base.Recent) == 0 {
		return true
	}
	last := base.Recent[len(base.Recent)-1]
	if slices.Contains(h.Recent, last) {
		return true
	}
	return len(h.Recent) == maxRecent && h.Recent[0].Revision > last.Revision
}

// next returns a head of the given, higher revision. It replaces the page references
// in refs and appends the change to Recent.
func (h Head) next(revision uint64, refs []PageRef, writeID string) Head {
	byPage := make(map[int]PageRef, len(h.Pages)+len(refs))
	for _, ref := range slices.Concat(h.Pages, refs) {
		byPage[ref.Page] = ref
	}
	pages := make([]PageRef, 0, len(byPage))
	for _, ref := range byPage {
		pages = append(pages, ref)
	}
	slices.SortFunc(pages, func(a, b PageRef) int { return a.Page - b.Page })
	recent := append(slices.Clone(h.Recent), AcceptedChange{Revision: revision, WriteID: writeID})
	if len(recent) > maxRecent {
		recent = recent[len(recent)-maxRecent:]
	}
	return Head{Version: formatVersion, Revision: revision, Pages: pages, Recent: recent}
}

// DecodePage decodes a stored page and validates its entries.
func DecodePage(raw []byte) (Page, error) {
	var p Page
	if len(raw) > maxPageBytes {
		return Page{}, marigoldcroft.NewFailure("decode page", KindCorrupt,
			errors.Newf("the page has %d bytes; at most %d are allowed", len(raw), maxPageBytes))
	}
	if err := decodeStrict(raw, &p); err != nil {
		return Page{}, marigoldcroft.NewFailure("decode page", KindCorrupt, err)
	}
	if err := p.check(); err != nil {
		return Page{}, marigoldcroft.NewFailure(fmt.Sprintf("decode page %d", p.Page), KindCorrupt, err)
	}
	return p, nil
}

func (p Page) check() error {
	if p.Version != formatVersion {
		return errors.Newf("format version %d is not %d", p.Version, formatVersion)
	}
	seen := make(map[ObjectName]bool, len(p.Entries))
	for _, e := range p.Entries {
		if e.page() != p.Page || seen[e.ObjectName] {
			return errors.Newf("%s does not belong here or stands here twice", e.ObjectName)
		}
		seen[e.ObjectName] = true
		if e.Revision == 0 || e.Revision > p.Revision || e.Previous >= e.Revision {
			return errors.Newf("%s has revision %d and previous %d in page revision %d", e.ObjectName, e.Revision, e.Previous, p.Revision)
		}
		if err := e.check(); err != nil {
			return errors.Wrap(err, e.ObjectName.String())
		}
	}
	return nil
}

// check validates the content and that it belongs to the object name.
func (e Entry) check() error {
	if e.Deleted {
		if e.Template != nil || e.Team != nil {
			return errors.New("a deleted object has content")
		}
		return nil
	}
	if err := e.Object.check(); err != nil {
		return err
	}
	if e.Object.ID() != e.ObjectName {
		return errors.Newf("the content is of %s", e.Object.ID())
	}
	return nil
}

// find returns the entry of the object, including one that is marked as deleted.
func (p Page) find(name ObjectName) (Entry, bool) {
	for _, e := range p.Entries {
		if e.ObjectName == name {
			return e, true
		}
	}
	return Entry{}, false
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields. An older
// version of the program that ignored them would drop them when it writes the object.
func decodeStrict(raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data follows the object")
	}
	return nil
}

// mustEncode encodes a value of a type of this package, for which JSON encoding cannot
// fail.
func mustEncode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
