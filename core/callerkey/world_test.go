package callerkey

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

var (
	simLease     = keyrange.LeaseOptions{Duration: 20 * time.Second, Guard: 3 * time.Second, RenewInterval: 3 * time.Second}
	simRetention = time.Minute
	simStart     = time.UnixMilli(1_800_000_000_000)
)

// variant selects the rules under test; the zero value is the product's.
type variant struct {
	noMargin, noLease, abortAfterCommit bool
}

type simTable struct {
	offset time.Duration
	rows   map[oleandervalve.Key]oleandervalve.Row
	down   time.Time
}

func (s *simTable) commit(now time.Time, x oleandervalve.Transaction) (oleandervalve.Committed, error) {
	now = now.Add(s.offset)
	for _, c := range x.Conditions {
		if r := s.rows[c.Key]; r.Version != c.Version || r.Version != 0 && now.Sub(r.WrittenAt) < c.UnwrittenFor {
			return oleandervalve.Committed{}, &oleandervalve.ConflictError{Key: c.Key, Expected: c.Version, Current: r}
		}
	}
	out := oleandervalve.Committed{At: now}
	for _, p := range x.Puts {
		v := s.rows[p.Key].Version + 1
		s.rows[p.Key] = oleandervalve.Row{Key: p.Key, Value: p.Value, Version: v, MutationID: x.ID, WrittenAt: now}
		out.Versions = append(out.Versions, v)
	}
	return out, nil
}

// process is one process; its run grows with every restart.
type process struct {
	offset time.Duration
	run    uint64
	down   bool
	paused time.Time
	// cut is until when the process can't reach the table.
	cut time.Time
}

type simAgent struct {
	process
	id       oleandervalve.AgentID
	lease    *keyrange.Lease
	home     *Home
	view     keyrange.Map
	transfer uint64
	commits  int
}

type simAttempt struct {
	id        oleandervalve.RequestID
	key, body string
}

type simEntry struct {
	process
	id       oleandervalve.EntryID
	view     keyrange.Map
	attempts *Attempts
}

type simKey struct {
	ran    time.Time
	body   string
	answer string
	again  bool
}

type simEvent struct {
	at  time.Time
	p   *process
	run uint64
	do  func(now time.Time)
	// stale is the clock reading of a process that was paused just after it.
	stale time.Time
}

type world struct {
	variant
	r     *rand.Rand
	now   time.Time
	table simTable
	// outside stands for the table; it never stops and has the true time.
	outside process
	agents  []*simAgent
	entries []*simEntry
	events  []simEvent
	// requests holds what was asked for in each attempt.
	requests map[oleandervalve.RequestID]*simAttempt
	keys     []string
	ran      map[string]*simKey
	next     int
	fault    string
	counts   map[string]int
}

func newWorld(seed uint64, v variant) *world {
	w := &world{
		variant: v, r: rand.New(rand.NewPCG(seed, 1)), now: simStart, ran: map[string]*simKey{}, counts: map[string]int{},
		requests: map[oleandervalve.RequestID]*simAttempt{},
		table:    simTable{rows: map[oleandervalve.Key]oleandervalve.Row{}},
	}
	w.table.offset = w.skew()
	for i := range 3 {
		a := &simAgent{id: oleandervalve.AgentID("a" + strconv.Itoa(i)), process: process{offset: w.skew()}}
		w.agents = append(w.agents, a)
		w.startAgent(a)
		e := &simEntry{id: oleandervalve.EntryID("e" + strconv.Itoa(i)), process: process{offset: w.skew(), run: 1}, attempts: NewAttempts()}
		w.entries = append(w.entries, e)
	}
	w.advance(5 * time.Second)
	return w
}

// skew returns a clock offset; any two differ by at most 500 ms.
func (w *world) skew() time.Duration { return time.Duration(w.r.IntN(501)-250) * time.Millisecond }

func (w *world) chance(percent int) bool { return w.r.IntN(100) < percent }

func (w *world) id() string { w.next++; return strconv.Itoa(w.next) }

