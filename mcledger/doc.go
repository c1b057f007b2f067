// Package mcledger implements the at-most-once ledger. It records the intent to run an
// action before the action runs and its outcome afterwards, so that a repeated request
// does not run the action again.
//
// The protocol is a pure state machine, the core, that turns a state and an event into
// a new state, store operations and replies. A driver connects it to the object store
// and to other instances. The tests model-check the core itself exhaustively.
// docs/ledger.md describes the protocol and what it does not guarantee.
package mcledger
