package marigoldcroft

import "context"

// ActionState is the state of an at-most-once action in the ledger.
type ActionState string

// The states of an action.
const (
	// ActionNone means that the ledger was read and holds no record of the key.
	ActionNone ActionState = "none"
	// ActionStarted means that an attempt was granted and may have run.
	ActionStarted ActionState = "started"
	// ActionDone means that the action ran and its outcome is recorded.
	ActionDone ActionState = "done"
	// ActionUnknown means that the action may have run and its outcome is unknown.
	ActionUnknown ActionState = "unknown"
	// ActionAbandoned means that the granted attempt never ran and never will.
	ActionAbandoned ActionState = "abandoned"
)

// ActionKey identifies an action that must run at most once.
type ActionKey struct {
	team    string
	service string
	key     string
}

// NewActionKey returns the key of an action; key is the caller's idempotency key, a UUID of
// version 7.
func NewActionKey(team, service, key string) ActionKey {
	return ActionKey{team: team, service: service, key: key}
}

// Team returns the team.
func (k ActionKey) Team() string { return k.team }

// Service returns the plain service.
func (k ActionKey) Service() string { return k.service }

// Key returns the caller's idempotency key, a UUID of version 7.
func (k ActionKey) Key() string { return k.key }

// ActionOutcome is the recorded answer of a finished action.
type ActionOutcome struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted is true if the body exceeded the ledger's size limit and was not recorded.
	BodyOmitted bool
}

// ActionGrant is the result of Ledger.Begin.
type ActionGrant struct {
	// Granted is true if this process may run the action, exactly one time.
	Granted bool
	// AttemptID identifies a granted attempt in Finish.
	AttemptID string
	// State and Outcome are the recorded ones if the attempt was not granted.
	State   ActionState
	Outcome ActionOutcome
}

// Ledger makes actions run at most once: it durably records an intent before an action runs
// and the outcome afterwards. Package mcledger has functions that classify the errors.
type Ledger interface {
	// Begin requests permission to run the action; bodyHash is the hash of the request body.
	// After any error the action must not be run.
	Begin(ctx context.Context, key ActionKey, bodyHash [32]byte) (ActionGrant, error)
	// Finish records the result of a granted attempt: ActionDone with its outcome,
	// ActionUnknown if it may have run, or ActionAbandoned if no byte of it was sent.
	Finish(ctx context.Context, key ActionKey, attemptID string, state ActionState, outcome ActionOutcome) error
}
