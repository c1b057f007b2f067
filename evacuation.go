package marigoldcroft

import "time"

// Evacuation is an entry of the platform's store by which the operator evacuates a data centre:
// nothing more may be sent to its endpoints until the entry is removed.
type Evacuation struct {
	DataCentre string
}

// EvacuationStatement states whether a data centre was evacuated at one revision of the platform's
// store.
type EvacuationStatement struct {
	DataCentre string
	Evacuated  bool
	// Era counts the times that the store came back from an older copy. Revisions of different eras
	// cannot be compared.
	Era, Revision int64
	// Since is when an instance first learned the state.
	Since time.Time
}

// NewerThan reports whether the statement replaces the other one.
func (s EvacuationStatement) NewerThan(other EvacuationStatement) bool {
	if s.Era != other.Era {
		return s.Era > other.Era
	}
	return s.Revision > other.Revision
}
