package mccommand

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"marigoldcroft/mcconfig"
)

func getVerb() Verb {
	return Verb{
		Name:    "get",
		Summary: "print the templates or teams in force",
		Example: "marigoldcroft get template caption -o yaml",
		Run:     runGet,
	}
}

func runGet(arguments []string, stdout, stderr io.Writer) int {
	var kind, name string
	output := "table"
	c := newClientCall(getVerb(), stdout, stderr)
	c.positional(&kind, "KIND", true)
	c.positional(&name, "NAME", false)
	c.text(&output, "o", "output", "table, yaml or json (default table)")
	if code, ok := c.parse(arguments); !ok {
		return code
	}
	object, err := c.object(kind, name)
	if err != nil {
		return c.usage(err)
	}
	ctx, cancel := c.limit()
	defer cancel()
	var entries []mcconfig.Entry
	if name == "" {
		entries, err = c.client().List(ctx, object.Kind)
	} else {
		var entry mcconfig.Entry
		entry, err = c.client().Get(ctx, object)
		entries = []mcconfig.Entry{entry}
	}
	if err != nil {
		return c.fail(err)
	}
	return c.entries(entries, output)
}

// entries prints objects in the chosen form.
func (c *call) entries(entries []mcconfig.Entry, output string) int {
	switch output {
	case "table":
		rows := [][]string{{"NAME", "REVISION", "TIME", "CONTENT"}}
		for _, e := range entries {
			rows = append(rows, []string{e.ObjectName.Name, fmt.Sprint(e.Revision), e.Time.Format(time.RFC3339), summary(e)})
		}
		c.table(rows)
	case "yaml":
		text, err := mcconfig.EncodeFile(entries)
		if err != nil {
			return c.fail(err)
		}
		fmt.Fprint(c.stdout, string(text))
	case "json":
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(entries); err != nil {
			return c.fail(err)
		}
	default:
		return c.usage(fmt.Errorf("output %q is none of table, yaml, json", output))
	}
	return exitDone
}

// summary returns an entry's content in a few words.
func summary(e mcconfig.Entry) string {
	switch {
	case e.Deleted:
		return "deleted"
	case e.Template != nil:
		return fmt.Sprintf("%s%s %s %s %dms", e.Template.Model, e.Template.Service, e.Template.Urgency, e.Template.Repeat, e.Template.DeadlineMs)
	default:
		return fmt.Sprintf("%d keys, templates %v", len(e.Team.KeyHashes), e.Team.Templates)
	}
}
