package marigoldcroft

import (
	"fmt"
	"time"
)

// Identity names one run of one instance.
type Identity struct {
	deployment string
	dataCentre string
	region     string
	instance   string
	// incarnation grows at each start of the process, so that two runs of one
	// instance are never mistaken for each other.
	incarnation uint64
}

// NewIdentity returns the identity of the run of an instance that began at start.
// The low 10 bits are taken from salt, so that two starts in one microsecond differ.
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

// Incarnation returns the number of the run; later runs have larger numbers.
func (i Identity) Incarnation() uint64 { return i.incarnation }

// Owner returns the run of the instance in the form instance/incarnation, as
// engines and store objects carry it.
func (i Identity) Owner() string { return fmt.Sprintf("%s/%d", i.instance, i.incarnation) }
