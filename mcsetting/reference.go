package mcsetting

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

// WriteReference writes the reference page of all settings in Markdown. It is generated
// from the tags of the fields and from Default.
func WriteReference(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# Settings of an entry instance\n\n")
	b.WriteString("This page is generated: `marigoldcroft settings > docs/configuration.md`. ")
	b.WriteString("The file is YAML; an unknown field is an error that names its line.\n\n")
	b.WriteString("| field | default | limits | meaning |\n|---|---|---|---|\n")
	writeFields(&b, "", reflect.ValueOf(Default()))
	_, err := io.WriteString(w, b.String())
	return err
}

func writeFields(b *strings.Builder, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if v.Field(i).Kind() == reflect.Struct {
			writeFields(b, prefix+name+".", v.Field(i))
			continue
		}
		value := fmt.Sprint(v.Field(i).Interface())
		if value == "" || v.Field(i).Kind() == reflect.Map && v.Field(i).Len() == 0 {
			value = "none"
		}
		fmt.Fprintf(b, "| `%s%s` | %s | %s | %s |\n", prefix, name, value, field.Tag.Get("validate"), field.Tag.Get("doc"))
	}
}
