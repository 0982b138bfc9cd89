package callerkey

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

// Guards against records lost at a planned move, permissions given by the old
// home after the move, late copies that bring back an old record, and a home
// that resumes while its commit may still take effect.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	a := newBench(time.Time{}, 0, DefaultLimits())
	b := newBench(time.Time{}, 0, DefaultLimits())
	b.home = NewHome(b.now, keyrange.NewLease(keyrange.Owner{Agent: "b", Incarnation: 7}, keyrange.DefaultLease(), oleandervalve.Row{}), DefaultLimits())
	x, _ := b.home.lease.Renew(b.now, "b")
	b.home.lease.HandleResult(x.ID, oleandervalve.Committed{Versions: []oleandervalve.Version{1}}, nil)
	now := a.now
	done, pending := beginOf("e", "1", "1800000000001-abcdefgh", "x"), beginOf("e", "2", "1800000000002-abcdefgh", "x")
	a.home.Begin(now, done)
	a.home.Begin(now, pending)
	a.home.Finish(now, finishOf(done, oleandervalve.OutcomeAnswered, "kept"))
	m, err := keyrange.Decode(oleandervalve.Row{Version: 2, Value: firstMap(a.home.self)})
	is.NoErr(err)
	is.NoErr(a.home.HandOver(now, 5, b.home.self, m.Ranges(a.home.self)))
	other := beginOf("e", "3", "1800000000003-abcdefgh", "x")
	is.Equal(a.home.Begin(now, other).Status, StatusMoving)                                               // Fresh keys wait.
	is.Equal(a.home.Begin(now, done).Status, StatusDone)                                                  // A kept answer is final.
	is.Equal(a.home.Finish(now, finishOf(pending, oleandervalve.OutcomeNotRun, "")).Status, StatusMoving) // The entry repeats it at the successor.
	parts := a.home.Outgoing(5)
	for _, e := range append(parts, parts...) {
		a.home.Imported(b.home.Import(now, e))
	}
	tx, err := a.home.Commit(5, m, "move")
	is.NoErr(err)
	_, ok := a.home.Abort(5)
	is.True(!ok) // The commit may take effect.
	next, err := keyrange.Decode(oleandervalve.Row{Version: 3, Value: tx.Puts[0].Value})
	is.NoErr(err)
	b.home.ApplyMap(now, next)
	is.Equal(string(b.home.Begin(now, done).Body), "kept")
	is.Equal(b.home.Finish(now, finishOf(pending, oleandervalve.OutcomeNotRun, "")).Status, StatusRecorded)
	is.Equal(b.home.Begin(now, beginOf("f", "4", pending.Key, "x")).Status, StatusFresh)
	is.Equal(b.home.Import(now, parts[0]).Refused, ReasonKeyMoving)                       // A late copy changes nothing.
	is.Equal(a.home.Begin(now, beginOf("f", "5", pending.Key, "y")).Status, StatusMoving) // The old home does not know yet and claims nothing.
	a.home.ApplyMap(now, next)
	is.Equal(a.home.Begin(now, other).Status, StatusNotHome)
	records, bytes := a.home.Usage()
	is.True(records == 0 && bytes == 0)
}

func firstMap(h keyrange.Owner) []byte {
	x, _ := keyrange.Map{}.Assign("1", []keyrange.Owner{h})
	return x.Puts[0].Value
}

// Guards against a record whose answers fit no order of its operations, when
// entries' messages overlap, arrive late and arrive twice.
func TestRecordIsLinearizable(t *testing.T) {
	is := is.New(t)
	type call struct {
		finish  bool
		attempt int
		outcome oleandervalve.Outcome
	}
	type state struct {
		status  Status
		attempt int
	}
	model := porcupine.Model{
		Init: func() any { return state{status: StatusRefused} },
		Step: func(s, in, out any) (bool, any) {
			x, c, got := s.(state), in.(call), out.(Status)
			if c.finish {
				if x.attempt == c.attempt && x.status == StatusPending {
					x.status = map[oleandervalve.Outcome]Status{
						oleandervalve.OutcomeAnswered: StatusDone, oleandervalve.OutcomeNotRun: StatusRefused, oleandervalve.OutcomeUnknown: StatusLost,
					}[c.outcome]
				}
				return got == StatusRecorded, x
			}
			switch {
			case x.status == StatusRefused:
				return got == StatusFresh, state{StatusPending, c.attempt}
			case x.status == StatusPending && x.attempt == c.attempt:
				return got == StatusFresh, x
			}
			return got == x.status, x
		},
	}
	for seed := range uint64(200) {
		w := newWorld(seed, variant{})
		h := newBench(time.Time{}, 0, DefaultLimits())
		var history []porcupine.Operation
		for i := range 8 {
			outcome := []oleandervalve.Outcome{oleandervalve.OutcomeNotRun, oleandervalve.OutcomeNotRun, oleandervalve.OutcomeAnswered, oleandervalve.OutcomeUnknown}[w.r.IntN(4)]
			b := beginOf("e", w.id(), "1800000000001-abcdefgh", "x")
			record := func(sent time.Time, c call, s Status) {
				w.after(w.delay(), &w.outside, func(got time.Time) {
					history = append(history, porcupine.Operation{
						ClientId: len(history), Input: c, Call: sent.UnixNano(), Output: s, Return: got.UnixNano(),
					})
				})
			}
			w.after(w.delay(), &w.outside, func(sent time.Time) {
				w.after(w.delay(), &w.outside, func(time.Time) {
					s := h.home.Begin(h.now, b).Status
					record(sent, call{attempt: i}, s)
					if s == StatusFresh {
						w.after(w.delay(), &w.outside, func(sent time.Time) {
							record(sent, call{true, i, outcome}, h.home.Finish(h.now, finishOf(b, outcome, "")).Status)
						})
					}
				})
			})
		}
		w.advance(5 * time.Minute)
		is.True(len(history) >= 8)
		is.True(porcupine.CheckOperations(model, history)) // Some order explains all answers.
	}
}
