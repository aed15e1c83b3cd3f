package route

import "time"

// The journal of one runner is a ring of bins.
const (
	binLength  = 100 * time.Millisecond
	binCount   = 128             // a power of two, see slot
	rateWindow = 4 * time.Second // over which recent rates are taken
	windowBins = int64(rateWindow / binLength)
)

// journal counts what gateways sent to one runner, by time of sending, over the
// last binCount bins. What is older has been covered by a report, or the report
// is too old to be corrected.
type journal struct {
	bins   [binCount]bin
	newest int64   // number of the newest bin since the epoch of time
	recent float64 // prompt tokens of the bins in the rate window
}

type bin struct {
	requests float32 // change of requests in flight
	prefill  float32 // prompt tokens sent that are not cached
	decode   float32 // output tokens expected less those received
	own      float32 // part of requests that is this gateway's
	ownSent  float32 // part of prefill that is this gateway's
}

func binOf(t time.Time) int64 { return t.UnixNano() / int64(binLength) }

func slot(number int64) int { return int(number & (binCount - 1)) }

// at gives the bin for time t, or nil if t is before the ring.
func (j *journal) at(t time.Time) *bin {
	n := binOf(t)
	j.advance(n)
	if n <= j.newest-binCount {
		return nil
	}
	return &j.bins[slot(n)]
}

// advance clears the bins between the newest one and n, and takes those that
// leave the rate window off its sum.
func (j *journal) advance(n int64) {
	if n <= j.newest {
		return
	}
	if n-j.newest >= binCount {
		j.bins = [binCount]bin{}
		j.recent = 0
		j.newest = n
		return
	}
	for i := j.newest + 1; i <= n; i++ {
		j.recent -= float64(j.bins[slot(i-windowBins)].prefill)
		j.bins[slot(i)] = bin{}
	}
	j.newest = n
}

// addOwn counts what this gateway sent.
func (j *journal) addOwn(t time.Time, requests, prefill, decode float64) {
	j.add(t, requests, prefill, decode)
	if b := j.at(t); b != nil {
		b.own += float32(requests)
		b.ownSent += float32(prefill)
	}
}

func (j *journal) add(t time.Time, requests, prefill, decode float64) {
	b := j.at(t)
	if b == nil {
		return
	}
	b.requests += float32(requests)
	before := b.prefill
	b.prefill += float32(prefill)
	b.decode += float32(decode)
	if binOf(t) > j.newest-windowBins {
		j.recent += float64(b.prefill - before)
	}
}

// addSpread counts what was sent evenly between two times.
func (j *journal) addSpread(from, to time.Time, requests, prefill, decode float64) {
	first, last := max(binOf(from)+1, binOf(to)-binCount+1), binOf(to)
	if first > last {
		first = last
	}
	bins := float64(last - first + 1)
	for n := first; n <= last; n++ {
		j.add(time.Unix(0, n*int64(binLength)), requests/bins, prefill/bins, decode/bins)
	}
}

// correction is the sum of a journal since a report.
type correction struct {
	requests, decode float64
	queuedPrefill    float64 // the report's queue, fed by the journal and drained
}

// since replays the journal from the report's time on: the reported queue of
// prompt tokens grows by what was sent and drains at the given rate. Of the bin
// in which the report was taken, the part after it counts.
func (j *journal) since(reported, now time.Time, queue, drainRate float64) correction {
	c := correction{queuedPrefill: queue}
	end := now.UnixNano()
	last := binOf(now)
	first := last - binCount + 1
	from := first * int64(binLength)
	if !reported.IsZero() && reported.UnixNano() > from {
		from = reported.UnixNano()
		first = binOf(reported)
	}
	for n := first; n <= last; n++ {
		start, stop := n*int64(binLength), (n+1)*int64(binLength)
		begin, until := max(start, from), min(stop, end)
		if until < begin {
			break
		}
		if n <= j.newest && n > j.newest-binCount {
			j.bins[slot(n)].addTo(&c, partAfter(start, until, begin))
		}
		drained := drainRate * float64(until-begin) / float64(time.Second)
		c.queuedPrefill = max(c.queuedPrefill-drained, 0)
	}
	return c
}

// partAfter is the part of a bin from start until now that lies after begin.
func partAfter(start, until, begin int64) float64 {
	switch {
	case begin <= start:
		return 1
	case until <= start:
		return 0
	}
	return float64(until-begin) / float64(until-start)
}

func (b *bin) addTo(c *correction, part float64) {
	c.requests += float64(b.requests) * part
	c.decode += float64(b.decode) * part
	c.queuedPrefill += float64(b.prefill) * part
}

// prefillPerSecond is the mean rate of prompt tokens sent over the rate window.
func (j *journal) prefillPerSecond(now time.Time) float64 {
	j.advance(binOf(now))
	return max(j.recent, 0) / rateWindow.Seconds()
}

// ownSince sums what this gateway sent since a time: the change of requests in
// flight and the prompt tokens.
func (j *journal) ownSince(from, now time.Time) (requests, prefill float64) {
	last := min(binOf(now), j.newest)
	for n := max(binOf(from), j.newest-binCount+1); n <= last; n++ {
		b := &j.bins[slot(n)]
		requests += float64(b.own)
		prefill += float64(b.ownSent)
	}
	return requests, prefill
}
