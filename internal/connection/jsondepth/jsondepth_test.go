package jsondepth

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// nested returns a value that is nested in a number of arrays or objects.
func nested(levels int, open, value, end string) string {
	return strings.Repeat(open, levels) + value + strings.Repeat(end, levels)
}

// TestDeepValueIsReplaced checks that only what is nested too deeply is replaced, so that the rest of a text is decoded.
func TestDeepValueIsReplaced(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"nothing deep", `{"a":[1,"[[[{"],"b":"\"[["}`, `{"a":[1,"[[[{"],"b":"\"[["}`},
		{"just not too deep", nested(Max, "[", "7", "]"), nested(Max, "[", "7", "]")},
		{"one level too deep", nested(Max+1, "[", "7", "]"), nested(Max, "[", "0", "]")},
		{"deep beside others", `[` + nested(20_000, `{"a":`, `"]}\"]"`, "}") + `,5]`, `[` + nested(Max-1, `{"a":`, "0", "}") + `,5]`},
		{"several", `[` + nested(Max, "[", "", "]") + `,` + nested(Max, "[", "", "]") + `]`, `[` + nested(Max-1, "[", "0", "]") + `,` + nested(Max-1, "[", "0", "]") + `]`},
	} {
		got, replaced := Limit([]byte(c.in))
		if string(got) != c.want || replaced != (c.in != c.want) {
			t.Errorf("%s: %d bytes, replaced %t; want %d", c.name, len(got), replaced, len(c.want))
		}
		if !json.Valid(got) {
			t.Errorf("%s: no JSON any more", c.name)
		}
		read, err := io.ReadAll(NewReader(iotest.OneByteReader(strings.NewReader(c.in))))
		if err != nil || string(read) != c.want {
			t.Errorf("%s, read: %d bytes, %v", c.name, len(read), err)
		}
	}
}

// TestAnyTextCanBeLimited checks that texts that aren't JSON do no harm, and that JSON that isn't deep stays as it is.
func TestAnyTextCanBeLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"[", "]", "{", "}", `"`, `\`, "1", ",", ":"})).Draw(t, "text"), "")
		if got, replaced := Limit([]byte(text)); string(got) != text || replaced {
			t.Errorf("%q became %q", text, got)
		}
	})
}
