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

// and keeps the bits that are in both sets.
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

// maxSelectors bounds the cached selectors; jobs of an ordinary fleet share a few dozen.
const maxSelectors = 512

// index finds the workers that may take a task without visiting each worker:
// one bitset per state, per selector and per threshold of free capacity.
type index struct {
	ready     bitset
	cpu       [capacityLevels]bitset
	memory    [capacityLevels]bitset
	gpu       [capacityLevels]bitset
	selectors map[string]*selected
	order     []*selected
	labels    []labels.Set // by slot; nil where a worker has gone
	scratch   bitset
}

type selected struct {
	selector labels.Selector
	bits     bitset
}

func newIndex() *index { return &index{selectors: map[string]*selected{}} }

// cpuLevel numbers the thresholds from 62.5 millicores, doubling; level 0 is below.
func cpuLevel(v oleandervalve.Millicores) int {
	return clampLevel(bits.Len64(uint64(max(v, 0)) * 16 / 1000))
}

// memoryLevel numbers the thresholds from 64 MiB, doubling; level 0 is below.
func memoryLevel(v oleandervalve.Bytes) int {
	return clampLevel(bits.Len64(uint64(max(v, 0)) >> 26))
}

func gpuLevel(v oleandervalve.Accelerators) int { return clampLevel(int(max(v, 0))) }

func clampLevel(l int) int { return min(l, capacityLevels-1) }

func (x *index) update(w *Worker) {
	x.ready.set(w.slot, w.State == Ready)
	free := w.Free()
	now := [3]int8{int8(cpuLevel(free.CPU)), int8(memoryLevel(free.Memory)), int8(gpuLevel(free.Accelerators))}
	for d, sets := range [3]*[capacityLevels]bitset{&x.cpu, &x.memory, &x.gpu} {
		for l := w.levels[d] + 1; l <= now[d]; l++ {
			sets[l].set(w.slot, true)
		}
		for l := now[d] + 1; l <= w.levels[d]; l++ {
			sets[l].set(w.slot, false)
		}
	}
	w.levels = now
}

func (x *index) relabel(w *Worker) {
	for len(x.labels) <= w.slot {
		x.labels = append(x.labels, nil)
	}
	l := w.Labels
	if l == nil {
		l = labels.Set{}
	}
	x.labels[w.slot] = l
	for _, s := range x.order {
		s.bits.set(w.slot, s.selector.Matches(l))
	}
}

func (x *index) remove(w *Worker) {
	x.ready.set(w.slot, false)
	for d, sets := range [3]*[capacityLevels]bitset{&x.cpu, &x.memory, &x.gpu} {
		for l := int8(1); l <= w.levels[d]; l++ {
			sets[l].set(w.slot, false)
		}
	}
	for _, s := range x.order {
		s.bits.set(w.slot, false)
	}
	x.labels[w.slot] = nil
}

// where returns the workers that a selector selects; nil if it selects all.
func (x *index) where(s *Spec) bitset {
	if s.Where == nil {
		return nil
	}
	if s.where == "" {
		s.where = s.Where.String()
	}
	e := x.selectors[s.where]
	if e == nil {
		if len(x.order) >= maxSelectors {
			x.selectors, x.order = map[string]*selected{}, nil
		}
		e = &selected{selector: s.Where}
		for slot, l := range x.labels {
			e.bits.set(slot, l != nil && s.Where.Matches(l))
		}
		x.selectors[s.where] = e
		x.order = append(x.order, e)
	}
	return e.bits
}

// candidates returns a superset of the ready workers that have the size free;
// the result is valid until the next call.
func (x *index) candidates(s *Spec, size oleandervalve.Resources) bitset {
	x.scratch = append(x.scratch[:0], x.ready...)
	if l := cpuLevel(size.CPU); l > 0 {
		x.scratch.and(x.cpu[l])
	}
	if l := memoryLevel(size.Memory); l > 0 {
		x.scratch.and(x.memory[l])
	}
	if l := gpuLevel(size.Accelerators); l > 0 {
		x.scratch.and(x.gpu[l])
	}
	if w := x.where(s); w != nil {
		x.scratch.and(w)
	}
	return x.scratch
}
