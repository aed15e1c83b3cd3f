package policy

import "fmt"

// Explanation returns an explanation of a decision for the operator: the result, the demand and the
// options.
func (d *Decision) Explanation() []string {
	lines := []string{
		fmt.Sprintf("%s at %s model=%s: %s", d.ID, d.At.UTC().Format("2006-01-02T15:04:05.000Z"), d.Model, d.Reason),
		fmt.Sprintf("roles kept: %.2f useful answers a second expected", d.Useful),
	}
	for i := range d.Demand {
		lines = append(lines, d.Demand[i].lines()...)
	}
	for i := range d.Options {
		lines = append(lines, d.Options[i].line())
	}
	return lines
}

func (d *Demand) lines() []string {
	route := d.Route
	if route == "" {
		route = "(all)"
	}
	return []string{
		fmt.Sprintf("demand route=%s requests/s: %s, late or refused %.2f/s", route, d.Requests, d.Late),
		fmt.Sprintf("demand route=%s prompt tokens/s: %s", route, d.Prefill),
		fmt.Sprintf("demand route=%s output tokens/s: %s", route, d.Decode),
	}
}

// String returns the estimate on one line.
func (e Estimate) String() string {
	return fmt.Sprintf("fast %.1f slow %.1f forecast %.1f±%.1f (%.0f%% of a swing lasts)",
		e.Fast, e.Slow, e.Forecast, e.Deviation, 100*e.Persist)
}

func (o *Option) line() string {
	verdict := "may be made"
	if o.Refused != "" {
		verdict = "refused: " + o.Refused
	}
	steps := ""
	if o.Steps > 1 {
		steps = fmt.Sprintf(" (first of %d)", o.Steps)
	}
	return fmt.Sprintf("option %s %s->%s%s: gain %.1f loss %.1f price %.1f doubt %.1f net %.1f useful answers; %s",
		o.Change.Runner, o.Change.From, o.Change.To, steps, o.Gain, o.Loss, o.Price, o.Doubt, o.Net(), verdict)
}
