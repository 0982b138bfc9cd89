package contention

import (
	"math"
	"slices"

	"oleandervalve"
)

// regression is a ridge regression of excess utilisation on the processor
// shares of best-effort images, for one latency-critical image.
type regression struct {
	images []oleandervalve.KindName
	index  map[oleandervalve.KindName]int
	// gram holds the sums of the products of two shares, and moments those of a
	// share and the excess utilisation.
	gram         [][]float64
	moments      []float64
	coefficients []float64
	// outdated means that samples have been added since coefficients were computed.
	outdated bool
}

func newRegression() *regression { return &regression{index: map[oleandervalve.KindName]int{}} }

func (r *regression) addImage(image oleandervalve.KindName) {
	if _, ok := r.index[image]; ok {
		return
	}
	i := len(r.images)
	r.index[image] = i
	r.images = append(r.images, image)
	for n := range r.gram {
		r.gram[n] = append(r.gram[n], 0)
	}
	r.gram = append(r.gram, make([]float64, i+1))
	r.moments = append(r.moments, 0)
	r.coefficients = append(r.coefficients, priorCoefficient)
}

// coefficient returns the estimated coefficient of an image, or priorCoefficient for an
// image without samples.
func (r *regression) coefficient(image oleandervalve.KindName) float64 {
	i, ok := r.index[image]
	if !ok {
		return priorCoefficient
	}
	r.solve()
	return r.coefficients[i]
}

// information returns the sum of squares of an image's shares, on which the confidence in
// its coefficient depends.
func (r *regression) information(image oleandervalve.KindName) float64 {
	if i, ok := r.index[image]; ok {
		return r.gram[i][i]
	}
	return 0
}

// predict returns the excess utilisation that the coefficients predict for the given shares.
func (r *regression) predict(shares map[oleandervalve.KindName]float64) float64 {
	sum := 0.0
	for image, share := range shares {
		sum += r.coefficient(image) * share
	}
	return sum
}

// addSample adds an observation: the shares and the excess utilisation measured with them.
func (r *regression) addSample(shares map[oleandervalve.KindName]float64, excess float64) {
	for image := range shares {
		r.addImage(image)
	}
	for image, x := range shares {
		i := r.index[image]
		r.moments[i] += x * excess
		for other, y := range shares {
			r.gram[i][r.index[other]] += x * y
		}
	}
	r.outdated = true
}

// solve computes the coefficients by Gaussian elimination. The prior adds ridge
// to the diagonal and ridge times priorCoefficient to the moments.
func (r *regression) solve() {
	if !r.outdated {
		return
	}
	r.outdated = false
	n := len(r.images)
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = append(slices.Clone(r.gram[i]), r.moments[i]+ridge*priorCoefficient)
		rows[i][i] += ridge
	}
	for i := range rows {
		for j := i + 1; j < n; j++ {
			factor := rows[j][i] / rows[i][i]
			if factor == 0 {
				continue
			}
			for k := i; k <= n; k++ {
				rows[j][k] -= factor * rows[i][k]
			}
		}
	}
	for i := n - 1; i >= 0; i-- {
		v := rows[i][n]
		for k := i + 1; k < n; k++ {
			v -= rows[i][k] * r.coefficients[k]
		}
		v /= rows[i][i]
		if math.IsNaN(v) {
			v = priorCoefficient
		}
		r.coefficients[i] = v
	}
	for i, v := range r.coefficients {
		r.coefficients[i] = min(max(0, v), maxCoefficient)
	}
}
