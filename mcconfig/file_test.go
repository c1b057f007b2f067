package mcconfig_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"marigoldcroft/mcconfig"
)

// Guards against an invalid operator file that is accepted, and against an error that
// does not name the file, the document, the field and the limit.
func TestDecodeFile(t *testing.T) {
	files, err := filepath.Glob("testdata/files/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/files"))
	for _, path := range files {
		name := strings.TrimSuffix(filepath.Base(path), ".yaml")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			changes, err := mcconfig.DecodeFile(name+".yaml", text)
			if err != nil {
				require.True(t, mcconfig.IsInvalid(err))
				golden.Assert(t, name, []byte(err.Error()+"\n"))
				return
			}
			entries := make([]mcconfig.Entry, 0, len(changes))
			for _, c := range changes {
				entries = append(entries, mcconfig.Entry{ObjectName: c.Name, Revision: 3, Object: c.Object})
			}
			encoded, err := mcconfig.EncodeFile(entries)
			require.NoError(t, err)
			golden.Assert(t, name, encoded)
		})
	}
}

// Guards against trailing spaces and tabs that are lost when an operator file is encoded.
func TestEncodeFileKeepsTrailingSpaces(t *testing.T) {
	text := "kind: template\nname: n\nmodel: e\nurgency: interactive\nrepeat: idempotent\ndeadlineMs: 800\n" +
		`systemPrompt: "one  \ntwo\t\n\nthree"` + "\n" + `combinePrompt: "a\tb"` + "\n"
	changes, err := mcconfig.DecodeFile("f", []byte(text))
	require.NoError(t, err)
	require.Equal(t, "one  \ntwo\t\n\nthree", changes[0].Object.Template.SystemPrompt)
	require.Equal(t, "a\tb", changes[0].Object.Template.CombinePrompt)
	encoded, err := mcconfig.EncodeFile([]mcconfig.Entry{{ObjectName: changes[0].Name, Revision: 1, Object: changes[0].Object}})
	require.NoError(t, err)
	again, err := mcconfig.DecodeFile("g", encoded)
	require.NoError(t, err, string(encoded))
	require.Equal(t, changes[0].Object, again[0].Object)
}

// Guards against a file that makes the decoder panic, and against accepted content that
// changes when it is encoded and decoded again.
func FuzzDecodeFile(f *testing.F) {
	files, _ := filepath.Glob("testdata/files/*.yaml")
	for _, path := range files {
		text, _ := os.ReadFile(path)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		changes, err := mcconfig.DecodeFile("f", text)
		if err != nil {
			return
		}
		for _, c := range changes {
			encoded, err := mcconfig.EncodeFile([]mcconfig.Entry{{ObjectName: c.Name, Revision: 1, Object: c.Object}})
			require.NoError(t, err)
			again, err := mcconfig.DecodeFile("g", encoded)
			require.NoError(t, err, string(encoded))
			require.Equal(t, c.Object, again[0].Object)
		}
	})
}

// Guards against stored bytes that make the decoders panic, and against decoded heads
// and pages that violate the invariants on which the package relies.
func FuzzDecodeStored(f *testing.F) {
	f.Add([]byte(`{"version":1,"revision":2,"pages":[{"page":3,"revision":2,"hash":"00"}],"recent":[]}`))
	f.Add([]byte(`{"version":1,"page":3,"revision":2,"entries":[]}`))
	f.Add([]byte(`{"version":1,"page":94,"revision":2,"entries":[{"kind":"team","name":"a","revision":2,"time":"2026-01-01T00:00:00Z","deleted":true}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if head, err := mcconfig.DecodeHead(raw); err == nil {
			for _, ref := range head.Pages {
				require.Less(t, ref.Page, mcconfig.PageCount)
				require.LessOrEqual(t, ref.Revision, head.Revision)
			}
		}
		if page, err := mcconfig.DecodePage(raw); err == nil {
			for _, e := range page.Entries {
				require.Less(t, e.Previous, e.Revision)
				require.Equal(t, e.Deleted, e.Template == nil && e.Team == nil)
			}
		}
	})
}
