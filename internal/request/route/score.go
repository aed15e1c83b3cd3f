package route

// candidate is one way to serve a request that passed the filters.
type candidate struct {
	decode    int // index into runners
	prefill   int // index into runners; none: at the decoding runner
	predicted Prediction
	onTime    bool    // predicted to keep the bounds, with gapMargin
	safe      bool    // on time with the wider safeGapMargin too; if no candidate of the own zone is safe, other zones are considered
	cost      float64 // seconds; lower is better
}

// none is the index of no runner or no candidate.
const none = -1

// cost returns the sum of the score functions in seconds. The prefix cache counts twice:
// cached tokens shorten the request's own time and avoid stalling the runner's other
// streams. The calls are direct, not through a table, so that nothing escapes to the
// heap.
func cost(q *Request, runners []Runner, c *candidate) float64 {
	return scoreTime(c) + scoreInterference(q, runners, c) + scoreStreamCount(runners, c)
}

// scoreTime returns the predicted time of the whole answer.
func scoreTime(c *candidate) float64 {
	return c.predicted.Total.Seconds()
}

// scoreInterference returns the total time by which the request delays the streams
// already at the runner: its prompt stalls them, and each of its tokens lengthens
// their decode steps. This balances prefix affinity against load, since both terms
// grow with the number of streams.
func scoreInterference(q *Request, runners []Runner, c *candidate) float64 {
	d := &runners[c.decode]
	interference := d.stepSlope() * float64(q.ExpectedOut) * d.Running
	uncached := float64(q.PromptTokens - c.predicted.CachedTokens)
	if c.prefill == none {
		return interference + uncached/d.prefillRate()*d.Running
	}
	return interference
}

// streamPenalty is the cost of each stream at a runner, in seconds.
const streamPenalty = 0.05

// scoreStreamCount returns a penalty for the number of streams at the runner, to spread
// streams evenly. Answers may turn out longer than expected, so the number of streams
// says more about the load of the near future than the predictions do.
func scoreStreamCount(runners []Runner, c *candidate) float64 {
	return streamPenalty * runners[c.decode].Running
}
