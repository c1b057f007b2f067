package mcmember

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldcroft/mcmessage"
)

// announceCalls limits the concurrent calls of one announcement.
const announceCalls = 16

// AnnounceQuarantine stores quarantine entries and exchanges with every member of this data centre, so
// that all reachable members have the entries when it returns, unless ctx ends first. The
// entries must be known when a caller retries at once at another instance; random exchanges
// would take about a second to spread them.
func (m *Member) AnnounceQuarantine(ctx context.Context, entries []*mcmessage.QuarantineEntry) {
	var contacts []Contact
	m.withTable(func(t *Table, now time.Time) {
		for _, entry := range entries {
			t.SetQuarantine(now, entry)
		}
		for _, member := range t.members {
			contact := contactOf(member.record)
			if contact.Instance != t.self.Identity.Instance() && !member.isGone() {
				contacts = append(contacts, contact)
			}
		}
	})
	var calls errgroup.Group
	calls.SetLimit(announceCalls)
	for _, contact := range contacts {
		calls.Go(func() error {
			m.exchange(ctx, contact)
			return nil
		})
	}
	// The calls return no errors: an unreachable member gets the entries by a later exchange.
	_ = calls.Wait()
}