func (w *world) failf(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

func (w *world) startAgent(a *simAgent) {
	a.run++
	a.down, a.paused, a.transfer, a.commits = false, time.Time{}, 0, 0
	o := simLease
	if w.noLease {
		o.Duration = 1000 * time.Hour
	}
	a.lease = keyrange.NewLease(keyrange.Owner{Agent: a.id, Incarnation: a.run}, o, w.table.rows[keyrange.LeaseKey(a.id)])
	a.home = NewHome(w.now.Add(a.offset), a.lease, Limits{Retention: simRetention, MaxRecords: 3 + w.r.IntN(20), MaxBytes: 1 << 20, MaxAnswer: 1 << 10})
	a.view = keyrange.Map{}
	if w.noMargin {
		a.home.margin = 0
	}
}

// after runs do at a process, unless the process ends first.
func (w *world) after(d time.Duration, p *process, do func(time.Time)) {
	w.events = append(w.events, simEvent{at: w.now.Add(d), p: p, run: p.run, do: do})
}

func (w *world) delay() time.Duration {
	ms := 1 + w.r.IntN(5)
	switch n := w.r.IntN(100); {
	case n < 5:
		ms = w.r.IntN(40_000)
	case n < 20:
		ms = w.r.IntN(2000)
	}
	return time.Duration(ms) * time.Millisecond
}

// send delivers a message late, twice or not at all.
func (w *world) send(p *process, do func(time.Time)) {
	if w.chance(5) {
		return
	}
	w.after(w.delay(), p, do)
	if w.chance(10) {
		w.after(w.delay(), p, do)
	}
}

// advance runs all events of the next d, and every process's timers each second.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for w.fault == "" {
		first := -1
		for i, e := range w.events {
			if first < 0 || e.at.Before(w.events[first].at) {
				first = i
			}
		}
		second := w.now.Truncate(time.Second).Add(time.Second)
		if first < 0 || w.events[first].at.After(second) {
			if second.After(end) {
				break
			}
			w.now = second
			w.second()
			continue
		}
		if w.events[first].at.After(end) {
			break
		}
		e := w.events[first]
		w.events = append(w.events[:first], w.events[first+1:]...)
		if e.at.After(w.now) {
			w.now = e.at
		}
		w.dispatch(e)
	}
	w.now = end
}

// pause stops a process; half of the time it has just read the clock for an event.
func (w *world) pause(p *process, d time.Duration) {
	if p.down || p.paused.After(w.now) {
		return
	}
	p.paused = w.now.Add(d)
	for i := range w.events {
		if e := &w.events[i]; e.p == p && w.chance(50) {
			e.at, e.stale = p.paused, w.now.Add(p.offset)
			return
		}
	}
}

func (w *world) dispatch(e simEvent) {
	p := e.p
	switch {
	case p.down || p.run != e.run:
	case p.paused.After(w.now):
		e.at = p.paused
		w.events = append(w.events, e)
	default:
		now := e.stale
		if now.IsZero() {
			now = w.now.Add(p.offset)
		}
		e.do(now)
	}
}

func (w *world) second() {
	for _, a := range w.agents {
		w.after(0, &a.process, func(now time.Time) { w.tickAgent(a, now) })
		w.read(&a.process, &a.view, func(now time.Time, rows map[oleandervalve.Key]oleandervalve.Row) {
			a.lease.Observe(rows[keyrange.LeaseKey(a.id)])
			a.home.ApplyMap(now, a.view)
		})
	}
	for _, e := range w.entries {
		w.after(0, &e.process, func(now time.Time) { w.tickEntry(e, now) })
		w.read(&e.process, &e.view, func(time.Time, map[oleandervalve.Key]oleandervalve.Row) {})
	}
}

// read delivers the rows late and updates the process's view of the map.
func (w *world) read(p *process, view *keyrange.Map, do func(time.Time, map[oleandervalve.Key]oleandervalve.Row)) {
	if w.table.down.After(w.now) || p.cut.After(w.now) {
		return
	}
	rows := maps.Clone(w.table.rows)
	w.after(w.delay(), p, func(now time.Time) {
		if row := rows[keyrange.MapKey]; row.Version > view.Version() {
			var err error
			if *view, err = keyrange.Decode(row); err != nil {
				w.failf("map: %v", err)
			}
		}
		do(now, rows)
	})
}

