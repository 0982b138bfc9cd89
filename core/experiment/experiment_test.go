package experiment

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"oleandervalve/core/dispatch"
)

// Guards against a default order that, in a burst with slow and failing executors,
// earns less than first come, first served or earliest deadline first, and against
// urgent jobs that earn nothing because of batch work.
func TestDefaultOrderEarnsMostInABurst(t *testing.T) {
	is := is.New(t)
	l := DefaultLoad()
	l.SlowShare, l.FailingShare = 0.1, 0.1
	seeds := []uint64{1, 2, 3}
	results, err := Run(l, []dispatch.Order{dispatch.OrderDefault, dispatch.OrderFIFO, dispatch.OrderEarliestDeadline}, seeds)
	is.NoErr(err)
	n := len(seeds)
	for i := range seeds {
		defaultOrder, fifo, earliestDeadline := results[i], results[n+i], results[2*n+i]
		is.True(defaultOrder.EarnedShare > fifo.EarnedShare)
		is.True(defaultOrder.EarnedShare > earliestDeadline.EarnedShare)
		is.Equal(defaultOrder.Classes[0].Lost, 0) // urgent
	}
}

// Guards against results that differ between runs with the same seed, so that a
// difference between two versions could be due to chance.
func TestResultsAreReproducible(t *testing.T) {
	is := is.New(t)
	l := DefaultLoad()
	l.Length = 5 * time.Second
	first, err := Run(l, dispatch.Orders(), []uint64{7})
	is.NoErr(err)
	second, err := Run(l, dispatch.Orders(), []uint64{7})
	is.NoErr(err)
	is.Equal(first, second)
}

// Guards against unintended changes of the table's columns or of how seeds are
// combined.
func TestTable(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(WriteTable(&b, []Result{
		{Order: dispatch.OrderDefault, Seed: 1, EarnedShare: 0.5, WastedCoreSeconds: 10, Classes: []ClassResult{{Class: "urgent", Jobs: 3, InTime: 2, Late: 1, P99: 900}}},
		{Order: dispatch.OrderDefault, Seed: 2, EarnedShare: 0.7, WastedCoreSeconds: 20, Classes: []ClassResult{{Class: "urgent", Jobs: 4, InTime: 4, P99: 700}}},
		{Order: dispatch.OrderFIFO, Seed: 1, EarnedShare: 0.25, Classes: []ClassResult{{Class: "urgent", Jobs: 3, Lost: 3}}},
	}))
	goldie.New(t).Assert(t, "table", b.Bytes())
}

// Guards against an unknown order that is silently replaced by another one.
func TestUnknownOrder(t *testing.T) {
	is := is.New(t)
	_, err := Run(DefaultLoad(), []dispatch.Order{"unknown"}, []uint64{1})
	is.True(err != nil)
}
