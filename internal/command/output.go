package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"

	"sigs.k8s.io/yaml"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// table writes rows in aligned columns.
type table struct {
	tabs *tabwriter.Writer
}

func newTable(w io.Writer, columns ...string) *table {
	t := &table{tabs: tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)}
	t.row(columns...)
	return t
}

// row writes one line of sanitized cells.
func (t *table) row(cells ...string) {
	for i, cell := range cells {
		cells[i] = sanitize(cell)
	}
	fmt.Fprintln(t.tabs, strings.Join(cells, "\t"))
}

func (t *table) flush() { _ = t.tabs.Flush() }

// sanitize replaces control characters by question marks, since they could change the
// state of a terminal. It returns "-" for the empty string.
func sanitize(s string) string {
	if s == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return '?'
		}
		return r
	}, s)
}

// writeFormatted writes a value as JSON or YAML.
func writeFormatted(w io.Writer, format string, value any) error {
	var raw []byte
	var err error
	if format == formatYAML {
		raw, err = yaml.Marshal(value)
	} else {
		raw, err = json.MarshalIndent(value, "", "  ")
		raw = append(raw, '\n')
	}
	if err != nil {
		return err
	}
	_, err = w.Write(raw)
	return err
}

// truncate shortens s to at most limit characters, the last three of which are dots.
func truncate(s string, limit int) string {
	runes := []rune(s)
	if len(runes) <= limit {
		return s
	}
	return string(runes[:limit-3]) + "..."
}
