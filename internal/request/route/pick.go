package route

import "math"

// spread is how far, in relation to the best cost, candidates still count as
// alike. Views lag; always taking the best one would make gateways herd.
const spread = 0.05

// pick draws one of the candidates by softmin of cost: the best is likeliest,
// and one that costs spread more is less likely by a factor of e. The seed makes
// the draw repeatable. It returns none if there is no candidate.
func pick(cands []candidate, seed uint64, wanted func(*candidate) bool) int {
	best := math.Inf(1)
	for i := range cands {
		if wanted(&cands[i]) {
			best = min(best, cands[i].cost)
		}
	}
	if math.IsInf(best, 1) {
		return none
	}
	scale := max(best*spread, 1e-9)
	total := 0.0
	for i := range cands {
		if wanted(&cands[i]) {
			total += weight(&cands[i], best, scale)
		}
	}
	point := unit(seed) * total
	last := none
	for i := range cands {
		if !wanted(&cands[i]) {
			continue
		}
		w := weight(&cands[i], best, scale)
		if w == 0 {
			continue
		}
		last = i
		point -= w
		if point < 0 {
			break
		}
	}
	return last
}

func weight(c *candidate, best, scale float64) float64 {
	return math.Exp((best - c.cost) / scale)
}
