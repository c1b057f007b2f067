package mcentry

import (
	"context"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
)

// SuspectSharing is the part of an instance that shares crash suspects with its peers.
type SuspectSharing struct {
	Guard *mcquarantine.Guard

	operations *operations
}

// NewSuspectSharing returns the part of an instance that has no connections.
func NewSuspectSharing(instance string) *SuspectSharing {
	guard := &mcquarantine.Guard{}
	identity := marigoldcroft.NewIdentity("test", "r", "dc", instance, time.Now(), 0)
	m := &membership{member: &mcmember.Member{Self: mcmember.Self{Identity: identity}}, self: instance}
	entry := &Entry{membership: m, quarantine: guard, watcher: &watcher{membership: m, quarantine: guard}}
	return &SuspectSharing{Guard: guard, operations: &operations{entry: entry}}
}

// Announce passes the entries to the membership.
func (s *SuspectSharing) Announce(entries []*mcmessage.QuarantineEntry) {
	s.operations.entry.membership.announce(entries)
}

// Entries returns the entries that peers receive.
func (s *SuspectSharing) Entries() []*mcmessage.QuarantineEntry {
	return s.operations.entry.membership.member.QuarantineEntries()
}

// Receive merges the entries of a peer.
func (s *SuspectSharing) Receive(ctx context.Context, entries []*mcmessage.QuarantineEntry) error {
	_, err := s.operations.entry.membership.member.Exchange(ctx, &mcmessage.ExchangeRequest{Records: &mcmessage.Records{Quarantine: entries}})
	s.operations.entry.watcher.mergeQuarantine()
	return err
}

// ClearQuarantine runs the operators' command.
func (s *SuspectSharing) ClearQuarantine(f mcquarantine.Fingerprint) error {
	return s.operations.ClearQuarantine(uint64(f))
}
