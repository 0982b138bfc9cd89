package callerkey

import (
	"errors"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

// Guards against keys that are truncated, misparsed or accepted with characters
// that are unsafe in logs and headers.
func TestParseKey(t *testing.T) {
	is := is.New(t)
	for text, at := range map[string]int64{
		"1800000000000-abcdefgh":                  1_800_000_000_000,
		"1800000000000-0b5c6d1e-7a.b_c~d:e":       1_800_000_000_000,
		"0b5c6d1e-7a4f-4f0e-9d57-0e1a2b3c4d5e":    0,
		"1800000000000":                           0,
		"180000000000-abcdefgh":                   0,
		"18000000000000-abcdefgh":                 0,
		"x1800000000000-abcdefgh":                 0,
		strings.Repeat("k", MaxKeyLength):         0,
		"1800000000000-" + strings.Repeat("r", 8): 1_800_000_000_000,
	} {
		k, err := ParseKey(text)
		is.NoErr(err)                           // The key is accepted.
		is.Equal(k.Text, text)                  // The text of the key is not altered.
		is.Equal(k.Timestamp.IsZero(), at == 0) // Only the documented form has a timestamp.
		is.True(at == 0 || k.Timestamp.UnixMilli() == at)
	}
	for _, text := range []string{"", strings.Repeat("k", MaxKeyLength+1), "a b", "a\x00b", "kéy", "a/b", "1800000000000-short", "1800000000000-"} {
		_, err := ParseKey(text)
		var invalid *oleandervalve.InvalidError
		is.True(errors.As(err, &invalid)) // A malformed key is refused with a remedy.
	}
}

// Guards against panics and altered keys on any header value, and against a
// timestamp in a key that does not have the documented form.
func FuzzParseKey(f *testing.F) {
	for _, s := range []string{"", "1800000000000-abcdefgh", "9999999999999-abcdefgh", "0000000000000-abcdefgh", "plain", "\xff-", "１800000000000-abcdefgh"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		k, err := ParseKey(s)
		if err != nil {
			return
		}
		if k.Text != s || len(s) > MaxKeyLength || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) {
			t.Fatalf("accepted %q as %q", s, k.Text)
		}
		if !k.Timestamp.IsZero() && (len(s) < timestampDigits+1+minRandomLength || s[timestampDigits] != '-') {
			t.Fatalf("timestamp %v from %q", k.Timestamp, s)
		}
	})
}

// storeFixture is a record store with its lease and the time at which it started.
type storeFixture struct {
	store *RecordStore
	lease *keyrange.Lease
	now   time.Time
}

// newStoreFixture returns a record store in which all ranges are active. They were
// taken over at takenOverAt, or assigned for the first time if it is zero.
func newStoreFixture(takenOverAt time.Time, offset time.Duration, l Limits) *storeFixture {
	fixture := &storeFixture{now: simStart.Add(offset)}
	self := keyrange.Owner{Agent: "a", Incarnation: 1}
	fixture.lease = keyrange.NewLease(self, keyrange.DefaultLease(), oleandervalve.Row{}, nil)
	x, _ := fixture.lease.Renew(fixture.now, "m")
	fixture.lease.HandleResult(x.ID, oleandervalve.Committed{Versions: []oleandervalve.Version{1}}, nil)
	fixture.store = NewRecordStore(fixture.now, fixture.lease, l)
	m := keyrange.Map{}
	if takenOverAt.IsZero() {
		x, _ = m.Assign("1", []keyrange.Owner{self})
	} else {
		failed := keyrange.Owner{Agent: "z", Incarnation: 1}
		x, _ = m.Assign("0", []keyrange.Owner{failed})
		m, _ = keyrange.Decode(oleandervalve.Row{Version: 1, Value: x.Puts[0].Value})
		x, _ = m.TakeOver("1", keyrange.FailedOwner{Owner: failed, Proof: keyrange.ProofTerminated}, keyrange.DefaultLease(), []keyrange.Owner{self})
	}
	m, err := keyrange.Decode(oleandervalve.Row{Version: 2, Value: x.Puts[0].Value, WrittenAt: takenOverAt})
	if err != nil {
		panic(err)
	}
	fixture.store.ApplyMap(fixture.now, m)
	return fixture
}

func beginOf(entry, request, key, body string) Begin {
	return Begin{
		Entry: oleandervalve.EntryID(entry), Request: oleandervalve.RequestID(request), Caller: "caller-17", Service: "formaro",
		Key: key, Digest: DigestOf("POST", "/", []byte(body)), Remaining: time.Second,
	}
}

func finishOf(b Begin, o oleandervalve.Outcome, body string) Finish {
	return Finish{
		Entry: b.Entry, Request: b.Request, Caller: b.Caller, Service: b.Service, Key: b.Key, Digest: b.Digest,
		Outcome: o, HTTPStatus: 200, Body: []byte(body), Kept: true,
	}
}

