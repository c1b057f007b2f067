package mccommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/integrii/flaggy"

	"marigoldcroft"
	"marigoldcroft/mcadmin"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcpeer"
	"marigoldcroft/mcverb"
)

// defaultServer is the admin address that the operators' verbs call.
const defaultServer = "127.0.0.1:7003"

// operator is the state of one call of an operators' verb.
type operator struct {
	verb   Verb
	parser *flaggy.Parser
	server string
	output string
	// files are those of mutual TLS; all empty means plain HTTP.
	files  mcpeer.TLSFiles
	stdout io.Writer
	stderr io.Writer
}

// newOperator returns an operator with the flags that all operators' verbs have.
func newOperator(verb Verb, stdout, stderr io.Writer) *operator {
	o := &operator{verb: verb, parser: mcverb.NewParser(program, verb), server: defaultServer, output: "table", stdout: stdout, stderr: stderr}
	o.parser.String(&o.server, "s", "server", "admin IP and port of any entry instance")
	o.parser.String(&o.files.CertificateFile, "", "certificate", "certificate of the operator for mutual TLS, PEM")
	o.parser.String(&o.files.KeyFile, "", "key", "private key of the operator, PEM")
	o.parser.String(&o.files.AuthorityFile, "", "authority", "certificates that sign the instances, PEM")
	return o
}

// client returns the client of the server, over mutual TLS when files are named.
func (o *operator) client() (*mcadmin.Client, error) {
	if o.files.CertificateFile == "" {
		return &mcadmin.Client{Address: "http://" + o.server, HTTP: http.DefaultClient}, nil
	}
	credentials, err := mcpeer.NewCredentials(o.files)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: credentials.HTTPClient()}
	return &mcadmin.Client{Address: "https://" + o.server, HTTP: &http.Client{Transport: transport}}, nil
}

// run parses the arguments and runs act; its error decides the exit code.
func (o *operator) run(arguments []string, act func(ctx context.Context, client *mcadmin.Client) error) int {
	if err := o.parser.ParseArgs(arguments); err != nil {
		return o.fail(exitUsage, err)
	}
	ctx, cancel := mcverb.UntilSignal()
	defer cancel()
	client, err := o.client()
	if err != nil {
		return o.fail(exitUsage, err)
	}
	if err := act(ctx, client); err != nil {
		return o.fail(exitCode(err), err)
	}
	return exitDone
}

func (o *operator) fail(code int, err error) int {
	fmt.Fprintf(o.stderr, "%s %s: %v\n", program, o.verb.Name, err)
	var remote *mcadmin.RemoteError
	if errors.As(err, &remote) {
		printConflicts(o.stderr, remote.Conflicts())
	}
	return code
}

var (
	errUsage = errors.New("wrong usage")
	// errNotInForce means accepted, but not yet in force everywhere.
	errNotInForce = errors.New("not yet in force everywhere")
)

func usage(message string) error { return errors.Mark(errors.New(message), errUsage) }

func exitCode(err error) int {
	var remote *mcadmin.RemoteError
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.As(err, &remote) && remote.Kind() == mcadmin.KindConflict:
		return exitConflict
	case errors.As(err, &remote) && remote.Kind() == mcadmin.KindInvalid:
		return exitUsage
	case marigoldcroft.FailureKind[mcconfig.Kind](err) == mcconfig.KindInvalid:
		return exitUsage
	}
	return exitFailed
}

func printConflicts(w io.Writer, conflicts []mcconfig.Conflict) {
	for _, c := range conflicts {
		fmt.Fprintf(w, "conflict %s: expected revision %d, found %d\n", c.ObjectName.String(), c.Expected, c.Found)
		printDiff(w, c.Diff)
	}
}

func printDiff(w io.Writer, diff []mcconfig.FieldDiff) {
	for _, d := range diff {
		fmt.Fprintf(w, "  %s: %s -> %s\n", d.Field, d.Before, d.After)
	}
}

// objectName returns the object that the two words name.
func objectName(kind, name string) (mcconfig.ObjectName, error) {
	parsed, err := mcconfig.ParseKind(kind)
	if err != nil {
		return mcconfig.ObjectName{}, usage(err.Error())
	}
	if name == "" {
		return mcconfig.ObjectName{}, usage("NAME is missing")
	}
	return mcconfig.ObjectName{Kind: parsed, Name: name}, nil
}

// printEntries writes objects in the form that the -o flag asks for.
func (o *operator) printEntries(entries []mcconfig.Entry) error {
	switch o.output {
	case "json":
		encoder := json.NewEncoder(o.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(entries)
	case "yaml":
		text, err := mcconfig.EncodeFile(entries)
		if err != nil {
			return err
		}
		_, err = o.stdout.Write(text)
		return err
	case "table":
		return printEntryTable(o.stdout, entries)
	}
	return usage("flag -o: yaml, json and table are allowed, got " + o.output)
}

func printEntryTable(w io.Writer, entries []mcconfig.Entry) error {
	t := newTable(w, "KIND", "NAME", "REVISION", "STATE", "SUMMARY")
	inForce := make(map[mcconfig.ObjectName]bool)
	for _, e := range entries {
		state := "in force"
		switch {
		case inForce[e.ObjectName]:
			state = "replaced"
		case e.Deleted:
			state = "deleted"
		}
		inForce[e.ObjectName] = true
		t.row(e.Kind, e.Name, e.Revision, state, summary(e))
	}
	return t.flush()
}

func summary(e mcconfig.Entry) string {
	switch {
	case e.Template != nil && e.Template.Model != "":
		return fmt.Sprintf("model %s, %s, %s", e.Template.Model, e.Template.Urgency, e.Template.Repeat)
	case e.Template != nil:
		return fmt.Sprintf("service %s, %s, %s", e.Template.Service, e.Template.Urgency, e.Template.Repeat)
	case e.Team != nil:
		return "templates " + strings.Join(e.Team.Templates, " ")
	}
	return ""
}

// printResult shows an accepted change and waits until it is in force everywhere.
func (o *operator) printResult(result mcconfig.Result) {
	for _, outcome := range result.Outcomes {
		fmt.Fprintf(o.stdout, "%s %s\n", outcome.ObjectName.String(), outcome.Action)
		printDiff(o.stdout, outcome.Diff)
	}
}

// printYAML shows a value with the keys of its JSON form.
func (o *operator) printYAML(value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	text, err = yaml.JSONToYAML(text)
	if err != nil {
		return err
	}
	_, err = o.stdout.Write(text)
	return err
}
