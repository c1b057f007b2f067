package mcmember

import (
	"fmt"
	"strconv"

	"google.golang.org/protobuf/encoding/prototext"
)

// Version is the version of a record. A later incarnation is newer, and within one
// incarnation no number may decrease.
type Version struct {
	Incarnation uint64
	Numbers     [3]uint64
}

// Versions returns the versions of all records in the table.
func Versions(t *Table) map[string]Version {
	versions := make(map[string]Version)
	for name, m := range t.members {
		versions["member "+name] = Version{m.record.GetIncarnation(), [3]uint64{m.sequence, m.record.GetVersion(), m.goneSequence}}
		versions["in-flight and usage "+name] = Version{m.record.GetIncarnation(), [3]uint64{m.inFlight.version, m.usage.version}}
	}
	for name, e := range t.endpoints {
		versions["endpoint "+name] = Version{e.state.GetEndpointIncarnation(), [3]uint64{e.loadVersion, e.state.GetVersion(), e.state.GetDownVersion()}}
	}
	for name, m := range t.marks {
		versions["mark "+name] = Version{Numbers: [3]uint64{m.GetVersion()}}
	}
	for fingerprint, q := range t.quarantine {
		versions["quarantine "+strconv.FormatUint(fingerprint, 10)] = Version{Numbers: [3]uint64{q.GetVersion()}}
	}
	return versions
}

// Agreed returns the state that must be equal at all members after enough exchanges.
// Sequences are not part of it, as they grow all the time.
func Agreed(t *Table) map[string]string {
	agreed := map[string]string{"revision": strconv.FormatUint(t.newestRevision, 10)}
	for name, m := range t.members {
		agreed["member "+name] = fmt.Sprint(m.record.GetIncarnation(), m.record.GetVersion(), m.state(), m.inFlight, m.usage.version)
	}
	for name, e := range t.endpoints {
		agreed["endpoint "+name] = fmt.Sprint(e.state.GetEndpointIncarnation(), e.state.GetVersion(), e.isDown(), e.loadVersion, e.sharedLoad.load.Running)
	}
	for name, m := range t.marks {
		agreed["mark "+name] = prototext.Format(m)
	}
	for fingerprint, q := range t.quarantine {
		agreed["quarantine "+strconv.FormatUint(fingerprint, 10)] = prototext.Format(q)
	}
	return agreed
}
