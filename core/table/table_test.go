package table

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandervalve"
)

// TestMain fixes the seed of the property tests so that runs are reproducible.
// The flags -rapid.seed and -rapid.checks override the seed and the number of
// checks.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// Guards against an overload of starts that delays fencing, finishing, renewals
// or configuration, and against exceeding the budget.
func TestPrioritiesUnderOverload(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := NewLimiter(DefaultLimits)
	total := 0
	for range 10_000 { // ten seconds, with demand for 3,000 starts/s
		for _, c := range []struct {
			p     Priority
			every int64
		}{{Starting, 0}, {Finishing, 20}, {Renewing, 200}, {Configuring, 100}} {
			n := 3
			if c.every > 0 {
				n = 1
				if now.UnixMilli()%c.every != 0 {
					continue
				}
			}
			for range n {
				if wait := l.TakeWrites(now, c.p, 1); wait == 0 {
					total++
				}
			}
		}
		now = now.Add(time.Millisecond)
	}
	for _, p := range []Priority{Finishing, Renewing, Configuring} {
		_, delayed := l.Counts(p)
		is.Equal(delayed, 0) // only starts wait
	}
	starts, _ := l.Counts(Starting)
	t.Logf("%d writes in 10 s, %d of them starts", total, starts)
	is.True(total <= 300*10+300)
	is.True(starts > 2000) // the rest of the budget is used
}

// Guards against a queue that sends by arrival instead of priority, exceeds the
// budget, or refuses Finishing transactions when it is full.
func TestQueueSendsByPriority(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	q := NewQueue(NewLimiter(Limits{Writes: 5}), 2)
	for i, p := range []Priority{Starting, Starting, Starting, Finishing, Finishing, Finishing, Renewing} {
		err := q.Add(oleandervalve.Transaction{ID: oleandervalve.MutationID(rune('a' + i)), Puts: make([]oleandervalve.Put, 1)}, p)
		is.Equal(err != nil, i == 2) // only the third start finds the queue full
	}
	sent := ""
	for q.Waiting(Finishing)+q.Waiting(Renewing)+q.Waiting(Starting) > 0 {
		tx, wait, ok := q.Next(now)
		is.Equal(ok, wait == 0)
		now = now.Add(wait)
		sent += string(tx.ID)
	}
	is.Equal(sent, "defgab")
	is.True(now.Sub(time.Unix(1000, 0)) >= 600*time.Millisecond) // five at once; the sixth waits for the reserve
}

// Guards against grants above the rate, against a wait after which the same
// request is refused again, and against a lower priority that is granted while a
// higher one is delayed.
func TestLimiterNeverExceedsBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.5, 500).Draw(rt, "rate")
		l := NewLimiter(Limits{Writes: rate, Reads: rate})
		start := time.Unix(1000, 0)
		now, taken, largest := start, 0, 0
		for range rapid.IntRange(1, 60).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			p := Priority(rapid.IntRange(0, int(priorityCount)-1).Draw(rt, "priority"))
			n := rapid.IntRange(1, 40).Draw(rt, "n")
			wait := l.TakeWrites(now, p, n)
			if wait > 0 {
				now = now.Add(wait)
				if again := l.TakeWrites(now, p, n); again > 0 {
					rt.Fatalf("refused again for %s after a wait of %s", again, wait)
				}
			}
			taken, largest = taken+n, max(largest, n)
			if limit := rate*now.Sub(start).Seconds() + max(1, rate) + float64(largest); float64(taken) > limit+1e-6 {
				rt.Fatalf("took %d, limit %f", taken, limit)
			}
			if l.TakeWrites(now, Finishing, 1) == 0 {
				taken++
			} else if l.TakeWrites(now, Starting, 1) == 0 {
				rt.Fatal("a start was granted while a finish was delayed")
			}
		}
	})
}

// Guards against treating a lost response as a failure or as a success. Each
// case is one history of the row between the commit and the read.
func TestAttemptAfterLostResponse(t *testing.T) {
	tx := oleandervalve.Transaction{
		ID:         "m1",
		Conditions: []oleandervalve.Condition{{Key: "a", Version: 3}, {Key: "b", Version: 8}},
		Puts:       []oleandervalve.Put{{Key: "a"}},
	}
	row := func(v oleandervalve.Version, id oleandervalve.MutationID) []oleandervalve.Row {
		return []oleandervalve.Row{{Key: "a", Version: v, MutationID: id}, {Key: "b", Version: 8}}
	}
	unknown := &oleandervalve.UnknownOutcomeError{Operation: "commit"}
	unavailable := &oleandervalve.UnavailableError{Service: "table"}
	conflict := &oleandervalve.ConflictError{Key: "a", Expected: 3}
	for _, c := range []struct {
		name   string
		answer []error // of the commits, in order
		rows   [][]oleandervalve.Row
		want   Resolution
		reads  int
	}{
		{"response received", []error{nil}, nil, Applied, 0},
		{"proven without effect", []error{unavailable}, nil, NotApplied, 0},
		{"response lost, applied", []error{unknown}, [][]oleandervalve.Row{row(4, "m1")}, Applied, 1},
		{"request lost, repetition applied", []error{unknown, nil}, [][]oleandervalve.Row{row(3, "m0")}, Applied, 1},
		{"first request arrives late, repetition conflicts", []error{unknown, conflict}, [][]oleandervalve.Row{row(3, "m0"), row(4, "m1")}, Applied, 2},
		{"superseded by another writer", []error{unknown}, [][]oleandervalve.Row{row(4, "m2")}, Superseded, 1},
		{"unavailable after a lost response proves nothing", []error{unknown, unavailable}, [][]oleandervalve.Row{row(3, "m0"), row(4, "m1")}, Applied, 2},
		{"conflict with an earlier delivery of the same request", []error{conflict}, [][]oleandervalve.Row{row(4, "m1")}, Applied, 1},
		{"conflict with another writer", []error{conflict}, [][]oleandervalve.Row{row(5, "m2")}, Superseded, 1},
		{"refused by UnwrittenFor", []error{conflict}, [][]oleandervalve.Row{row(3, "m0")}, Superseded, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, s := NewAttempt(tx)
			commits, reads := 0, 0
			for s.Kind != StepDone {
				if s.Kind == StepCommit {
					is.True(commits < len(c.answer)) // no more commits than expected
					s = a.HandleCommit(oleandervalve.Committed{Versions: []oleandervalve.Version{4}}, c.answer[commits])
					commits++
					continue
				}
				is.Equal(s.Keys, []oleandervalve.Key{"a", "b"})
				s = a.HandleRead(nil, errors.New("table does not respond"))
				is.True(s.Kind == StepRead && s.Delay > 0) // a failed read is repeated later
				s = a.HandleRead(c.rows[reads], nil)
				reads++
			}
			is.Equal(s.Result.Resolution, c.want)
			is.Equal(commits, len(c.answer))
			is.Equal(reads, c.reads)
			if c.want == Applied {
				is.Equal(s.Result.Versions, []oleandervalve.Version{4})
			}
		})
	}
}
