package mccommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// defaultServer is the address of the admin API if the flag --server is not given.
const defaultServer = "127.0.0.1:7003"

// adminCall is one invocation of a verb that calls the admin API of an entry instance.
type adminCall struct {
	verb   Verb
	parser *flaggy.Parser
	server string
	output string
	// tlsFiles names the certificates and the key for mutual TLS. Without a certificate
	// file the client uses plain HTTP.
	tlsFiles mcpeer.TLSFiles
	stdout   io.Writer
	stderr   io.Writer
}

// newAdminCall returns an adminCall whose parser has the flags that all admin verbs share.
func newAdminCall(verb Verb, stdout, stderr io.Writer) *adminCall {
	call := &adminCall{verb: verb, parser: mcverb.NewParser(program, verb), server: defaultServer, output: "table", stdout: stdout, stderr: stderr}
	call.parser.String(&call.server, "s", "server", "admin IP and port of any entry instance")
	call.parser.String(&call.tlsFiles.CertificateFile, "", "certificate", "PEM file with the operator's certificate for mutual TLS")
	call.parser.String(&call.tlsFiles.KeyFile, "", "key", "PEM file with the operator's private key")
	call.parser.String(&call.tlsFiles.AuthorityFile, "", "authority", "PEM file with the CA certificates that sign the instances' certificates")
	return call
}

// client returns a client of the admin API, over mutual TLS if a certificate file is given.
func (call *adminCall) client() (*mcadmin.Client, error) {
	if call.tlsFiles.CertificateFile == "" {
		return mcadmin.NewClient(call.server, nil), nil
	}
	credentials, err := mcpeer.NewCredentials(call.tlsFiles)
	if err != nil {
		return nil, err
	}
	return mcadmin.NewClient(call.server, credentials.HTTPClient()), nil
}

// run parses the arguments and calls act with a client of the admin API. It prints the
// error, if any, and returns the exit code for it.
func (call *adminCall) run(arguments []string, act func(ctx context.Context, client *mcadmin.Client) error) int {
	if err := call.parser.ParseArgs(arguments); err != nil {
		return call.fail(exitUsage, err)
	}
	ctx, cancel := mcverb.SignalContext()
	defer cancel()
	client, err := call.client()
	if err != nil {
		return call.fail(exitUsage, err)
	}
	if err := act(ctx, client); err != nil {
		return call.fail(exitCode(err), err)
	}
	return exitOK
}

// fail prints the error, with the conflicts that the admin API reported, and returns code.
func (call *adminCall) fail(code int, err error) int {
	fmt.Fprintf(call.stderr, "%s %s: %v\n", program, call.verb.Name, err)
	var remote *mcadmin.RemoteError
	if errors.As(err, &remote) {
		printConflicts(call.stderr, remote.Conflicts())
	}
	return code
}

var (
	// errUsage marks errors in the arguments.
	errUsage = errors.New("wrong usage")
	// errNotInForce marks a change that is stored, but not yet in force on all instances.
	errNotInForce = errors.New("not yet in force everywhere")
)

func usageError(message string) error { return errors.Mark(errors.New(message), errUsage) }

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

// parseObjectName returns the object name that the arguments KIND and NAME give.
func parseObjectName(kind, name string) (mcconfig.ObjectName, error) {
	parsed, err := mcconfig.ParseKind(kind)
	if err != nil {
		return mcconfig.ObjectName{}, usageError(err.Error())
	}
	if name == "" {
		return mcconfig.ObjectName{}, usageError("NAME is missing")
	}
	return mcconfig.ObjectName{Kind: parsed, Name: name}, nil
}

// printEntries writes objects in the format of the flag -o.
func (call *adminCall) printEntries(entries []mcconfig.Entry) error {
	switch call.output {
	case "json":
		encoder := json.NewEncoder(call.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(entries)
	case "yaml":
		text, err := mcconfig.EncodeFile(entries)
		if err != nil {
			return err
		}
		_, err = call.stdout.Write(text)
		return err
	case "table":
		return printEntryTable(call.stdout, entries)
	}
	return usageError("flag -o must be yaml, json or table, got " + call.output)
}

// printEntryTable writes one row for each entry. Entries of one object must come newest first:
// only the first of them can be in force, later ones are shown as replaced.
func printEntryTable(w io.Writer, entries []mcconfig.Entry) error {
	t := newTable(w, "KIND", "NAME", "REVISION", "STATE", "SUMMARY")
	seen := make(map[mcconfig.ObjectName]bool)
	for _, e := range entries {
		state := "in force"
		switch {
		case seen[e.ObjectName]:
			state = "replaced"
		case e.Deleted:
			state = "deleted"
		}
		seen[e.ObjectName] = true
		t.row(e.Kind, e.Name, e.Revision, state, entrySummary(e))
	}
	return t.flush()
}

func entrySummary(e mcconfig.Entry) string {
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

// printResult prints the outcome and the changed fields of each object of a change.
func (call *adminCall) printResult(result mcconfig.Result) {
	for _, outcome := range result.Outcomes {
		fmt.Fprintf(call.stdout, "%s %s\n", outcome.ObjectName.String(), outcome.Action)
		printDiff(call.stdout, outcome.Diff)
	}
}

// printYAML prints a value as YAML with the keys of its JSON form.
func (call *adminCall) printYAML(value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	text, err = yaml.JSONToYAML(text)
	if err != nil {
		return err
	}
	_, err = call.stdout.Write(text)
	return err
}
