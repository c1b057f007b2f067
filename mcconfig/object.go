package mcconfig

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"marigoldcroft"
)

// The kinds of objects.
const (
	ObjectTemplate ObjectKind = "template"
	ObjectTeam     ObjectKind = "team"
)

// PageCount is the number of pages over which objects are distributed by hash. With
// 40,000 teams a page holds about 160 objects in 56 KB.
const PageCount = 256

type (
	// ObjectKind is the kind of a configuration object.
	ObjectKind string

	// ObjectName identifies a configuration object.
	ObjectName struct {
		Kind ObjectKind `json:"kind"`
		Name string     `json:"name"`
	}

	// Object is the content of a template or a team; exactly one of the fields is set. The
	// fields are exported because the codecs and the validator reach only exported fields.
	Object struct {
		Template *marigoldcroft.TemplateSpec `json:"template,omitempty"`
		Team     *marigoldcroft.TeamSpec     `json:"team,omitempty"`
	}

	// Entry is one object with its metadata, as stored in a page.
	Entry struct {
		ObjectName
		// Revision is the configuration revision that wrote this content.
		Revision uint64 `json:"revision"`
		// Previous is the revision of the object's previous content, or 0 if there is none.
		Previous uint64    `json:"previous,omitempty"`
		Time     time.Time `json:"time"`
		// Deleted marks a deleted object. Its entry is kept because Previous links to the
		// history.
		Deleted bool `json:"deleted,omitempty"`
		Object
	}
)

var structValidator = newStructValidator()

// ParseKind parses the name of a kind, in the singular or with a final s.
func ParseKind(s string) (ObjectKind, error) {
	switch kind := ObjectKind(strings.TrimSuffix(s, "s")); kind {
	case ObjectTemplate, ObjectTeam:
		return kind, nil
	default:
		return "", marigoldcroft.NewFailure("parse kind", KindInvalid,
			errors.Newf("kind %q is neither %q nor %q", s, ObjectTemplate, ObjectTeam))
	}
}

// String returns the name in the form kind/name.
func (n ObjectName) String() string { return string(n.Kind) + "/" + n.Name }

// page returns the number of the page that holds the object.
func (n ObjectName) page() int { return int(xxhash.Sum64String(n.String()) % PageCount) }

// ID returns the name of the object from its content, or the zero name without content.
func (o Object) ID() ObjectName {
	switch {
	case o.Template != nil:
		return ObjectName{Kind: ObjectTemplate, Name: o.Template.Name}
	case o.Team != nil:
		return ObjectName{Kind: ObjectTeam, Name: o.Team.Name}
	default:
		return ObjectName{}
	}
}

func (o Object) spec() any {
	if o.Template != nil {
		return o.Template
	}
	return o.Team
}

// normalized returns the object in canonical form, so that equal contents have the same
// stored form: a nil list of templates becomes an empty one.
func (o Object) normalized() Object {
	if o.Team != nil && o.Team.Templates == nil {
		team := *o.Team
		team.Templates = []string{}
		o.Team = &team
	}
	return o
}

func (o Object) equal(other Object) bool { return reflect.DeepEqual(o, other) }

// check validates the object by itself. The error names each field that violates a limit.
func (o Object) check() error {
	if (o.Template == nil) == (o.Team == nil) {
		return errors.New("an object is either a template or a team")
	}
	err := structValidator.Struct(o.spec())
	var fields validator.ValidationErrors
	if errors.As(err, &fields) {
		return errors.New(describeFields(fields))
	}
	if err != nil {
		return err
	}
	name := o.ID()
	if strings.ContainsFunc(name.Name, func(r rune) bool { return r == '/' || unicode.IsControl(r) || unicode.IsSpace(r) }) {
		return errors.Newf("field name: value %q breaks the limit: no slash, space or control character", name.Name)
	}
	return nil
}

// newStructValidator returns a validator that reports fields by their names in operator
// files.
func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// describeFields lists the invalid fields with their values and the violated limits.
func describeFields(fields validator.ValidationErrors) string {
	lines := make([]string, 0, len(fields))
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		limit := f.Tag()
		if f.Param() != "" {
			limit += "=" + f.Param()
		}
		lines = append(lines, fmt.Sprintf("field %s: value %s breaks the limit %s", path, quoteTruncated(f.Value()), limit))
	}
	return strings.Join(lines, "; ")
}

// quoteTruncated returns the value in quotes, truncated to 60 bytes.
func quoteTruncated(value any) string {
	const limit = 60
	text := fmt.Sprintf("%v", value)
	if len(text) > limit {
		return fmt.Sprintf("%q (and %d more bytes)", text[:limit], len(text)-limit)
	}
	return fmt.Sprintf("%q", text)
}

// keyHash is the SHA-256 of an API key of a team.
type keyHash [32]byte

// parseKeyHash decodes a hash from hex in upper or lower case.
func parseKeyHash(s string) (keyHash, bool) {
	var h keyHash
	if len(s) != hex.EncodedLen(len(h)) {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(s))
	return h, err == nil
}
