package mcfleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an endpoint that counts as being in a home region because its data centre is not in
// the table, or that keeps the region of an earlier process under its name.
func TestEndpointHasTheRegionOfItsDataCentre(t *testing.T) {
	f := newFleet()
	f.Regions = map[string]string{"a-1": "a", "b-1": "b"}
	for incarnation, c := range []struct{ dataCentre, want string }{{"a-1", "a"}, {"b-1", "b"}, {"c-1", ""}, {"", ""}} {
		r := readyRecord("e", uint64(incarnation)+1)
		r.Value.DataCentre = c.dataCentre
		f.Apply(change{Snapshot: true, Records: []record{r}})
		endpoint, ok := f.Endpoint("e")
		require.True(t, ok)
		require.Equal(t, c.want, endpoint.Region())
	}
}
