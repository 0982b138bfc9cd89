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

// Guards against keys that are cut, misread or accepted with characters that break logs and headers.
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
		is.NoErr(err)                    // The key is accepted.
		is.Equal(k.Text, text)           // Nothing of the key is lost.
		is.Equal(k.At.IsZero(), at == 0) // Only the documented form has a timestamp.
		is.True(at == 0 || k.At.UnixMilli() == at)
	}
	for _, text := range []string{"", strings.Repeat("k", MaxKeyLength+1), "a b", "a\x00b", "kéy", "a/b", "1800000000000-short", "1800000000000-"} {
		_, err := ParseKey(text)
		var invalid *oleandervalve.InvalidError
		is.True(errors.As(err, &invalid)) // A malformed key is refused with its remedy.
	}
}

// Guards against panics and lost bytes on any header value, and against a timestamp out of thin air.
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
		if !k.At.IsZero() && (len(s) < timestampDigits+1+minRandomLength || s[timestampDigits] != '-') {
			t.Fatalf("timestamp %v from %q", k.At, s)
		}
	})
}

type bench struct {
	home  *Home
	lease *keyrange.Lease
	now   time.Time
}

// newBench returns a home that serves all ranges since the given time.
func newBench(since time.Time, offset time.Duration, l Limits) *bench {
	b := &bench{now: simStart.Add(offset)}
	self := keyrange.Owner{Agent: "a", Incarnation: 1}
	b.lease = keyrange.NewLease(self, keyrange.DefaultLease(), oleandervalve.Row{})
	x, _ := b.lease.Renew(b.now, "m")
	b.lease.HandleResult(x.ID, oleandervalve.Committed{Versions: []oleandervalve.Version{1}}, nil)
	b.home = NewHome(b.now, b.lease, l)
	m := keyrange.Map{}
	if since.IsZero() {
		x, _ = m.Assign("1", []keyrange.Owner{self})
	} else {
		lost := keyrange.Owner{Agent: "z", Incarnation: 1}
		x, _ = m.Assign("0", []keyrange.Owner{lost})
		m, _ = keyrange.Decode(oleandervalve.Row{Version: 1, Value: x.Puts[0].Value})
		x, _ = m.TakeOver("1", keyrange.FailedOwner{Owner: lost, Proof: keyrange.ProofTerminated}, keyrange.DefaultLease(), []keyrange.Owner{self})
	}
	m, err := keyrange.Decode(oleandervalve.Row{Version: 2, Value: x.Puts[0].Value, WrittenAt: since})
	if err != nil {
		panic(err)
	}
	b.home.ApplyMap(b.now, m)
	return b
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

// Guards against the page's rule "an entry refuses a timestamp more than 2 s
// ahead of its clock as not run": the key may have run through an entry whose
// clock is up to 500 ms ahead, so the home's clock and record decide instead.
func TestAheadRefusalIsTrueAtEveryEntry(t *testing.T) {
	is := is.New(t)
	home := newBench(time.Time{}, 300*time.Millisecond, DefaultLimits())
	fast, slow := simStart.Add(250*time.Millisecond), simStart.Add(-250*time.Millisecond)
	const key = "1800000002200-abcdefgh"
	k, err := ParseKey(key)
	is.NoErr(err)
	is.True(k.At.Sub(fast) <= 2*time.Second && k.At.Sub(slow) > 2*time.Second) // The page's rule would run it at one and refuse it at the other.
	b := beginOf("fast", "1", key, "x")
	is.Equal(home.home.Begin(home.now, b).Status, StatusFresh)
	home.home.Finish(home.now, finishOf(b, oleandervalve.OutcomeAnswered, "kept"))
	is.NoErr(k.CheckAhead(slow)) // The slow entry asks the home instead of saying "not run".
	s := home.home.Begin(home.now, beginOf("slow", "2", key, "x"))
	is.Equal(s.Status, StatusDone)
	is.Equal(string(s.Body), "kept")
	var notRun *oleandervalve.NotRunError
	far := Key{At: slow.Add(2501 * time.Millisecond)}
	is.True(errors.As(far.CheckAhead(slow), &notRun)) // No home's clock can have admitted it.
	is.Equal(home.home.Begin(home.now, beginOf("slow", "3", "1800000002301-abcdefgh", "x")).Reason, ReasonKeyAhead)
}

// Guards against "not run" from an entry that can't reach the home, although
// the key ran through another entry.
func TestUnreachableHomeIsUnknown(t *testing.T) {
	is := is.New(t)
	for _, reachable := range []bool{false, true} {
		a, err := NewAttempt(simStart, simStart.Add(10*time.Second), beginOf("e", "1", "plain", "x"), 1024)
		is.NoErr(err)
		first := a.Tick(simStart, Route{Connected: reachable})
		is.Equal(len(first) == 1 && first[0].Begin != nil, reachable)
		now := simStart.Add(time.Second)
		is.Equal(len(a.Tick(now, Route{})), 0) // A planned move may be under way: wait.
		out := a.Tick(now.Add(routeWait), Route{})
		is.Equal(len(out), 1)
		is.Equal(out[0].Result.Outcome, oleandervalve.OutcomeUnknown)
		is.Equal(out[0].Result.ResponseStatus(), map[bool]int{true: 504, false: 502}[reachable])
		is.Equal(out[0].Result.Reason == ReasonKeyNoReply, reachable)
		is.Equal(a.Closed(), !reachable) // If Begin was sent, the home must hear that nothing ran.
		late := a.Handle(now.Add(routeWait), State{Status: StatusFresh})
		is.Equal(len(late), 0) // A late permission starts nothing.
		if reachable {
			f := a.Tick(now.Add(routeWait), Route{Connected: true})
			is.Equal(f[0].Finish.Outcome, oleandervalve.OutcomeNotRun)
		}
	}
}

// Guards against a record that hands out a second permission, forgets the
// answer, blocks a key that did not run, or runs a key of a lost home.
func TestHomeRecord(t *testing.T) {
	is := is.New(t)
	since := simStart.Add(-10 * time.Second)
	w := newBench(since, 0, Limits{Retention: time.Hour, MaxRecords: 3, MaxBytes: 1 << 20, MaxAnswer: 64})
	h, now := w.home, w.now
	status := func(entry, request, key, body string) Status {
		return h.Begin(now, beginOf(entry, request, key, body)).Status
	}
	is.Equal(status("e", "1", "1799999993001-abcdefgh", "x"), StatusLost)    // T + 3 s rounded up: may have run before the takeover.
	is.Equal(status("e", "1", "plain", "x"), StatusLost)                     // Of unknown age.
	is.Equal(status("e", "1", "1799999993002-abcdefgh", "x"), StatusFresh)   // Later than any key of the lost home.
	is.Equal(status("e", "1", "1799999993002-abcdefgh", "x"), StatusFresh)   // The same attempt repeats Begin.
	is.Equal(status("f", "2", "1799999993002-abcdefgh", "x"), StatusPending) // Another attempt does not run.
	is.Equal(status("f", "2", "1799999993002-abcdefgh", "y"), StatusMismatch)
	first := beginOf("e", "1", "1799999993002-abcdefgh", "x")
	h.Finish(now, finishOf(first, oleandervalve.OutcomeNotRun, ""))
	is.Equal(h.Begin(now, first).Reason, ReasonClosed)                     // A late copy of Begin.
	is.Equal(status("f", "2", "1799999993002-abcdefgh", "y"), StatusFresh) // The key is free again.
	h.Finish(now, finishOf(first, oleandervalve.OutcomeNotRun, ""))        // A late copy of Finish.
	is.Equal(status("g", "3", "1799999993002-abcdefgh", "y"), StatusPending)
	is.Equal(h.EntryLost(now, "f"), 1)
	is.Equal(status("g", "3", "1799999993002-abcdefgh", "y"), StatusLost)
	h.Finish(now, finishOf(beginOf("f", "2", "1799999993002-abcdefgh", "y"), oleandervalve.OutcomeAnswered, strings.Repeat("z", 65)))
	s := h.Begin(now, beginOf("g", "3", "1799999993002-abcdefgh", "y"))
	is.Equal(s.Status, StatusDone)
	is.True(!s.Kept && len(s.Body) == 0) // Too large to keep, but it ran.
	is.Equal(status("e", "4", "1800000000001-abcdefgh", "x"), StatusFresh)
	is.Equal(status("e", "5", "1800000000002-abcdefgh", "x"), StatusFresh)
	full := h.Begin(now, beginOf("e", "6", "1800000000003-abcdefgh", "x"))
	is.True(full.Status == StatusRefused && full.Reason == ReasonKeysFull)
	now = now.Add(time.Minute)
	h.Tick(now)
	is.Equal(status("f", "7", "1800000000002-abcdefgh", "x"), StatusLost) // Long after its deadline.
	now = now.Add(12 * time.Minute)
	is.Equal(h.Begin(now, beginOf("e", "8", "1800000700000-abcdefgh", "x")).Reason, ReasonKeyLease) // The lease ran out.
	x, _ := w.lease.Renew(now.Add(time.Hour), "m2")
	w.lease.HandleResult(x.ID, oleandervalve.Committed{Versions: []oleandervalve.Version{2}}, nil)
	now = now.Add(time.Hour)
	h.Tick(now)
	records, _ := h.Usage()
	is.Equal(records, 0)                                                                              // Retention is over.
	is.Equal(h.Begin(now, beginOf("e", "9", "1799999993002-abcdefgh", "y")).Reason, ReasonKeyExpired) // But the key never runs again.
	is.Equal(h.Begin(now, beginOf("e", "9", "1800000000001-abcdefgh", "x")).Reason, ReasonKeyExpired)
}

func benchmarkBegin(b *testing.B, finish bool) {
	h := newBench(time.Time{}, 0, Limits{Retention: time.Hour, MaxRecords: 1 << 30, MaxBytes: 1 << 40, MaxAnswer: 1 << 14})
	begins := make([]Begin, b.N)
	for i := range begins {
		begins[i] = beginOf("entry-1", "r", keyNumber(i), "body")
	}
	answer := finishOf(begins[0], oleandervalve.OutcomeAnswered, strings.Repeat("x", 200))
	if finish {
		for _, x := range begins {
			h.home.Begin(h.now, x)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range begins {
		if finish {
			answer.Key = begins[i].Key
			h.home.Finish(h.now, answer)
		} else {
			h.home.Begin(h.now, begins[i])
		}
	}
}

func BenchmarkBegin(b *testing.B)  { benchmarkBegin(b, false) }
func BenchmarkFinish(b *testing.B) { benchmarkBegin(b, true) }

// BenchmarkRecordBytes reports the heap per kept record with an answer of 200 bytes, beside the estimate.
func BenchmarkRecordBytes(b *testing.B) {
	const n = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		h := newBench(time.Time{}, 0, Limits{Retention: time.Hour, MaxRecords: n, MaxBytes: 1 << 40, MaxAnswer: 1 << 14})
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range n {
			x := beginOf("entry-1", strconv.Itoa(i), keyNumber(i), "body")
			h.home.Begin(h.now, x)
			h.home.Finish(h.now, finishOf(x, oleandervalve.OutcomeAnswered, strings.Repeat("x", 200)))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		_, estimate := h.home.Usage()
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "heap-B/record")
		b.ReportMetric(float64(estimate)/n, "estimated-B/record")
		runtime.KeepAlive(h)
	}
}

func keyNumber(i int) string { return "1800000000001-random" + strconv.Itoa(i) }
