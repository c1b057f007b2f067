package marigoldcroft

// ConfigSnapshot is an immutable configuration of one revision. A request uses the same
// snapshot from start to end.
type ConfigSnapshot interface {
	Revision() uint64
	// TeamByKeyHash returns the team that owns the API key with this SHA-256 hash, in hex.
	TeamByKeyHash(hash string) (Team, bool)
	Team(name string) (Team, bool)
	Template(name string) (Template, bool)
}

// ConfigSource provides the configuration that this instance applies.
type ConfigSource interface {
	// Current returns the snapshot in force. It is never nil, and its revision never
	// decreases.
	Current() ConfigSnapshot
	// Stale reports whether the snapshot has not been confirmed as the newest one within
	// the staleness limit of the implementation.
	Stale() bool
}
