package marigoldcroft

import "context"

// ActionState is the recorded state of an at-most-once action.
type ActionState string

// The states of an action.
const (
	// ActionNone means that the ledger was read and holds no record of the key.
	ActionNone ActionState = "none"
	// ActionStarted means that an attempt was granted and may have run.
	ActionStarted ActionState = "started"
	ActionDone    ActionState = "done"
	ActionUnknown ActionState = "unknown"
	// ActionAbandoned means that the granted attempt never ran and never will.
	ActionAbandoned ActionState = "abandoned"
)

// ActionKey names an action that must run at most once.
type ActionKey struct {
	team    string
	service string
	key     string
}

// NewActionKey returns the key of an action. The key part is a UUID of version 7.
func NewActionKey(team, service, key string) ActionKey {
	return ActionKey{team: team, service: service, key: key}
}

// Team returns the team.
func (k ActionKey) Team() string { return k.team }

// Service returns the plain service.
func (k ActionKey) Service() string { return k.service }

// Key returns the caller's idempotency key.
func (k ActionKey) Key() string { return k.key }

// ActionOutcome is the recorded answer of a finished action.
type ActionOutcome struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted is true when the body was larger than the ledger keeps.
	BodyOmitted bool
}

// ActionGrant is the ledger's answer to Begin.
type ActionGrant struct {
	// Granted is true when this process may run the attempt, once.
	Granted bool
	// AttemptID names the attempt in Finish.
	AttemptID string
	// State is the recorded state when the attempt was not granted.
	State   ActionState
	Outcome ActionOutcome
}

// Ledger records intents before and outcomes after actions that run at most once.
// Errors are told apart with the functions of package mcledger.
type Ledger interface {
	// Begin asks to run the action. After any error no attempt may be run.
	Begin(ctx context.Context, key ActionKey, bodyHash [32]byte) (ActionGrant, error)
	// Finish records what became of a granted attempt: ActionDone with the outcome,
	// ActionUnknown, or ActionAbandoned when no byte was sent.
	Finish(ctx context.Context, key ActionKey, attemptID string, state ActionState, outcome ActionOutcome) error
}
