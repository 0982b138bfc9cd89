package contention

import (
	"maps"
	"slices"

	"oleandervalve"
)

// RegressionState is the serialisable state of the regression of one
// latency-critical image. It is stored so that a new process can continue from it.
type RegressionState struct {
	Image oleandervalve.KindName `cbor:"1,keyasint"`
	// Images are the best-effort images; the rows and columns of Gram and the
	// elements of Moments are in the same order.
	Images  []oleandervalve.KindName `cbor:"2,keyasint"`
	Gram    [][]float32              `cbor:"3,keyasint"`
	Moments []float32                `cbor:"4,keyasint"`
}

// Snapshot returns the state of all regressions, sorted by latency-critical image.
func (m *Model) Snapshot() []RegressionState {
	var out []RegressionState
	for _, image := range slices.Sorted(maps.Keys(m.regressions)) {
		r := m.regressions[image]
		s := RegressionState{Image: image, Images: slices.Clone(r.images), Moments: toFloat32(r.moments)}
		for _, row := range r.gram {
			s.Gram = append(s.Gram, toFloat32(row))
		}
		out = append(out, s)
	}
	return out
}

// Restore loads the state that Snapshot returned earlier. Elements with
// inconsistent dimensions are skipped.
func (m *Model) Restore(states []RegressionState) {
	for _, s := range states {
		r := newRegression()
		for _, image := range s.Images {
			r.addImage(image)
		}
		if !s.hasDimension(len(r.images)) {
			continue
		}
		for i, row := range s.Gram {
			for j, v := range row {
				r.gram[i][j] = float64(v)
			}
			r.moments[i] = float64(s.Moments[i])
		}
		r.outdated = true
		m.regressions[s.Image] = r
	}
}

// hasDimension reports whether all slices have length n.
func (s RegressionState) hasDimension(n int) bool {
	if len(s.Images) != n || len(s.Gram) != n || len(s.Moments) != n {
		return false
	}
	return !slices.ContainsFunc(s.Gram, func(row []float32) bool { return len(row) != n })
}

func toFloat32(in []float64) []float32 {
	out := make([]float32, len(in))
	for i, v := range in {
		out[i] = float32(v)
	}
	return out
}
