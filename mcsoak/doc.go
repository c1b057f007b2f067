// Package mcsoak is a fault-injection soak test. It runs real entry instances as separate
// processes against stand-ins of the users' platform, injects faults from outside the
// processes in an order drawn from a seed, and checks with the observations of callers and
// servers that the guarantees of docs/guarantees.md hold during the faults.
package mcsoak
