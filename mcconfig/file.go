package mcconfig

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"marigoldcroft"
)

// trailingSpace matches JSON text in which a string has a space or tab at the end of
// a line.
var trailingSpace = regexp.MustCompile(`( |\\t)(\\r)?\\n`)

// MaxFileBytes limits the size of an operator file and of the body of an operator request.
const MaxFileBytes = 4 << 20

type (
	// templateDocument is the YAML form of a template in an operator file.
	templateDocument struct {
		Kind string `yaml:"kind"`
		// Revision, if set, is the revision that the stored object must have.
		Revision                   *uint64 `yaml:"revision,omitempty"`
		marigoldcroft.TemplateSpec `yaml:",inline"`
	}

	// teamDocument is the YAML form of a team in an operator file.
	teamDocument struct {
		Kind                   string  `yaml:"kind"`
		Revision               *uint64 `yaml:"revision,omitempty"`
		marigoldcroft.TeamSpec `yaml:",inline"`
	}
)

// DecodeFile decodes and validates the documents of an operator file. The error has one
// line for each invalid document, which names the file, the document, the field and the
// limit.
func DecodeFile(file string, text []byte) (changes []Change, err error) {
	// goccy/go-yaml 1.19 panics if the value of a sequence field has an unknown tag.
	defer func() {
		if cause := recover(); cause != nil {
			changes = nil
			err = marigoldcroft.NewFailure("decode "+file, KindInvalid, errors.Newf("malformed YAML: %v", cause))
		}
	}()
	if len(text) > MaxFileBytes {
		return nil, marigoldcroft.NewFailure("decode "+file, KindInvalid,
			errors.Newf("the file has %d bytes; at most %d are allowed", len(text), MaxFileBytes))
	}
	parsed, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, marigoldcroft.NewFailure("decode "+file, KindInvalid, errors.New(yaml.FormatError(err, false, false)))
	}
	var (
		problems []string
		seen     = map[ObjectName]int{}
		owners   = map[keyHash]ObjectName{}
	)
	for i, document := range parsed.Docs {
		if document.Body == nil || document.Body.Type() == ast.NullType {
			continue
		}
		change, err := decodeDocument(document.Body)
		if err == nil {
			err = checkDuplicates(change, i+1, seen, owners)
		}
		if err != nil {
			problems = append(problems, fmt.Sprintf("%s: document %d%s: %v", file, i+1, nameSuffix(change), err))
			continue
		}
		changes = append(changes, change)
	}
	if len(problems) == 0 && len(changes) == 0 {
		problems = append(problems, file+": the file has no document")
	}
	if len(problems) > 0 {
		return nil, marigoldcroft.NewFailure("decode", KindInvalid, errors.New(strings.Join(problems, "\n")))
	}
	return changes, nil
}

// EncodeFile encodes the entries that are not deleted as an operator file. Each document
// carries the revision of its object, so that applying the file fails if the object has
// changed in the meantime.
func EncodeFile(entries []Entry) ([]byte, error) {
	var out bytes.Buffer
	for i, e := range entries {
		if i > 0 {
			out.WriteString("---\n")
		}
		var document any
		switch {
		case e.Deleted:
			continue
		case e.Template != nil:
			document = templateDocument{Kind: string(e.Kind), Revision: &e.Revision, TemplateSpec: *e.Template}
		default:
			document = teamDocument{Kind: string(e.Kind), Revision: &e.Revision, TeamSpec: *e.Team}
		}
		text, err := encodeDocument(document)
		if err != nil {
			return nil, marigoldcroft.NewFailure("encode "+e.String(), KindInvalid, err)
		}
		out.Write(text)
	}
	return out.Bytes(), nil
}

// encodeDocument encodes one document. If a string has trailing spaces on a line, it
// quotes all strings, because the YAML library drops such spaces from block scalars.
func encodeDocument(document any) ([]byte, error) {
	text, err := yaml.MarshalWithOptions(document, yaml.JSON())
	if err != nil || !trailingSpace.Match(text) {
		return yaml.Marshal(document)
	}
	return yaml.MarshalWithOptions(document, yaml.CustomMarshaler(func(text string) ([]byte, error) {
		return []byte(strconv.Quote(text)), nil
	}))
}

// decodeDocument decodes and validates one document. After most errors the returned
// change still has its name, for use in the error message.
func decodeDocument(node ast.Node) (Change, error) {
	var header struct {
		Kind string `yaml:"kind"`
		Name string `yaml:"name"`
	}
	if err := yaml.NodeToValue(node, &header); err != nil {
		return Change{}, formatDecodeError(err)
	}
	var (
		change   = Change{Name: ObjectName{Kind: ObjectKind(header.Kind), Name: header.Name}}
		template templateDocument
		team     teamDocument
		err      error
	)
	switch change.Name.Kind {
	case ObjectTemplate:
		err = yaml.NodeToValue(node, &template, yaml.Strict())
		change.Object.Template, change.Expected = &template.TemplateSpec, template.Revision
	case ObjectTeam:
		err = yaml.NodeToValue(node, &team, yaml.Strict())
		change.Object.Team, change.Expected = &team.TeamSpec, team.Revision
	default:
		return Change{}, errors.Newf("field kind: value %s breaks the limit oneof=template team", quoteTruncated(header.Kind))
	}
	if err != nil {
		return change, formatDecodeError(err)
	}
	change.Object = change.Object.normalized()
	return change, change.Object.check()
}

// checkDuplicates returns an error if an earlier document of the file defines the same
// object or a team with the same key hash. It adds change to seen and owners.
func checkDuplicates(change Change, document int, seen map[ObjectName]int, owners map[keyHash]ObjectName) error {
	if earlier, ok := seen[change.Name]; ok {
		return errors.Newf("field name: %s stands in document %d, too", change.Name, earlier)
	}
	seen[change.Name] = document
	if change.Object.Team == nil {
		return nil
	}
	for i, hash := range change.Object.Team.KeyHashes {
		h, _ := parseKeyHash(hash)
		if owner, ok := owners[h]; ok {
			return errors.Newf("field keyHashes[%d]: the key hash stands in %s, too", i, owner)
		}
		owners[h] = change.Name
	}
	return nil
}

func nameSuffix(change Change) string {
	if change.Name.Name == "" {
		return ""
	}
	return fmt.Sprintf(" (%s %s)", change.Name.Kind, quoteTruncated(change.Name.Name))
}

// formatDecodeError formats a YAML decoding error as one line with its position.
func formatDecodeError(err error) error {
	var mismatch *yaml.TypeError
	if errors.As(err, &mismatch) && mismatch.StructFieldName != nil && mismatch.Token != nil {
		path := *mismatch.StructFieldName
		field := path[strings.LastIndexByte(path, '.')+1:]
		return errors.Newf("[%d:%d] field %s: value %s breaks the limit: a value of type %s",
			mismatch.Token.Position.Line, mismatch.Token.Position.Column,
			strings.ToLower(field[:1])+field[1:], quoteTruncated(mismatch.Token.Value), mismatch.DstType)
	}
	text, _, _ := strings.Cut(yaml.FormatError(err, false, false), "\n")
	return errors.New(text)
}
