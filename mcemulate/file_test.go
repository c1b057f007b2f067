package mcemulate_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcemulate"
)

// Guards against accepting malformed or invalid experiment files, and against an example
// file that no longer runs.
func TestExperimentFile(t *testing.T) {
	text, err := os.ReadFile("../examples/crest.yaml")
	require.NoError(t, err)
	f, err := mcemulate.Decode(text)
	require.NoError(t, err)
	f.Policies, f.Seeds = []string{"passModel", "roundRobin"}, f.Seeds[:1]
	var table strings.Builder
	require.NoError(t, f.Compare(&table))
	require.Equal(t, 2+2*len(f.Classes), strings.Count(table.String(), "\n"))

	for _, c := range []struct {
		from, to string
		kind     mcemulate.Kind
	}{
		{"engines: 16", "engines: 0", mcemulate.KindInvalid},
		{"lag: 100ms", "delay: 100ms", mcemulate.KindDecode},
		{"perSecond: 0.5", "perSecond: -1", mcemulate.KindInvalid},
		{"stepTime: 1310us", "stepTime: soon", mcemulate.KindDecode},
	} {
		_, err := mcemulate.Decode([]byte(strings.Replace(string(text), c.from, c.to, 1)))
		require.Equal(t, c.kind, marigoldcroft.FailureKind[mcemulate.Kind](err), c.to)
	}
	f.Policies = []string{"unknown"}
	require.Error(t, f.Compare(&table))
}
