// Package bench gathers the measurements of ragwort-bench. Each measurement is a
// package below this one with a go-flags Command; this file is their list.
package bench

import "github.com/jessevdk/go-flags"

// Register adds every measurement to the parser.
func Register(p *flags.Parser) {
	_ = p // one p.AddCommand line for each measurement
}
