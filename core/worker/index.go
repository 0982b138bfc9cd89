package worker

import (
	"math/bits"

	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
)

// bitset holds one bit per worker slot.
type bitset []uint64

func (b *bitset) set(i int, on bool) {
	for len(*b) <= i/64 {
		*b = append(*b, 0)
	}
	if on {
		(*b)[i/64] |= 1 << (i % 64)
	} else {
		(*b)[i/64] &^= 1 << (i % 64)
	}
}

func (b bitset) has(i int) bool { return i/64 < len(b) && b[i/64]>>(i%64)&1 == 1 }

// and clears the bits that are not set in o.
func (b bitset) and(o bitset) {
	for i := range b {
		if i < len(o) {
			b[i] &= o[i]
		} else {
			b[i] = 0
		}
	}
}

// capacityLevels is the number of free-capacity thresholds per dimension.
const capacityLevels = 24

// maxSelectors bounds the number of cached selectors; the jobs of a typical fleet
// use a few dozen.
const maxSelectors = 512

// index finds the workers that may take a task without visiting each worker. It
// has one bitset of the ready workers, and one per selector and per threshold of
// free capacity.
type index struct {
	ready        bitset
	cpu          [capacityLevels]bitset
	memory       [capacityLevels]bitset
	accelerators [capacityLevels]bitset
	selectors    map[string]*selectorEntry
	selectorList []*selectorEntry
	labels       []labels.Set // by slot; nil for unused slots
	scratch      bitset
}

// selectorEntry holds a cached selector and the workers that it selects.
type selectorEntry struct {
	selector labels.Selector
	bits     bitset
}

func newIndex() *index { return &index{selectors: map[string]*selectorEntry{}} }

// cpuLevel returns the highest level whose threshold v reaches. The threshold of
// level 1 is 62.5 millicores, and each further one is twice the one before.
func cpuLevel(v oleandervalve.Millicores) int {
	return clampLevel(bits.Len64(uint64(max(v, 0)) * 16 / 1000))
}

// memoryLevel returns the highest level whose threshold v reaches. The threshold
// of level 1 is 64 MiB, and each further one is twice the one before.
func memoryLevel(v oleandervalve.Bytes) int {
	return clampLevel(bits.Len64(uint64(max(v, 0)) >> 26))
}

// acceleratorLevel returns the level of v accelerators; level n starts at n.
func acceleratorLevel(v oleandervalve.Accelerators) int { return clampLevel(int(max(v, 0))) }

func clampLevel(l int) int { return min(l, capacityLevels-1) }

// update updates the bits of a worker after its state or free capacity has changed.
func (x *index) update(w *Worker) {
	x.ready.set(w.slot, w.State == Ready)
	free := w.Free()
	levels := [3]int8{int8(cpuLevel(free.CPU)), int8(memoryLevel(free.Memory)), int8(acceleratorLevel(free.Accelerators))}
	for d, sets := range [3]*[capacityLevels]bitset{&x.cpu, &x.memory, &x.accelerators} {
		for l := w.freeLevels[d] + 1; l <= levels[d]; l++ {
			sets[l].set(w.slot, true)
		}
		for l := levels[d] + 1; l <= w.freeLevels[d]; l++ {
			sets[l].set(w.slot, false)
		}
	}
	w.freeLevels = levels
}

// updateLabels evaluates the cached selectors against the labels of a worker.
func (x *index) updateLabels(w *Worker) {
	for len(x.labels) <= w.slot {
		x.labels = append(x.labels, nil)
	}
	l := w.Labels
	if l == nil {
		l = labels.Set{}
	}
	x.labels[w.slot] = l
	for _, s := range x.selectorList {
		s.bits.set(w.slot, s.selector.Matches(l))
	}
}

// remove clears all bits of a worker, so that its slot can be reused.
func (x *index) remove(w *Worker) {
	x.ready.set(w.slot, false)
	for d, sets := range [3]*[capacityLevels]bitset{&x.cpu, &x.memory, &x.accelerators} {
		for l := int8(1); l <= w.freeLevels[d]; l++ {
			sets[l].set(w.slot, false)
		}
	}
	for _, s := range x.selectorList {
		s.bits.set(w.slot, false)
	}
	x.labels[w.slot] = nil
}

// selectedWorkers returns the workers that match the Where selector of a spec; nil
// if it has none.
func (x *index) selectedWorkers(s *Spec) bitset {
	if s.Where == nil {
		return nil
	}
	if s.whereKey == "" {
		s.whereKey = s.Where.String()
	}
	e := x.selectors[s.whereKey]
	if e == nil {
		if len(x.selectorList) >= maxSelectors {
			x.selectors, x.selectorList = map[string]*selectorEntry{}, nil
		}
		e = &selectorEntry{selector: s.Where}
		for slot, l := range x.labels {
			e.bits.set(slot, l != nil && s.Where.Matches(l))
		}
		x.selectors[s.whereKey] = e
		x.selectorList = append(x.selectorList, e)
	}
	return e.bits
}

// candidates returns a superset of the ready workers that match the spec's Where
// selector and have the size free. The result is valid until the next call.
func (x *index) candidates(s *Spec, size oleandervalve.Resources) bitset {
	x.scratch = append(x.scratch[:0], x.ready...)
	if l := cpuLevel(size.CPU); l > 0 {
		x.scratch.and(x.cpu[l])
	}
	if l := memoryLevel(size.Memory); l > 0 {
		x.scratch.and(x.memory[l])
	}
	if l := acceleratorLevel(size.Accelerators); l > 0 {
		x.scratch.and(x.accelerators[l])
	}
	if w := x.selectedWorkers(s); w != nil {
		x.scratch.and(w)
	}
	return x.scratch
}
