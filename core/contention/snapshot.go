package contention

import (
	"maps"
	"slices"

	"oleandervalve"
)

// Learned is what a model has learned of one serving image, in a form that
// outlives the process.
type Learned struct {
	Serving oleandervalve.KindName `cbor:"1,keyasint"`
	// Images are the filling images; the other fields follow their order.
	Images   []oleandervalve.KindName `cbor:"2,keyasint"`
	Products [][]float32              `cbor:"3,keyasint"`
	Results  []float32                `cbor:"4,keyasint"`
}

// Snapshot returns what the model has learned, by serving image in order.
func (m *Model) Snapshot() []Learned {
	var out []Learned
	for _, serving := range slices.Sorted(maps.Keys(m.regressions)) {
		r := m.regressions[serving]
		l := Learned{Serving: serving, Images: slices.Clone(r.images), Results: narrow(r.results)}
		for _, row := range r.products {
			l.Products = append(l.Products, narrow(row))
		}
		out = append(out, l)
	}
	return out
}

// Restore takes what an earlier model has learned; entries whose dimensions
// don't agree are left out.
func (m *Model) Restore(learned []Learned) {
	for _, l := range learned {
		r := newRegression()
		for _, f := range l.Images {
			r.place(f)
		}
		if !l.fits(len(r.images)) {
			continue
		}
		for i, row := range l.Products {
			for j, v := range row {
				r.products[i][j] = float64(v)
			}
			r.results[i] = float64(l.Results[i])
		}
		r.stale = true
		m.regressions[l.Serving] = r
	}
}

// fits reports whether all dimensions are n.
func (l Learned) fits(n int) bool {
	if len(l.Images) != n || len(l.Products) != n || len(l.Results) != n {
		return false
	}
	return !slices.ContainsFunc(l.Products, func(row []float32) bool { return len(row) != n })
}

func narrow(in []float64) []float32 {
	out := make([]float32, len(in))
	for i, v := range in {
		out[i] = float32(v)
	}
	return out
}
