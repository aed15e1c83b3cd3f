// Command ragwort-bench runs the project's benchmarks, each of which is a subcommand.
// A benchmark prints ratios of figures that were measured in the same run.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/ragworttrestle/ragworttrestle/internal/bench"
)

func main() {
	parser := flags.NewParser(nil, flags.Default)
	bench.Register(parser)
	if _, err := parser.Parse(); err != nil {
		os.Exit(2)
	}
}
