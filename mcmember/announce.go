package mcmember

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldcroft/mcmessage"
)

// announceCalls bounds the calls in flight of one announcement.
const announceCalls = 16

// Announce sets quarantine entries and returns when every reachable member of the own
// data centre has them or ctx ends. A caller that tries again at once at another
// instance then finds them there; the random exchanges would take about a second.
func (m *Member) Announce(ctx context.Context, entries []*mcmessage.QuarantineEntry) {
	var contacts []Contact
	m.do(func(t *Table, now time.Time) {
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
	// The calls return no errors: a member that cannot be reached learns it later.
	_ = calls.Wait()
}
