package capacity

import (
	"fmt"
	"io"
	"math"
	"os"

	"github.com/pkg/errors"
)

// Command is the measurement "capacity" of ragwort-bench.
type Command struct {
	Page  string `long:"page" default:"docs/CAPACITY.md" description:"page whose written counts are checked"`
	Small bool   `long:"small" description:"leave out the fleet of 370 daemons, which takes minutes"`
}

// Execute measures every figure, prints it beside the written one, and fails if one
// is off by more than its tolerance.
func (c *Command) Execute([]string) error {
	page, err := os.Open(c.Page)
	if err != nil {
		return errors.Wrap(err, "page")
	}
	defer page.Close()
	written, err := readPage(page)
	if err != nil {
		return err
	}
	figures, err := measureAll(c.Small)
	if err != nil {
		return err
	}
	return compare(os.Stdout, figures, written)
}

// compare prints every measured figure and gives an error that counts those that
// the page lacks or has wrong.
func compare(w io.Writer, figures []figure, written map[string]entry) error {
	wrong := 0
	for _, f := range figures {
		verdict := "ok"
		e, ok := written[f.id]
		switch {
		case !ok:
			verdict = "not on the page"
		case !e.holds(f.value):
			verdict = fmt.Sprintf("page says %g, tolerance %g%%", e.value, e.tolerance)
		}
		if verdict != "ok" {
			wrong++
		}
		fmt.Fprintf(w, "%-24s %12.1f %-36s %s\n", f.id, f.value, f.unit, verdict)
	}
	if wrong > 0 {
		return errors.Errorf("%d figures are missing or off", wrong)
	}
	return nil
}

// holds reports whether a measured value lies within the tolerance.
func (e entry) holds(measured float64) bool {
	return math.Abs(measured-e.value) <= e.tolerance/100*math.Abs(e.value)
}