// Guards against an entry that reports "not run" for every timestamp more than 2 s
// ahead of its own clock: the key may have run through another entry whose clock is
// up to 500 ms ahead. The owner must decide, by its own clock and its record.
func TestFutureTimestampRefusalIsTrueAtEveryEntry(t *testing.T) {
	is := is.New(t)
	fixture := newStoreFixture(time.Time{}, 300*time.Millisecond, DefaultLimits())
	fastClock, slowClock := simStart.Add(250*time.Millisecond), simStart.Add(-250*time.Millisecond)
	const key = "1800000002200-abcdefgh"
	k, err := ParseKey(key)
	is.NoErr(err)
	is.True(k.Timestamp.Sub(fastClock) <= 2*time.Second && k.Timestamp.Sub(slowClock) > 2*time.Second) // With a limit of 2 s at the entries, one would run the key and the other would report "not run".
	b := beginOf("fast", "1", key, "x")
	is.Equal(fixture.store.Begin(fixture.now, b).Status, StatusPermitted)
	fixture.store.Finish(fixture.now, finishOf(b, oleandervalve.OutcomeAnswered, "kept"))
	is.NoErr(k.CheckTimestamp(slowClock)) // The entry with the slow clock leaves the decision to the owner.
	s := fixture.store.Begin(fixture.now, beginOf("slow", "2", key, "x"))
	is.Equal(s.Status, StatusDone)
	is.Equal(string(s.Body), "kept")
	var notRun *oleandervalve.NotRunError
	rejected := Key{Timestamp: slowClock.Add(2501 * time.Millisecond)}
	is.True(errors.As(rejected.CheckTimestamp(slowClock), &notRun)) // No owner can have admitted the key.
	is.Equal(fixture.store.Begin(fixture.now, beginOf("slow", "3", "1800000002301-abcdefgh", "x")).Reason, ReasonTimestampAhead)
}

// Guards against "not run" from an entry that can't reach the owner, although the
// key may have run through another entry.
func TestUnreachableOwnerIsUnknown(t *testing.T) {
	is := is.New(t)
	for _, reachable := range []bool{false, true} {
		a, err := NewAttempt(simStart, simStart.Add(10*time.Second), beginOf("e", "1", "plain", "x"), 1024)
		is.NoErr(err)
		first := a.Tick(simStart, Route{Connected: reachable})
		is.Equal(len(first) == 1 && first[0].Begin != nil, reachable)
		now := simStart.Add(time.Second)
		is.Equal(len(a.Tick(now, Route{})), 0) // The attempt waits, because a planned transfer may be in flight.
		out := a.Tick(now.Add(routeTimeout), Route{})
		is.Equal(len(out), 1)
		is.Equal(out[0].Result.Outcome, oleandervalve.OutcomeUnknown)
		is.Equal(out[0].Result.ResponseStatus(), map[bool]int{true: 504, false: 502}[reachable])
		is.Equal(out[0].Result.Reason == ReasonOwnerNoReply, reachable)
		is.Equal(a.Closed(), !reachable) // If Begin was sent, the owner must be notified that nothing ran.
		late := a.Handle(now.Add(routeTimeout), Reply{Status: StatusPermitted})
		is.Equal(len(late), 0) // A late permission does not start an execution.
		if reachable {
			f := a.Tick(now.Add(routeTimeout), Route{Connected: true})
			is.Equal(f[0].Finish.Outcome, oleandervalve.OutcomeNotRun)
		}
	}
}

