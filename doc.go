// Package marigoldcroft holds the domain types and the interfaces of the serving
// layer. The packages below it implement the interfaces; each can be used alone.
//
// The users' words stand in names for four things: an instance is one machine
// that runs an entry process, a data centre is an availability zone, a team is a
// customer (tenant), and an endpoint is a back end.
package marigoldcroft
