package marigoldcroft

import (
	"fmt"
	"time"
)

// Identity identifies one process (incarnation) of an instance.
type Identity struct {
	deployment string
	dataCentre string
	region     string
	instance   string
	// incarnation increases with each start of the process, so that two processes of one
	// instance can be told apart and ordered.
	incarnation uint64
}

// NewIdentity returns the identity of a process of an instance. The incarnation is the Unix
// time of start in nanoseconds with its low 10 bits taken from salt, so that two starts
// within one microsecond differ.
func NewIdentity(deployment, region, dataCentre, instance string, start time.Time, salt uint64) Identity {
	const saltMask = 1<<10 - 1
	incarnation := uint64(start.UnixNano())&^saltMask | salt&saltMask
	return Identity{
		deployment: deployment, region: region, dataCentre: dataCentre,
		instance: instance, incarnation: incarnation,
	}
}

// Deployment returns the id of the deployment.
func (i Identity) Deployment() string { return i.deployment }

// DataCentre returns the data centre of the instance.
func (i Identity) DataCentre() string { return i.dataCentre }

// Region returns the region of the data centre.
func (i Identity) Region() string { return i.region }

// Instance returns the name of the instance.
func (i Identity) Instance() string { return i.instance }

// Incarnation returns the incarnation; processes started later have larger ones.
func (i Identity) Incarnation() uint64 { return i.incarnation }

// Owner returns instance/incarnation, the form in which engines and stored objects name the
// process that owns a stream or a lease.
func (i Identity) Owner() string { return fmt.Sprintf("%s/%d", i.instance, i.incarnation) }
