package mccommand

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// table writes rows of values in aligned columns.
type table struct{ writer *tabwriter.Writer }

func newTable(w io.Writer, titles ...string) *table {
	t := &table{writer: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	fmt.Fprintln(t.writer, strings.Join(titles, "\t"))
	return t
}

func (t *table) row(values ...any) {
	cells := make([]string, len(values))
	for i, value := range values {
		cells[i] = fmt.Sprint(value)
	}
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

func (t *table) flush() error { return t.writer.Flush() }
