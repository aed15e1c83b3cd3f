package gateway

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// outcomeWhole is the outcome, in metrics and logs, of a call with a complete answer. The outcome of any
// other call is the kind of its error.
const outcomeWhole = "whole"

// finish records the end of a call in the dispatcher, the metrics, the log and the explanation. x is nil
// if the call was refused by its account's limits. final is nil if the answer is complete.
func (g *Gateway) finish(c *call, x *execution, explain *explanation, final *errkind.Error) {
	now := time.Now()
	outcome := outcomeWhole
	run := errkind.Ran
	if final != nil {
		outcome = string(final.Kind)
		run = final.Run
	}
	kv := []any{"request", c.id, "account", c.account, "route", c.routeName, "outcome", outcome, "run", run,
		"ms", now.Sub(c.arrived).Milliseconds()}
	late := false
	if x != nil {
		late = isLate(c, x, final, now)
		out := -1
		if final == nil {
			out = x.tokens
		}
		g.dispatcher.recordEnd(now, x.request, c.route.ExpectedOut, out, late)
		kv = append(kv, "runner", x.runner, "tokens", x.tokens, "attempts", x.attempts, "resumes", x.resumes)
	}
	g.metrics.callFinished(c, x, outcome, late, now)
	explain.add(now, "end: %s run %s", outcome, run)
	if final != nil {
		kv = append(kv, "error", final.Error())
	}
	logline.Info("request", kv...)
}

// recordEarlyRefusal records a request that was refused before a call was created for it, for example because
// its body is invalid, in the metrics and the log.
func (g *Gateway) recordEarlyRefusal(id string, err error) {
	e := errkind.From(err)
	g.metrics.recordEarlyRefusal(string(e.Kind))
	logline.Info("request", "request", id, "outcome", string(e.Kind), "run", e.Run, "field", e.Field)
}

// isLate reports whether a complete answer missed one of its route's latency targets, or a failed call
// missed its deadline. Calls that admission refuses are counted as late by the dispatcher instead.
func isLate(c *call, x *execution, final *errkind.Error, now time.Time) bool {
	if final != nil {
		return final.Kind == errkind.DeadlineExceeded
	}
	t := c.route.OnTime
	if exceeds(x.firstToken.Sub(c.arrived), t.FirstTokenMS) || exceeds(now.Sub(c.arrived), t.TotalMS) {
		return true
	}
	return exceeds(meanTokenGap(x), t.InterTokenMS)
}

// exceeds reports whether d is longer than a limit in milliseconds; 0 means no limit.
func exceeds(d time.Duration, limitMS int) bool {
	return limitMS > 0 && d > time.Duration(limitMS)*time.Millisecond
}

// meanTokenGap returns the mean time between two consecutive tokens of the answer, or 0 if there are
// fewer than two tokens.
func meanTokenGap(x *execution) time.Duration {
	if x.tokens < 2 {
		return 0
	}
	return x.lastToken.Sub(x.firstToken) / time.Duration(x.tokens-1)
}
