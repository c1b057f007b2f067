package mccommand

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"marigoldcroft"
	"marigoldcroft/mcadmin"
	"marigoldcroft/mcconfig"
)

const (
	defaultServer = "127.0.0.1:7003"
	// callLimit bounds one call of the admin port; a change is read back for up to 15 s.
	callLimit = 20 * time.Second
)

// call is one run of a verb: its arguments, its output and its client.
type call struct {
	verb           Verb
	parser         *flaggy.Parser
	stdout, stderr io.Writer
	server         string
	// flags maps each flag with its dashes to whether it takes a value.
	flags       map[string]bool
	positionals []positional
}

// positional is an argument without a flag.
type positional struct {
	value    *string
	name     string
	required bool
}

// newCall returns a call of the verb without arguments.
func newCall(verb Verb, stdout, stderr io.Writer) *call {
	parser := flaggy.NewParser("marigoldcroft " + verb.Name)
	// flaggy ends the process in these cases; check deals with them instead.
	parser.ShowHelpOnUnexpected, parser.ShowHelpWithHFlag = false, false
	parser.ShowVersionWithVersionFlag, parser.ShowCompletion = false, false
	return &call{verb: verb, parser: parser, stdout: stdout, stderr: stderr, flags: map[string]bool{}}
}

// newClientCall returns a call that talks to a server.
func newClientCall(verb Verb, stdout, stderr io.Writer) *call {
	c := newCall(verb, stdout, stderr)
	c.server = defaultServer
	c.text(&c.server, "", "server", "address of the admin port (default "+defaultServer+")")
	return c
}

func (c *call) know(short, long string, takesValue bool) {
	c.flags["--"+long] = takesValue
	if short != "" {
		c.flags["-"+short] = takesValue
	}
}

func (c *call) text(value *string, short, long, description string) {
	c.know(short, long, true)
	c.parser.String(value, short, long, description)
}

func (c *call) number(value *uint64, long, description string) {
	c.know("", long, true)
	c.parser.UInt64(value, "", long, description)
}

func (c *call) duration(value *time.Duration, long, description string) {
	c.know("", long, true)
	c.parser.Duration(value, "", long, description)
}

func (c *call) boolean(value *bool, long, description string) {
	c.know("", long, false)
	c.parser.Bool(value, "", long, description)
}

func (c *call) positional(value *string, name string, required bool) {
	c.positionals = append(c.positionals, positional{value, name, required})
	c.parser.AddPositionalValue(value, name, len(c.positionals), false, name)
}

// parse reads the arguments. It returns false with the exit code when the verb is
// not to be run.
func (c *call) parse(arguments []string) (int, bool) {
	for _, a := range arguments {
		if a == "--help" || a == "-h" {
			c.help()
			return exitDone, false
		}
	}
	err := c.check(arguments)
	if err == nil {
		err = c.parser.ParseArgs(arguments)
	}
	if err != nil {
		return c.usage(err), false
	}
	for _, p := range c.positionals {
		if p.required && *p.value == "" {
			return c.usage(fmt.Errorf("%s is missing", p.name)), false
		}
	}
	return exitDone, true
}

// check refuses unknown flags, flags without a value and surplus arguments.
func (c *call) check(arguments []string) error {
	surplus := -len(c.positionals)
	for i := 0; i < len(arguments); i++ {
		a := arguments[i]
		if !strings.HasPrefix(a, "-") {
			if surplus++; surplus > 0 {
				return fmt.Errorf("argument %q is not expected", a)
			}
			continue
		}
		name, _, hasValue := strings.Cut(a, "=")
		takesValue, known := c.flags[name]
		if !known {
			return fmt.Errorf("flag %s does not exist", name)
		}
		if takesValue && !hasValue {
			if i++; i == len(arguments) {
				return fmt.Errorf("flag %s needs a value", name)
			}
		}
	}
	return nil
}

func (c *call) usage(err error) int {
	fmt.Fprintf(c.stderr, "marigoldcroft %s: %v; see marigoldcroft %s --help\n", c.verb.Name, err, c.verb.Name)
	return exitUsage
}

func (c *call) help() {
	fmt.Fprintf(c.stdout, "marigoldcroft %s: %s\n\nUsage: marigoldcroft %s", c.verb.Name, c.verb.Summary, c.verb.Name)
	for _, p := range c.positionals {
		if p.required {
			fmt.Fprintf(c.stdout, " %s", p.name)
			continue
		}
		fmt.Fprintf(c.stdout, " [%s]", p.name)
	}
	if len(c.flags) > 0 {
		fmt.Fprint(c.stdout, " [flags]\n\nFlags:")
	}
	fmt.Fprintln(c.stdout)
	for _, f := range c.parser.Flags {
		name := "    --" + f.LongName
		if f.ShortName != "" {
			name = "-" + f.ShortName + ", --" + f.LongName
		}
		fmt.Fprintf(c.stdout, "  %-16s %s\n", name, f.Description)
	}
	fmt.Fprintf(c.stdout, "\nExample:\n  %s\n", c.verb.Example)
}

func (c *call) client() *mcadmin.Client { return &mcadmin.Client{Server: c.server} }

// limit bounds the calls of one verb.
func (c *call) limit() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callLimit)
}

// fail prints the error and returns its exit code.
func (c *call) fail(err error) int {
	fmt.Fprintf(c.stderr, "marigoldcroft %s: %v\n", c.verb.Name, err)
	if marigoldcroft.FailureKind[mcadmin.Kind](err) == mcadmin.KindConflict {
		return exitConflict
	}
	return exitFailed
}

// done prints what was done, or the error.
func (c *call) done(err error, format string, args ...any) int {
	if err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.stdout, format+"\n", args...)
	return exitDone
}

// object returns the kind and the name that the arguments give.
func (c *call) object(kind, name string) (mcconfig.ObjectName, error) {
	k, err := mcconfig.ParseKind(kind)
	return mcconfig.ObjectName{Kind: k, Name: name}, err
}

// table prints rows of columns.
func (c *call) table(rows [][]string) {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// result prints what became of each object.
func (c *call) result(r mcconfig.Result) {
	for _, o := range r.Outcomes {
		fmt.Fprintf(c.stdout, "%s %s at revision %d\n", o.ObjectName, o.Action, o.Revision)
		for _, d := range o.Diff {
			fmt.Fprintf(c.stdout, "  %s: %s -> %s\n", d.Field, d.Before, d.After)
		}
	}
	for _, page := range r.Healed {
		fmt.Fprintf(c.stdout, "page %d was malformed or missing in the store and is written again\n", page)
	}
}