// commit applies a transaction late and may lose or delay its result.
func (w *world) commit(p *process, x oleandervalve.Transaction, do func(oleandervalve.Committed, error)) {
	answered := false
	answer := func(c oleandervalve.Committed, err error) func(time.Time) {
		return func(time.Time) {
			if !answered {
				answered = true
				do(c, err)
			}
		}
	}
	w.after(2*time.Second, p, answer(oleandervalve.Committed{}, &oleandervalve.UnknownOutcomeError{Operation: "commit"}))
	w.after(w.delay(), &w.outside, func(now time.Time) {
		if w.table.down.After(now) || p.cut.After(now) {
			w.after(w.delay(), p, answer(oleandervalve.Committed{}, &oleandervalve.UnavailableError{Service: "table"}))
			return
		}
		c, err := w.table.commit(now, x)
		if !w.chance(10) {
			w.after(w.delay(), p, answer(c, err))
		}
	})
}

func (w *world) tickAgent(a *simAgent, now time.Time) {
	if a.lease.Lost() {
		w.counts["leaseLost"]++
		w.startAgent(a)
		return
	}
	a.home.Tick(now)
	if x, ok := a.lease.Renew(now, oleandervalve.MutationID(w.id())); ok && a.commits == 0 {
		a.commits++
		w.commit(&a.process, x, func(c oleandervalve.Committed, err error) {
			a.commits--
			a.lease.HandleResult(x.ID, c, err)
		})
	}
	if a.transfer != 0 {
		w.export(a, now)
	}
}

func (w *world) export(a *simAgent, now time.Time) {
	if t := a.home.outgoing[a.transfer]; w.abortAfterCommit && t != nil && t.base != 0 {
		t.base, t.refused = 0, "broken"
	}
	x := a.home.MoveNext(now, a.transfer, a.view, oleandervalve.MutationID(w.id()))
	for _, e := range x.Send {
		if e.Abort {
			w.counts["aborted"]++
		}
		w.sendExport(a, e)
	}
	if x.Commit != nil {
		w.commit(&a.process, *x.Commit, w.count("moved"))
	}
	if x.Ended {
		a.transfer = 0
	}
}

// count returns a commit's continuation that counts its success.
func (w *world) count(what string) func(oleandervalve.Committed, error) {
	return func(_ oleandervalve.Committed, err error) {
		if err == nil {
			w.counts[what]++
		}
	}
}

func (w *world) sendExport(a *simAgent, e Export) {
	b := w.agents[e.ToAgent[1]-'0']
	w.send(&b.process, func(now time.Time) {
		i := b.home.Import(now, e)
		w.send(&a.process, func(now time.Time) {
			if a.home.Imported(i) {
				w.export(a, now)
			}
		})
	})
}

func (w *world) tickEntry(e *simEntry, now time.Time) {
	for _, x := range e.attempts.Tick(now, e.route(w)) {
		w.act(e, w.requests[x.Request], x.Actions, w.now)
	}
	if e != w.entries[0] || !e.view.Get(0).Owner.IsZero() {
		return
	}
	if x, ok := e.view.Assign(oleandervalve.MutationID(w.id()), w.homes()); ok {
		w.commit(&e.process, x, w.count("assigned"))
	}
}

func (w *world) homes() []keyrange.Owner {
	var out []keyrange.Owner
	for _, a := range w.agents {
		if h, ok := keyrange.OwnerOf(w.table.rows[keyrange.LeaseKey(a.id)]); ok {
			out = append(out, h)
		}
	}
	return out
}

func (w *world) takeOver(a *simAgent, e *simEntry, proof keyrange.Proof) {
	h := keyrange.Owner{Agent: a.id, Incarnation: a.run}
	if proof == keyrange.ProofTerminated && !a.down {
		h.Incarnation -= 1 + uint64(w.r.IntN(2))
	}
	o := simLease
	if w.noLease {
		o.Duration, o.Guard = 0, 0
	}
	l := keyrange.FailedOwner{Owner: h, LeaseRow: w.table.rows[keyrange.LeaseKey(a.id)], Proof: proof}
	if x, ok := e.view.TakeOver(oleandervalve.MutationID(w.id()), l, o, w.homes()); ok {
		w.commit(&e.process, x, w.count("takenOver "+string(proof)))
	}
}

func (e *simEntry) route(w *world) func(keyrange.ID) Route {
	return func(r keyrange.ID) Route {
		h := e.view.Get(r).Owner
		return Route{Home: h, Connected: !h.IsZero() && w.chance(95), MapVersion: e.view.Version()}
	}
}

