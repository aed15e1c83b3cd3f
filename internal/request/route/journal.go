package route

import "time"

// Dimensions of a journal, a ring buffer of bins.
const (
	binLength  = 100 * time.Millisecond
	binCount   = 128             // a power of two, see binIndex
	rateWindow = 4 * time.Second // averaging window of recent rates
	windowBins = int64(rateWindow / binLength)
)

// journal counts what gateways sent to one runner over the last binCount bins, by time
// of sending. It needn't reach further back: either a report has been measured since,
// or the last report is too old to be corrected.
type journal struct {
	bins          [binCount]bin
	newest        int64   // number of the newest bin, counted from the Unix epoch
	windowPrefill float64 // prompt tokens of the bins in the rate window
}

// bin holds the counts of one interval of binLength.
type bin struct {
	requests    float32 // change in requests in flight
	prefill     float32 // uncached prompt tokens sent
	decode      float32 // output tokens expected minus those received
	ownRequests float32 // this gateway's part of requests
	ownPrefill  float32 // this gateway's part of prefill
}

func binNumber(t time.Time) int64 { return t.UnixNano() / int64(binLength) }

func binIndex(number int64) int { return int(number & (binCount - 1)) }

// binAt returns the bin of time t, or nil if t is older than the ring buffer.
func (j *journal) binAt(t time.Time) *bin {
	n := binNumber(t)
	j.advance(n)
	if n <= j.newest-binCount {
		return nil
	}
	return &j.bins[binIndex(n)]
}

// advance clears the bins between the newest one and n, and subtracts the bins that
// leave the rate window from its sum.
func (j *journal) advance(n int64) {
	if n <= j.newest {
		return
	}
	if n-j.newest >= binCount {
		j.bins = [binCount]bin{}
		j.windowPrefill = 0
		j.newest = n
		return
	}
	for i := j.newest + 1; i <= n; i++ {
		j.windowPrefill -= float64(j.bins[binIndex(i-windowBins)].prefill)
		j.bins[binIndex(i)] = bin{}
	}
	j.newest = n
}

// addOwn counts what this gateway sent at t.
func (j *journal) addOwn(t time.Time, requests, prefill, decode float64) {
	j.add(t, requests, prefill, decode)
	if b := j.binAt(t); b != nil {
		b.ownRequests += float32(requests)
		b.ownPrefill += float32(prefill)
	}
}

// add counts what any gateway sent at t.
func (j *journal) add(t time.Time, requests, prefill, decode float64) {
	b := j.binAt(t)
	if b == nil {
		return
	}
	b.requests += float32(requests)
	before := b.prefill
	b.prefill += float32(prefill)
	b.decode += float32(decode)
	if binNumber(t) > j.newest-windowBins {
		j.windowPrefill += float64(b.prefill - before)
	}
}

// addSpread counts what was sent between two times, spread evenly over the bins.
func (j *journal) addSpread(from, to time.Time, requests, prefill, decode float64) {
	first, last := max(binNumber(from)+1, binNumber(to)-binCount+1), binNumber(to)
	if first > last {
		first = last
	}
	bins := float64(last - first + 1)
	for n := first; n <= last; n++ {
		j.add(time.Unix(0, n*int64(binLength)), requests/bins, prefill/bins, decode/bins)
	}
}

// correction is the change of a runner's load since its report.
type correction struct {
	requests, decode float64
	queuedPrefill    float64 // the reported queue plus prompt tokens sent, minus those drained
}

// correctionSince replays the journal from measured, the time at which a load report was
// measured, to now. The reported queue of prompt tokens grows by what was sent and drains
// at drainRate (tokens per second). The bin that contains measured counts in part: by the
// fraction of its interval that lies after measured.
func (j *journal) correctionSince(measured, now time.Time, queue, drainRate float64) correction {
	c := correction{queuedPrefill: queue}
	end := now.UnixNano()
	last := binNumber(now)
	first := last - binCount + 1
	from := first * int64(binLength)
	if !measured.IsZero() && measured.UnixNano() > from {
		from = measured.UnixNano()
		first = binNumber(measured)
	}
	for n := first; n <= last; n++ {
		start, stop := n*int64(binLength), (n+1)*int64(binLength)
		begin, until := max(start, from), min(stop, end)
		if until < begin {
			break
		}
		if n <= j.newest && n > j.newest-binCount {
			j.bins[binIndex(n)].addTo(&c, fractionAfter(start, until, begin))
		}
		drained := drainRate * float64(until-begin) / float64(time.Second)
		c.queuedPrefill = max(c.queuedPrefill-drained, 0)
	}
	return c
}

// fractionAfter returns which fraction of an interval lies after the time begin. The interval
// is from start to until.
func fractionAfter(start, until, begin int64) float64 {
	switch {
	case begin <= start:
		return 1
	case until <= start:
		return 0
	}
	return float64(until-begin) / float64(until-start)
}

// addTo adds a fraction of the bin's counts to c.
func (b *bin) addTo(c *correction, fraction float64) {
	c.requests += float64(b.requests) * fraction
	c.decode += float64(b.decode) * fraction
	c.queuedPrefill += float64(b.prefill) * fraction
}

// prefillRate returns the mean rate of prompt tokens sent over the rate window, in
// tokens per second.
func (j *journal) prefillRate(now time.Time) float64 {
	j.advance(binNumber(now))
	return max(j.windowPrefill, 0) / rateWindow.Seconds()
}

// ownSince sums what this gateway sent since a time: the change in requests in flight
// and the prompt tokens.
func (j *journal) ownSince(from, now time.Time) (requests, prefill float64) {
	last := min(binNumber(now), j.newest)
	for n := max(binNumber(from), j.newest-binCount+1); n <= last; n++ {
		b := &j.bins[binIndex(n)]
		requests += float64(b.ownRequests)
		prefill += float64(b.ownPrefill)
	}
	return requests, prefill
}
