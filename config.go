package marigoldcroft

// ConfigSnapshot is the configuration of one revision. A request uses one snapshot
// throughout.
type ConfigSnapshot interface {
	Revision() uint64
	// TeamByKeyHash returns the team that owns the key with the SHA-256 hash in hex.
	TeamByKeyHash(hash string) (Team, bool)
	Team(name string) (Team, bool)
	Template(name string) (Template, bool)
}

// ConfigSource gives the configuration in force at this instance.
type ConfigSource interface {
	// Current returns the snapshot in force; it is never nil and its revision
	// never goes backwards.
	Current() ConfigSnapshot
	// Stale tells whether the snapshot has not been confirmed within the bound.
	Stale() bool
}
