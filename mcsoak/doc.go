// Package mcsoak runs real entry instances as separate processes over stand-ins of the
// users' platform, injects faults from outside them that a seed draws, and checks from what
// callers and servers see that the promises of docs/guarantees.md hold meanwhile.
package mcsoak