// Guards against a record that permits a second execution, loses the answer, blocks
// a key that did not run, or runs a key that a failed owner may have admitted.
func TestRecordStore(t *testing.T) {
	is := is.New(t)
	takenOverAt := simStart.Add(-10 * time.Second)
	fixture := newStoreFixture(takenOverAt, 0, Limits{Retention: time.Hour, MaxRecords: 3, MaxBytes: 1 << 20, MaxAnswer: 64})
	store, now := fixture.store, fixture.now
	status := func(entry, request, key, body string) Status {
		return store.Begin(now, beginOf(entry, request, key, body)).Status
	}
	is.Equal(status("e", "1", "1799999993001-abcdefgh", "x"), StatusIndeterminate) // Not later than the takeover plus 3 s, rounded up: may have run before the takeover.
	is.Equal(status("e", "1", "plain", "x"), StatusIndeterminate)                  // The age of the key is unknown.
	is.Equal(status("e", "1", "1799999993002-abcdefgh", "x"), StatusPermitted)     // Later than any key that the failed owner admitted.
	is.Equal(status("e", "1", "1799999993002-abcdefgh", "x"), StatusPermitted)     // The same attempt repeats Begin.
	is.Equal(status("f", "2", "1799999993002-abcdefgh", "x"), StatusPending)       // Another attempt does not run.
	is.Equal(status("f", "2", "1799999993002-abcdefgh", "y"), StatusMismatch)
	first := beginOf("e", "1", "1799999993002-abcdefgh", "x")
	store.Finish(now, finishOf(first, oleandervalve.OutcomeNotRun, ""))
	is.Equal(store.Begin(now, first).Reason, ReasonAttemptClosed)              // A late copy of Begin.
	is.Equal(status("f", "2", "1799999993002-abcdefgh", "y"), StatusPermitted) // The key was released.
	store.Finish(now, finishOf(first, oleandervalve.OutcomeNotRun, ""))        // A late copy of Finish.
	is.Equal(status("g", "3", "1799999993002-abcdefgh", "y"), StatusPending)
	is.Equal(store.EntryTerminated(now, "f"), 1)
	is.Equal(status("g", "3", "1799999993002-abcdefgh", "y"), StatusIndeterminate)
	store.Finish(now, finishOf(beginOf("f", "2", "1799999993002-abcdefgh", "y"), oleandervalve.OutcomeAnswered, strings.Repeat("z", 65)))
	s := store.Begin(now, beginOf("g", "3", "1799999993002-abcdefgh", "y"))
	is.Equal(s.Status, StatusDone)
	is.True(!s.Kept && len(s.Body) == 0) // The answer is too large to store, but the request ran.
	is.Equal(status("e", "4", "1800000000001-abcdefgh", "x"), StatusPermitted)
	is.Equal(status("e", "5", "1800000000002-abcdefgh", "x"), StatusPermitted)
	full := store.Begin(now, beginOf("e", "6", "1800000000003-abcdefgh", "x"))
	is.True(full.Status == StatusRefused && full.Reason == ReasonKeysFull)
	now = now.Add(time.Minute)
	store.Tick(now)
	is.Equal(status("f", "7", "1800000000002-abcdefgh", "x"), StatusIndeterminate) // The deadline and the grace period have passed.
	now = now.Add(12 * time.Minute)
	is.Equal(store.Begin(now, beginOf("e", "8", "1800000700000-abcdefgh", "x")).Reason, ReasonLeaseInvalid) // The lease has expired.
	x, _ := fixture.lease.Renew(now.Add(time.Hour), "m2")
	fixture.lease.HandleResult(x.ID, oleandervalve.Committed{Versions: []oleandervalve.Version{2}}, nil)
	now = now.Add(time.Hour)
	store.Tick(now)
	records, _ := store.Usage()
	is.Equal(records, 0)                                                                                  // The retention time has passed.
	is.Equal(store.Begin(now, beginOf("e", "9", "1799999993002-abcdefgh", "y")).Reason, ReasonKeyExpired) // The key still does not run again.
	is.Equal(store.Begin(now, beginOf("e", "9", "1800000000001-abcdefgh", "x")).Reason, ReasonKeyExpired)
}

// benchmarkStore measures Finish if finish is set, and Begin otherwise.
func benchmarkStore(b *testing.B, finish bool) {
	fixture := newStoreFixture(time.Time{}, 0, Limits{Retention: time.Hour, MaxRecords: 1 << 30, MaxBytes: 1 << 40, MaxAnswer: 1 << 14})
	begins := make([]Begin, b.N)
	for i := range begins {
		begins[i] = beginOf("entry-1", "r", keyNumber(i), "body")
	}
	answer := finishOf(begins[0], oleandervalve.OutcomeAnswered, strings.Repeat("x", 200))
	if finish {
		for _, x := range begins {
			fixture.store.Begin(fixture.now, x)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range begins {
		if finish {
			answer.Key = begins[i].Key
			fixture.store.Finish(fixture.now, answer)
		} else {
			fixture.store.Begin(fixture.now, begins[i])
		}
	}
}

func BenchmarkBegin(b *testing.B)  { benchmarkStore(b, false) }
func BenchmarkFinish(b *testing.B) { benchmarkStore(b, true) }

// BenchmarkRecordBytes reports the heap memory per record with an answer of 200
// bytes, and the estimate of the record store.
func BenchmarkRecordBytes(b *testing.B) {
	const n = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		fixture := newStoreFixture(time.Time{}, 0, Limits{Retention: time.Hour, MaxRecords: n, MaxBytes: 1 << 40, MaxAnswer: 1 << 14})
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range n {
			x := beginOf("entry-1", strconv.Itoa(i), keyNumber(i), "body")
			fixture.store.Begin(fixture.now, x)
			fixture.store.Finish(fixture.now, finishOf(x, oleandervalve.OutcomeAnswered, strings.Repeat("x", 200)))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		_, estimate := fixture.store.Usage()
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "heap-B/record")
		b.ReportMetric(float64(estimate)/n, "estimated-B/record")
		runtime.KeepAlive(fixture)
	}
}

func keyNumber(i int) string { return "1800000000001-random" + strconv.Itoa(i) }