func (w *world) request(e *simEntry, now time.Time, key, body string, timeout time.Duration) {
	b := Begin{Entry: e.id, Request: oleandervalve.RequestID(w.id()), Caller: "c", Service: "s", Key: key, Digest: DigestOf("POST", "/", []byte(body))}
	a, err := NewAttempt(now, now.Add(timeout), b, 1<<10)
	if err != nil {
		var n *oleandervalve.NotRunError
		if !errors.As(err, &n) {
			w.failf("key %s: %v", key, err)
		}
		w.notRun(key, body, now.Add(-e.offset), "refused by the entry")
		return
	}
	s := &simAttempt{b.Request, key, body}
	w.requests[b.Request] = s
	w.act(e, s, e.attempts.Add(now, a, e.route(w)(a.Range())), w.now)
}

// act carries out an attempt's actions; decided is when the home gave the reply behind them.
func (w *world) act(e *simEntry, a *simAttempt, actions []Action, decided time.Time) {
	for _, x := range actions {
		switch {
		case x.Begin != nil:
			w.toHome(e, a, x.To, func(h *Home, now time.Time) State { return h.Begin(now, *x.Begin) })
		case x.Finish != nil:
			w.toHome(e, a, x.To, func(h *Home, now time.Time) State { return h.Finish(now, *x.Finish) })
		case x.Execute:
			w.execute(e, a)
		case x.Result.Outcome == oleandervalve.OutcomeNotRun:
			w.notRun(a.key, a.body, decided, string(x.Result.Reason))
		case x.Result.Outcome == oleandervalve.OutcomeAnswered:
			if k := w.ran[a.key]; k == nil || !w.forgotten(a.key, k) && (k.body != a.body || k.answer != string(x.Result.Body)) {
				w.failf("key %s with body %s got answer %q, kept %+v", a.key, a.body, x.Result.Body, k)
			}
			w.counts["answered replayed="+strconv.FormatBool(x.Result.Replayed)]++
		default:
			w.counts["unknown "+string(x.Result.Reason)]++
		}
	}
}

func (w *world) notRun(key, body string, decided time.Time, reason string) {
	if k := w.ran[key]; k != nil && !w.forgotten(key, k) && k.body == body && !k.ran.After(decided) {
		w.failf("key %s was told not run (%s) after it ran", key, reason)
	}
	w.counts["notRun "+reason]++
}

func (w *world) toHome(e *simEntry, a *simAttempt, to keyrange.Owner, do func(*Home, time.Time) State) {
	g := w.agents[to.Agent[1]-'0']
	if g.run != to.Incarnation {
		return
	}
	w.send(&g.process, func(now time.Time) {
		s, decided := do(g.home, now), now.Add(-g.offset)
		w.send(&e.process, func(now time.Time) { w.act(e, a, e.attempts.Handle(now, s), decided) })
	})
}

// forgotten reports whether a key without a timestamp may run again, because the retention time has passed.
func (w *world) forgotten(key string, k *simKey) bool {
	return strings.HasPrefix(key, "plain") && (k.again || w.now.Sub(k.ran) > simRetention)
}

func (w *world) execute(e *simEntry, a *simAttempt) {
	kind := w.r.IntN(100)
	if kind < 80 {
		k := w.ran[a.key]
		if k != nil && !w.forgotten(a.key, k) {
			w.failf("key %s ran twice", a.key)
			return
		}
		w.ran[a.key] = &simKey{ran: w.now, body: a.body, answer: "answer " + w.id(), again: k != nil}
		w.counts["ran"]++
	}
	report := func(x Execution) func(time.Time) {
		return func(now time.Time) { w.act(e, a, e.attempts.Executed(now, a.id, x), w.now) }
	}
	unknown := Execution{Outcome: oleandervalve.OutcomeUnknown, Reason: "noAnswer"}
	answered := Execution{Outcome: oleandervalve.OutcomeAnswered, HTTPStatus: 200, Kept: true}
	if k := w.ran[a.key]; k != nil {
		answered.Body = []byte(k.answer)
	}
	first, second := unknown, Execution{}
	switch {
	case kind < 60:
		first = answered
	case kind < 70:
		second = answered
	case kind >= 80 && kind < 95:
		first = Execution{Outcome: oleandervalve.OutcomeNotRun, Reason: "noSlot"}
	}
	w.after(w.delay(), &e.process, func(now time.Time) {
		report(first)(now)
		if second.Outcome != "" {
			w.after(time.Second, &e.process, report(second))
		}
	})
}
