// Package mcstandin provides small in-process stand-ins of the external systems, each with
// fault injection: model engine, plain service, object store, instance list, and the servers
// and the metadata store of the users' platform.
package mcstandin
