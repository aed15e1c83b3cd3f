package route

import "math"

// costSpread is the cost difference, relative to the best cost, within which
// candidates count as similar. Gateways see the load of a runner only after some delay.
// If each always chose the best candidate, many would send to the same runner at once.
const costSpread = 0.05

// pick draws one of the eligible candidates by softmin of cost: the best is the most
// likely, and a candidate that costs costSpread more is less likely by a factor of e.
// The same seed gives the same draw. It returns none if no candidate is eligible.
func pick(cands []candidate, seed uint64, eligible func(*candidate) bool) int {
	best := math.Inf(1)
	for i := range cands {
		if eligible(&cands[i]) {
			best = min(best, cands[i].cost)
		}
	}
	if math.IsInf(best, 1) {
		return none
	}
	temperature := max(best*costSpread, 1e-9)
	total := 0.0
	for i := range cands {
		if eligible(&cands[i]) {
			total += softminWeight(&cands[i], best, temperature)
		}
	}
	point := unitFloat(seed) * total
	last := none
	for i := range cands {
		if !eligible(&cands[i]) {
			continue
		}
		w := softminWeight(&cands[i], best, temperature)
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

// softminWeight returns the unnormalized softmin probability of a candidate, 1 for the
// best.
func softminWeight(c *candidate, best, temperature float64) float64 {
	return math.Exp((best - c.cost) / temperature)
}
