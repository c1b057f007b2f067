package mcconfig

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

type (
	// FieldDiff is a field whose value differs. The values are JSON.
	FieldDiff struct {
		Field  string `json:"field"`
		Before string `json:"before"`
		After  string `json:"after"`
	}

	// Conflict is an object that a concurrent change modified first.
	Conflict struct {
		ObjectName
		// Expected is the revision that the rejected change was based on; 0 means that the
		// object did not exist.
		Expected uint64 `json:"expected"`
		// Found is the stored revision, or 0 if the object does not exist.
		Found uint64 `json:"found"`
		// Diff is the difference between the stored content and that of the rejected change.
		Diff []FieldDiff `json:"diff"`
	}

	// ConflictError lists the objects that concurrent changes modified first.
	ConflictError struct {
		conflicts []Conflict
	}
)

// NewConflictError returns a ConflictError with the given conflicts.
func NewConflictError(conflicts []Conflict) *ConflictError {
	return &ConflictError{conflicts: conflicts}
}

// Conflicts returns the objects in conflict.
func (e *ConflictError) Conflicts() []Conflict { return e.conflicts }

// Error returns one line for each conflict, with its differences.
func (e *ConflictError) Error() string {
	lines := make([]string, 0, len(e.conflicts))
	for _, c := range e.conflicts {
		line := fmt.Sprintf("%s is at revision %d, expected %d", c.ObjectName, c.Found, c.Expected)
		for _, d := range c.Diff {
			line += fmt.Sprintf("; field %s: %s stored, %s wanted", d.Field, d.Before, d.After)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// diff returns the fields that differ, sorted by name. An object without content has no
// fields.
func diff(before, after Object) []FieldDiff {
	b, a := fieldsOf(before), fieldsOf(after)
	var diffs []FieldDiff
	for name, value := range b {
		if a[name] != value {
			diffs = append(diffs, FieldDiff{Field: name, Before: value, After: orNone(a[name])})
		}
	}
	for name, value := range a {
		if _, ok := b[name]; !ok {
			diffs = append(diffs, FieldDiff{Field: name, Before: orNone(""), After: value})
		}
	}
	slices.SortFunc(diffs, func(x, y FieldDiff) int { return strings.Compare(x.Field, y.Field) })
	return diffs
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// fieldsOf returns the JSON value of each field by the field's name.
func fieldsOf(o Object) map[string]string {
	if o.Template == nil && o.Team == nil {
		return nil
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(mustEncode(o.spec()), &raw); err != nil {
		panic(err)
	}
	fields := make(map[string]string, len(raw))
	for name, value := range raw {
		fields[name] = string(value)
	}
	return fields
}
