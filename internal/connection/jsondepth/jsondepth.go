// Package jsondepth bounds the nesting of JSON that is read from others. encoding/json refuses a whole document, such as a
// list of objects, if one value in it is nested too deeply.
package jsondepth

import "io"

// Max is the number of levels that are kept, half of what encoding/json decodes.
const Max = 5000

// flattened replaces a value below Max levels. It is one byte, so that the replaced text is never longer than the original.
const flattened = '0'

// Limit replaces the values in a JSON text that are nested below Max levels by the number 0. It overwrites data. ok reports
// whether there were any. A text that isn't JSON stays one.
func Limit(data []byte) (limited []byte, ok bool) {
	var f filter
	limited = f.apply(data)
	return limited, f.found
}

// filter replaces values in a text that comes in parts.
type filter struct {
	depth    int  // number of open arrays and objects
	inString bool // within a string
	escaped  bool // the next character of a string is escaped
	found    bool // a value was replaced
}

// apply returns the next part of the text with its values replaced, in the memory of part.
func (f *filter) apply(part []byte) []byte {
	out := part[:0]
	for _, c := range part {
		if f.keeps(c) {
			out = append(out, c)
		}
		if f.begins(c) {
			out = append(out, flattened)
		}
	}
	return out
}

// keeps steps f over a character and reports whether it is kept.
func (f *filter) keeps(c byte) bool {
	kept := f.depth <= Max
	switch {
	case f.escaped:
		f.escaped = false
	case f.inString:
		f.escaped, f.inString = c == '\\', c != '"'
	case c == '"':
		f.inString = true
	case c == '[', c == '{':
		f.depth++
		return f.depth <= Max
	case c == ']', c == '}':
		f.depth = max(0, f.depth-1)
	}
	return kept
}

// begins reports whether the value that is to be replaced began with the character over which f was stepped.
func (f *filter) begins(c byte) bool {
	if f.inString || f.depth != Max+1 || c != '[' && c != '{' {
		return false
	}
	f.found = true
	return true
}

// Reader reads a JSON text, of one value or several, as Limit returns it.
type Reader struct {
	from   io.Reader
	filter filter
}

// NewReader returns a Reader of a text.
func NewReader(from io.Reader) *Reader { return &Reader{from: from} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	for {
		n, err := r.from.Read(p)
		kept := r.filter.apply(p[:n])
		if len(kept) > 0 || err != nil || n == 0 {
			return len(kept), err
		}
	}
}
