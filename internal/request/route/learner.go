package route

// Parameters of the OutputLengthEstimator.
const (
	outputWeight        = 0.05 // weight of one finished answer in the EWMA
	maxLearnedRoutes    = 4096
	defaultOutputTokens = 128 // initial estimate of a route that declares none
)

// OutputLengthEstimator keeps the expected number of output tokens of each route as an EWMA over
// finished answers. The zero value is ready to use. Not safe for concurrent use.
type OutputLengthEstimator struct {
	mean map[string]float64
}

// Expected returns the expected output tokens of a request on a route. initial is the
// route's declared estimate and limit the request's cap; 0 means none.
func (l *OutputLengthEstimator) Expected(route string, initial, limit int) int {
	expected := float64(initial)
	if m, ok := l.mean[route]; ok {
		expected = m
	}
	if expected <= 0 {
		expected = defaultOutputTokens
	}
	if limit > 0 {
		expected = min(expected, float64(limit))
	}
	return max(int(expected+0.5), 1)
}

// Finished updates the mean of a route with a complete answer of out tokens. It must
// not be called for answers that broke off.
func (l *OutputLengthEstimator) Finished(route string, initial, out int) {
	if l.mean == nil {
		l.mean = make(map[string]float64)
	}
	m, ok := l.mean[route]
	if !ok {
		if len(l.mean) >= maxLearnedRoutes {
			return
		}
		m = float64(initial)
		if initial <= 0 {
			m = float64(out)
		}
	}
	l.mean[route] = m + outputWeight*(float64(out)-m)
}

// Retain drops the routes for which known returns false, after a configuration change.
func (l *OutputLengthEstimator) Retain(known func(route string) bool) {
	for r := range l.mean {
		if !known(r) {
			delete(l.mean, r)
		}
	}
}
