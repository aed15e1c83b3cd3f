package runner

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// A prompt may contain two directives for the stand-in. "[out=N]" ends the output after N tokens
// with finish reason stop, unless the run's limit is lower. "[mark=X]" makes the stand-in count
// the run under the marker X as well (Executions.Marks).
var (
	outDirective  = regexp.MustCompile(`\[out=(\d+)\]`)
	markDirective = regexp.MustCompile(`\[mark=([^\]]+)\]`)
)

// vocabulary lists the words that the output text consists of.
var vocabulary = [...]string{
	"air", "and", "be", "clear", "east", "fine", "for", "from", "good", "hour",
	"in", "low", "near", "north", "of", "smoke", "south", "stay", "to", "wind",
}

// generator computes the output text of one run, token by token. A token depends only on the
// seed and on the token's index, so that the text is the same at every attempt and a test can
// check every byte of it.
type generator struct {
	seed       uint64 // hash of the request; see newGenerator
	total      int    // number of output tokens
	stopsEarly bool   // "[out=N]" ends the output, not the run's limit
}

// newGenerator returns the generator of a run. The seed is a hash of model, adapter, version and
// prompt. With Config.Sampling the hash includes the runner's name, so that runners produce
// different texts. A token limit below 1, such as that of a prefill, counts as 1.
func newGenerator(c Config, r upstream.RunRequest) generator {
	h := xxhash.New()
	parts := []string{r.Model, r.Adapter, r.Version, r.Prompt}
	if c.Sampling {
		parts = append(parts, c.Name)
	}
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.Write([]byte{0}) // separates the parts: "ab", "c" must differ from "a", "bc"
	}
	g := generator{seed: h.Sum64(), total: max(r.MaxTokens, 1)}
	if n, ok := outputLength(r.Prompt); ok && n <= g.total {
		g.total, g.stopsEarly = n, true
	}
	return g
}

// token returns the text of the token with the given index, which starts at 0: a word that
// depends on a hash of seed and index, followed by the index and a space.
func (g generator) token(index int) string {
	x := g.seed + uint64(index)*0x9e3779b97f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return vocabulary[x%uint64(len(vocabulary))] + strconv.Itoa(index) + " "
}

// finishReason returns the reason that an engine reports at the end of a run that was not
// canceled: stop if "[out=N]" ended the output, or else length.
func (g generator) finishReason() string {
	if g.stopsEarly {
		return "stop"
	}
	return "length"
}

// outputLength returns the N of "[out=N]", and false if the prompt has no such directive or N
// is too large for an int.
func outputLength(prompt string) (int, bool) {
	m := outDirective.FindStringSubmatch(prompt)
	if m == nil {
		return 0, false
	}
	n, err := strconv.Atoi(m[1])
	return n, err == nil
}

// PromptMarker returns the X of "[mark=X]" in a prompt, or an empty string if there is none.
func PromptMarker(prompt string) string {
	m := markDirective.FindStringSubmatch(prompt)
	if m == nil {
		return ""
	}
	return m[1]
}

// TokenText returns the text of a run's token with the given index at a stand-in without
// Sampling.
func TokenText(r upstream.RunRequest, index int) string {
	return newGenerator(Config{}, r).token(index)
}

// TokenCount returns the number of output tokens of a run that is not canceled.
func TokenCount(r upstream.RunRequest) int {
	return newGenerator(Config{}, r).total
}

// OutputText returns the whole output text of a run at a stand-in without Sampling.
func OutputText(r upstream.RunRequest) string {
	g := newGenerator(Config{}, r)
	var b strings.Builder
	for i := range g.total {
		b.WriteString(g.token(i))
	}
	return b.String()
}
