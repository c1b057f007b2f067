// Package mcledger is the at-most-once ledger: it records intents before and outcomes
// after actions that must not be repeated. The protocol is a pure core (state and
// event to new state, writes and replies) that a driver connects to the object store
// and to other instances; the tests check the core itself exhaustively. docs/ledger.md
// describes the protocol and what it does not promise.
package mcledger
