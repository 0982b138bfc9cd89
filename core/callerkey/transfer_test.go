package callerkey

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

// Guards against records lost in a planned transfer, permissions granted by the old
// owner after the transfer, late copies that restore an outdated record, and an
// owner that resumes while its commit may still take effect.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	oldOwner := newStoreFixture(time.Time{}, 0, DefaultLimits())
	newOwner := newStoreFixture(time.Time{}, 0, DefaultLimits())
	newOwner.store = NewRecordStore(newOwner.now, keyrange.NewLease(keyrange.Owner{Agent: "b", Incarnation: 7}, keyrange.DefaultLease(), oleandervalve.Row{}, nil), DefaultLimits())
	x, _ := newOwner.store.lease.Renew(newOwner.now, "b")
	newOwner.store.lease.HandleResult(x.ID, oleandervalve.Committed{Versions: []oleandervalve.Version{1}}, nil)
	now := oldOwner.now
	done, pending := beginOf("e", "1", "1800000000001-abcdefgh", "x"), beginOf("e", "2", "1800000000002-abcdefgh", "x")
	oldOwner.store.Begin(now, done)
	oldOwner.store.Begin(now, pending)
	oldOwner.store.Finish(now, finishOf(done, oleandervalve.OutcomeAnswered, "kept"))
	m, err := keyrange.Decode(oleandervalve.Row{Version: 2, Value: firstMapValue(oldOwner.store.self)})
	is.NoErr(err)
	is.NoErr(oldOwner.store.BeginTransfer(now, 5, newOwner.store.self, m.Ranges(oldOwner.store.self)))
	other := beginOf("e", "3", "1800000000003-abcdefgh", "x")
	is.Equal(oldOwner.store.Begin(now, other).Status, StatusTransferring)                                               // New keys wait.
	is.Equal(oldOwner.store.Begin(now, done).Status, StatusDone)                                                        // A stored answer is final.
	is.Equal(oldOwner.store.Finish(now, finishOf(pending, oleandervalve.OutcomeNotRun, "")).Status, StatusTransferring) // The entry sends Finish again to the successor.
	parts := oldOwner.store.PartsToSend(5)
	for _, e := range append(parts, parts...) {
		oldOwner.store.HandleExportAck(newOwner.store.HandleExport(now, e))
	}
	tx, err := oldOwner.store.CommitTransfer(5, m, "move")
	is.NoErr(err)
	_, ok := oldOwner.store.AbortTransfer(5)
	is.True(!ok) // The commit may take effect.
	next, err := keyrange.Decode(oleandervalve.Row{Version: 3, Value: tx.Puts[0].Value})
	is.NoErr(err)
	newOwner.store.ApplyMap(now, next)
	is.Equal(string(newOwner.store.Begin(now, done).Body), "kept")
	is.Equal(newOwner.store.Finish(now, finishOf(pending, oleandervalve.OutcomeNotRun, "")).Status, StatusRecorded)
	is.Equal(newOwner.store.Begin(now, beginOf("f", "4", pending.Key, "x")).Status, StatusPermitted)
	is.Equal(newOwner.store.HandleExport(now, parts[0]).Refused, ReasonKeyTransferring)                 // A late copy has no effect.
	is.Equal(oldOwner.store.Begin(now, beginOf("f", "5", pending.Key, "y")).Status, StatusTransferring) // The old owner has not seen the new map yet and decides nothing.
	oldOwner.store.ApplyMap(now, next)
	is.Equal(oldOwner.store.Begin(now, other).Status, StatusNotOwner)
	records, bytes := oldOwner.store.Usage()
	is.True(records == 0 && bytes == 0)
}

func firstMapValue(owner keyrange.Owner) []byte {
	x, _ := keyrange.Map{}.Assign("1", []keyrange.Owner{owner})
	return x.Puts[0].Value
}

// Guards against a record that is not linearizable when the messages of several
// attempts overlap and arrive late.
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
						oleandervalve.OutcomeAnswered: StatusDone, oleandervalve.OutcomeNotRun: StatusRefused, oleandervalve.OutcomeUnknown: StatusIndeterminate,
					}[c.outcome]
				}
				return got == StatusRecorded, x
			}
			switch {
			case x.status == StatusRefused:
				return got == StatusPermitted, state{StatusPending, c.attempt}
			case x.status == StatusPending && x.attempt == c.attempt:
				return got == StatusPermitted, x
			}
			return got == x.status, x
		},
	}
	for seed := range uint64(200) {
		cl := newCluster(seed, variant{})
		fixture := newStoreFixture(time.Time{}, 0, DefaultLimits())
		var history []porcupine.Operation
		for i := range 8 {
			outcome := []oleandervalve.Outcome{oleandervalve.OutcomeNotRun, oleandervalve.OutcomeNotRun, oleandervalve.OutcomeAnswered, oleandervalve.OutcomeUnknown}[cl.r.IntN(4)]
			b := beginOf("e", cl.nextID(), "1800000000001-abcdefgh", "x")
			record := func(sent time.Time, c call, s Status) {
				cl.schedule(cl.delay(), &cl.tableProcess, func(got time.Time) {
					history = append(history, porcupine.Operation{
						ClientId: len(history), Input: c, Call: sent.UnixNano(), Output: s, Return: got.UnixNano(),
					})
				})
			}
			cl.schedule(cl.delay(), &cl.tableProcess, func(sent time.Time) {
				cl.schedule(cl.delay(), &cl.tableProcess, func(time.Time) {
					s := fixture.store.Begin(fixture.now, b).Status
					record(sent, call{attempt: i}, s)
					if s == StatusPermitted {
						cl.schedule(cl.delay(), &cl.tableProcess, func(sent time.Time) {
							record(sent, call{true, i, outcome}, fixture.store.Finish(fixture.now, finishOf(b, outcome, "")).Status)
						})
					}
				})
			})
		}
		cl.advance(5 * time.Minute)
		is.True(len(history) >= 8)
		is.True(porcupine.CheckOperations(model, history)) // Some sequential order explains all replies.
	}
}
