// Package bench gathers the measurements of ragwort-bench. Each measurement is a
// package below this one with a go-flags Command; this file is their list.
package bench

import (
	"github.com/jessevdk/go-flags"

	"github.com/ragworttrestle/ragworttrestle/internal/bench/goodput"
	"github.com/ragworttrestle/ragworttrestle/internal/bench/policy"
)

// Register adds every measurement to the parser.
func Register(p *flags.Parser) {
	add(p, "goodput", "useful answers a second against least-outstanding routing", &goodput.Command{})
	add(p, "policy", "goodput and role changes of one trace under one policy", &policy.Command{})
}

// add registers one measurement. It panics on a name given twice, which is a defect.
func add(p *flags.Parser, name, summary string, command flags.Commander) {
	if _, err := p.AddCommand(name, summary, summary, command); err != nil {
		panic(err)
	}
}
