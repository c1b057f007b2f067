// Package marigoldcroft defines the domain types and interfaces of a serving layer between
// callers and model engines or plain services. The packages below it implement the
// interfaces; each can be used on its own.
//
// Four names follow the users' terminology: an instance is a machine that runs an entry
// process, a data centre is an availability zone, a team is a customer (tenant), and an
// endpoint is a back end.
package marigoldcroft
