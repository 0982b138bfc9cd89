package experiment

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"oleandervalve/core/dispatch"
)

// Guards against an order of waiting work that serves callers worse than first
// come, first served or the earliest deadline in a burst beside slow and
// failing executors, and against urgent callers who lose to batch work.
func TestProductServesCallersBestInABurst(t *testing.T) {
	is := is.New(t)
	l := Default()
	l.Slow, l.Failing = 0.1, 0.1
	seeds := []uint64{1, 2, 3}
	results, err := Run(l, []dispatch.Order{dispatch.OrderDefault, dispatch.OrderFIFO, dispatch.OrderEarliestDeadline}, seeds)
	is.NoErr(err)
	n := len(seeds)
	for i := range seeds {
		product, firstCome, deadline := results[i], results[n+i], results[2*n+i]
		is.True(product.Worth > firstCome.Worth)
		is.True(product.Worth > deadline.Worth)
		is.Equal(product.Classes[0].Lost, 0) // urgent
	}
}

// Guards against results that can't be repeated, so that a difference between
// two versions could be chance.
func TestExperimentRepeats(t *testing.T) {
	is := is.New(t)
	l := Default()
	l.Length = 5 * time.Second
	first, err := Run(l, dispatch.Orders(), []uint64{7})
	is.NoErr(err)
	second, err := Run(l, dispatch.Orders(), []uint64{7})
	is.NoErr(err)
	is.Equal(first, second)
}

// Guards against a table whose columns change unnoticed.
func TestTable(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(WriteTable(&b, []Result{
		{Order: dispatch.OrderDefault, Seed: 1, Worth: 0.5, Wasted: 10, Classes: []ClassResult{{Class: "urgent", Jobs: 3, InTime: 2, Late: 1, P99: 900}}},
		{Order: dispatch.OrderDefault, Seed: 2, Worth: 0.7, Wasted: 20, Classes: []ClassResult{{Class: "urgent", Jobs: 4, InTime: 4, P99: 700}}},
		{Order: dispatch.OrderFIFO, Seed: 1, Worth: 0.25, Classes: []ClassResult{{Class: "urgent", Jobs: 3, Lost: 3}}},
	}))
	goldie.New(t).Assert(t, "table", b.Bytes())
}

// Guards against a misspelled order that plays another one.
func TestUnknownOrder(t *testing.T) {
	is := is.New(t)
	_, err := Run(Default(), []dispatch.Order{"fifo"}, []uint64{1})
	is.True(err != nil)
}
