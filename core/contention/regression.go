package contention

import (
	"math"
	"slices"

	"oleandervalve"
)

// regression is a ridge regression of excess utilisation on the shares of
// filling images, for one serving image.
type regression struct {
	images []oleandervalve.KindName
	index  map[oleandervalve.KindName]int
	// products are the sums of products of shares, and results those of shares
	// and excess.
	products [][]float64
	results  []float64
	weights  []float64
	stale    bool
}

func newRegression() *regression { return &regression{index: map[oleandervalve.KindName]int{}} }

func (r *regression) place(f oleandervalve.KindName) {
	if _, ok := r.index[f]; ok {
		return
	}
	i := len(r.images)
	r.index[f] = i
	r.images = append(r.images, f)
	for n := range r.products {
		r.products[n] = append(r.products[n], 0)
	}
	r.products = append(r.products, make([]float64, i+1))
	r.results = append(r.results, 0)
	r.weights = append(r.weights, priorWeight)
}

func (r *regression) weight(f oleandervalve.KindName) float64 {
	i, ok := r.index[f]
	if !ok {
		return priorWeight
	}
	r.solve()
	return r.weights[i]
}

func (r *regression) information(f oleandervalve.KindName) float64 {
	if i, ok := r.index[f]; ok {
		return r.products[i][i]
	}
	return 0
}

func (r *regression) predict(shares map[oleandervalve.KindName]float64) float64 {
	sum := 0.0
	for f, share := range shares {
		sum += r.weight(f) * share
	}
	return sum
}

func (r *regression) add(shares map[oleandervalve.KindName]float64, excess float64) {
	for f := range shares {
		r.place(f)
	}
	for f, x := range shares {
		i := r.index[f]
		r.results[i] += x * excess
		for g, y := range shares {
			r.products[i][r.index[g]] += x * y
		}
	}
	r.stale = true
}

// solve finds the weights by Gaussian elimination. The prior adds the ridge to
// the diagonal and its weight times the ridge to the results.
func (r *regression) solve() {
	if !r.stale {
		return
	}
	r.stale = false
	n := len(r.images)
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = append(slices.Clone(r.products[i]), r.results[i]+ridge*priorWeight)
		rows[i][i] += ridge
	}
	for i := range rows {
		for j := i + 1; j < n; j++ {
			f := rows[j][i] / rows[i][i]
			if f == 0 {
				continue
			}
			for k := i; k <= n; k++ {
				rows[j][k] -= f * rows[i][k]
			}
		}
	}
	for i := n - 1; i >= 0; i-- {
		v := rows[i][n]
		for k := i + 1; k < n; k++ {
			v -= rows[i][k] * r.weights[k]
		}
		v /= rows[i][i]
		if math.IsNaN(v) {
			v = priorWeight
		}
		r.weights[i] = v
	}
	for i, v := range r.weights {
		r.weights[i] = min(max(0, v), maxWeight)
	}
}
