package contention

import (
	"maps"
	"slices"

	"oleandervalve"
)

// Learned is the serialisable state of the regression of one latency-critical
// image. It is stored so that a new process can continue from it.
type Learned struct {
	Serving oleandervalve.KindName `cbor:"1,keyasint"`
	// Images are the best-effort images; the rows, columns and elements of the
	// other fields are in the same order.
	Images   []oleandervalve.KindName `cbor:"2,keyasint"`
	Products [][]float32              `cbor:"3,keyasint"`
	Results  []float32                `cbor:"4,keyasint"`
}

// Snapshot returns the state of all regressions, sorted by latency-critical image.
func (m *Model) Snapshot() []Learned {
	var out []Learned
	for _, serving := range slices.Sorted(maps.Keys(m.regressions)) {
		r := m.regressions[serving]
		l := Learned{Serving: serving, Images: slices.Clone(r.images), Results: toFloat32(r.moments)}
		for _, row := range r.gram {
			l.Products = append(l.Products, toFloat32(row))
		}
		out = append(out, l)
	}
	return out
}

// Restore loads the state that Snapshot returned earlier. Elements with
// inconsistent dimensions are skipped.
func (m *Model) Restore(learned []Learned) {
	for _, l := range learned {
		r := newRegression()
		for _, f := range l.Images {
			r.addImage(f)
		}
		if !l.hasDimension(len(r.images)) {
			continue
		}
		for i, row := range l.Products {
			for j, v := range row {
				r.gram[i][j] = float64(v)
			}
			r.moments[i] = float64(l.Results[i])
		}
		r.outdated = true
		m.regressions[l.Serving] = r
	}
}

// hasDimension reports whether all slices have length n.
func (l Learned) hasDimension(n int) bool {
	if len(l.Images) != n || len(l.Products) != n || len(l.Results) != n {
		return false
	}
	return !slices.ContainsFunc(l.Products, func(row []float32) bool { return len(row) != n })
}

func toFloat32(in []float64) []float32 {
	out := make([]float32, len(in))
	for i, v := range in {
		out[i] = float32(v)
	}
	return out
}
