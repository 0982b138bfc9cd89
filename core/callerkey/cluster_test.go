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

// variant disables safety rules; the zero value keeps all of them.
type variant struct {
	noMargin, noLease, abortAfterCommit bool
}

// simTable is an in-memory table with its own clock offset.
type simTable struct {
	offset    time.Duration
	rows      map[oleandervalve.Key]oleandervalve.Row
	downUntil time.Time
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

// process is a simulated process; its incarnation increases with every restart.
type process struct {
	offset      time.Duration
	incarnation uint64
	down        bool
	pausedUntil time.Time
	// tableCutUntil is until when the process can't reach the table.
	tableCutUntil time.Time
}

// simAgent is a simulated agent with its lease and its record store.
type simAgent struct {
	process
	id              oleandervalve.AgentID
	lease           *keyrange.Lease
	store           *RecordStore
	view            keyrange.Map
	transferID      uint64
	commitsInFlight int
}

// simAttempt is the key and the body that an attempt was started with.
type simAttempt struct {
	id        oleandervalve.RequestID
	key, body string
}

// simEntry is a simulated entry with its attempts.
type simEntry struct {
	process
	id       oleandervalve.EntryID
	view     keyrange.Map
	attempts *Attempts
}

// simExecution is the last execution of a key; repeated means that it was not the
// first.
type simExecution struct {
	at       time.Time
	body     string
	answer   string
	repeated bool
}

// simEvent is a call that a process makes at a time, unless it stops or restarts
// first.
type simEvent struct {
	at          time.Time
	p           *process
	incarnation uint64
	do          func(now time.Time)
	// staleNow is the clock reading of a process that was paused just after it.
	staleNow time.Time
}

// cluster simulates agents, entries and the table with delayed, lost and repeated
// messages, pauses and restarts. It records the first violation of a property.
type cluster struct {
	variant
	r     *rand.Rand
	now   time.Time
	table simTable
	// tableProcess executes the events of the table; it never stops, and its clock
	// offset is 0.
	tableProcess process
	agents       []*simAgent
	entries      []*simEntry
	events       []simEvent
	// requests holds the key and the body of each attempt.
	requests   map[oleandervalve.RequestID]*simAttempt
	keys       []string
	executions map[string]*simExecution
	lastID     int
	violation  string
	counts     map[string]int
}

func newCluster(seed uint64, v variant) *cluster {
	cl := &cluster{
		variant: v, r: rand.New(rand.NewPCG(seed, 1)), now: simStart, executions: map[string]*simExecution{}, counts: map[string]int{},
		requests: map[oleandervalve.RequestID]*simAttempt{},
		table:    simTable{rows: map[oleandervalve.Key]oleandervalve.Row{}},
	}
	cl.table.offset = cl.skew()
	for i := range 3 {
		a := &simAgent{id: oleandervalve.AgentID("a" + strconv.Itoa(i)), process: process{offset: cl.skew()}}
		cl.agents = append(cl.agents, a)
		cl.startAgent(a)
		e := &simEntry{id: oleandervalve.EntryID("e" + strconv.Itoa(i)), process: process{offset: cl.skew(), incarnation: 1}, attempts: NewAttempts()}
		cl.entries = append(cl.entries, e)
	}
	cl.advance(5 * time.Second)
	return cl
}

// skew returns a clock offset; any two differ by at most 500 ms.
func (cl *cluster) skew() time.Duration { return time.Duration(cl.r.IntN(501)-250) * time.Millisecond }

func (cl *cluster) chance(percent int) bool { return cl.r.IntN(100) < percent }

func (cl *cluster) nextID() string { cl.lastID++; return strconv.Itoa(cl.lastID) }

func (cl *cluster) failf(format string, args ...any) {
	if cl.violation == "" {
		cl.violation = fmt.Sprintf(format, args...)
	}
}

func (cl *cluster) startAgent(a *simAgent) {
	a.incarnation++
	a.down, a.pausedUntil, a.transferID, a.commitsInFlight = false, time.Time{}, 0, 0
	o := simLease
	if cl.noLease {
		o.Duration = 1000 * time.Hour
	}
	a.lease = keyrange.NewLease(keyrange.Owner{Agent: a.id, Incarnation: a.incarnation}, o, cl.table.rows[keyrange.LeaseKey(a.id)], nil)
	a.store = NewRecordStore(cl.now.Add(a.offset), a.lease, Limits{Retention: simRetention, MaxRecords: 3 + cl.r.IntN(20), MaxBytes: 1 << 20, MaxAnswer: 1 << 10})
	a.view = keyrange.Map{}
	if cl.noMargin {
		a.store.takeoverMargin = 0
	}
}

// schedule runs do in a process after d, unless the process stops or restarts first.
func (cl *cluster) schedule(d time.Duration, p *process, do func(time.Time)) {
	cl.events = append(cl.events, simEvent{at: cl.now.Add(d), p: p, incarnation: p.incarnation, do: do})
}

// delay returns a message delay: mostly a few milliseconds, sometimes up to 40 s.
func (cl *cluster) delay() time.Duration {
	ms := 1 + cl.r.IntN(5)
	switch n := cl.r.IntN(100); {
	case n < 5:
		ms = cl.r.IntN(40_000)
	case n < 20:
		ms = cl.r.IntN(2000)
	}
	return time.Duration(ms) * time.Millisecond
}

// send delivers a message, possibly late, twice or not at all.
func (cl *cluster) send(p *process, do func(time.Time)) {
	if cl.chance(5) {
		return
	}
	cl.schedule(cl.delay(), p, do)
	if cl.chance(10) {
		cl.schedule(cl.delay(), p, do)
	}
}

// advance runs all events of the next d, and tickAll every second.
func (cl *cluster) advance(d time.Duration) {
	end := cl.now.Add(d)
	for cl.violation == "" {
		first := -1
		for i, e := range cl.events {
			if first < 0 || e.at.Before(cl.events[first].at) {
				first = i
			}
		}
		second := cl.now.Truncate(time.Second).Add(time.Second)
		if first < 0 || cl.events[first].at.After(second) {
			if second.After(end) {
				break
			}
			cl.now = second
			cl.tickAll()
			continue
		}
		if cl.events[first].at.After(end) {
			break
		}
		e := cl.events[first]
		cl.events = append(cl.events[:first], cl.events[first+1:]...)
		if e.at.After(cl.now) {
			cl.now = e.at
		}
		cl.dispatch(e)
	}
	cl.now = end
}

// pause suspends a process for d. It may select a pending event of the process that
// then runs after the pause with a clock reading from before it.
func (cl *cluster) pause(p *process, d time.Duration) {
	if p.down || p.pausedUntil.After(cl.now) {
		return
	}
	p.pausedUntil = cl.now.Add(d)
	for i := range cl.events {
		if e := &cl.events[i]; e.p == p && cl.chance(50) {
			e.at, e.staleNow = p.pausedUntil, cl.now.Add(p.offset)
			return
		}
	}
}

// dispatch runs an event, or defers it while its process is paused.
func (cl *cluster) dispatch(e simEvent) {
	p := e.p
	switch {
	case p.down || p.incarnation != e.incarnation:
	case p.pausedUntil.After(cl.now):
		e.at = p.pausedUntil
		cl.events = append(cl.events, e)
	default:
		now := e.staleNow
		if now.IsZero() {
			now = cl.now.Add(p.offset)
		}
		e.do(now)
	}
}

func (cl *cluster) tickAll() {
	for _, a := range cl.agents {
		cl.schedule(0, &a.process, func(now time.Time) { cl.tickAgent(a, now) })
		cl.readTable(&a.process, &a.view, func(now time.Time, rows map[oleandervalve.Key]oleandervalve.Row) {
			a.lease.Observe(rows[keyrange.LeaseKey(a.id)])
			a.store.ApplyMap(now, a.view)
		})
	}
	for _, e := range cl.entries {
		cl.schedule(0, &e.process, func(now time.Time) { cl.tickEntry(e, now) })
		cl.readTable(&e.process, &e.view, func(time.Time, map[oleandervalve.Key]oleandervalve.Row) {})
	}
}

// readTable delivers the rows late and updates the process's view of the map.
func (cl *cluster) readTable(p *process, view *keyrange.Map, do func(time.Time, map[oleandervalve.Key]oleandervalve.Row)) {
	if cl.table.downUntil.After(cl.now) || p.tableCutUntil.After(cl.now) {
		return
	}
	rows := maps.Clone(cl.table.rows)
	cl.schedule(cl.delay(), p, func(now time.Time) {
		if row := rows[keyrange.MapKey]; row.Version > view.Version() {
			var err error
			if *view, err = keyrange.Decode(row); err != nil {
				cl.failf("map: %v", err)
			}
		}
		do(now, rows)
	})
}

// commit applies a transaction late and may lose or delay its result.
func (cl *cluster) commit(p *process, x oleandervalve.Transaction, do func(oleandervalve.Committed, error)) {
	delivered := false
	deliver := func(c oleandervalve.Committed, err error) func(time.Time) {
		return func(time.Time) {
			if !delivered {
				delivered = true
				do(c, err)
			}
		}
	}
	cl.schedule(2*time.Second, p, deliver(oleandervalve.Committed{}, &oleandervalve.UnknownOutcomeError{Operation: "commit"}))
	cl.schedule(cl.delay(), &cl.tableProcess, func(now time.Time) {
		if cl.table.downUntil.After(now) || p.tableCutUntil.After(now) {
			cl.schedule(cl.delay(), p, deliver(oleandervalve.Committed{}, &oleandervalve.UnavailableError{Service: "table"}))
			return
		}
		c, err := cl.table.commit(now, x)
		if !cl.chance(10) {
			cl.schedule(cl.delay(), p, deliver(c, err))
		}
	})
}

func (cl *cluster) tickAgent(a *simAgent, now time.Time) {
	if a.lease.Lost() {
		cl.counts["leaseLost"]++
		cl.startAgent(a)
		return
	}
	a.store.Tick(now)
	if x, ok := a.lease.Renew(now, oleandervalve.MutationID(cl.nextID())); ok && a.commitsInFlight == 0 {
		a.commitsInFlight++
		cl.commit(&a.process, x, func(c oleandervalve.Committed, err error) {
			a.commitsInFlight--
			a.lease.HandleResult(x.ID, c, err)
		})
	}
	if a.transferID != 0 {
		cl.advanceTransfer(a, now)
	}
}

func (cl *cluster) advanceTransfer(a *simAgent, now time.Time) {
	if t := a.store.outgoing[a.transferID]; cl.abortAfterCommit && t != nil && t.commitBase != 0 {
		t.commitBase, t.refused = 0, "broken"
	}
	x := a.store.AdvanceTransfer(now, a.transferID, a.view, oleandervalve.MutationID(cl.nextID()))
	for _, e := range x.Send {
		if e.Abort {
			cl.counts["aborted"]++
		}
		cl.sendExport(a, e)
	}
	if x.Commit != nil {
		cl.commit(&a.process, *x.Commit, cl.countCommits("transferred"))
	}
	if x.Ended {
		a.transferID = 0
	}
}

// countCommits returns a callback for commit that counts successful commits.
func (cl *cluster) countCommits(what string) func(oleandervalve.Committed, error) {
	return func(_ oleandervalve.Committed, err error) {
		if err == nil {
			cl.counts[what]++
		}
	}
}

func (cl *cluster) sendExport(a *simAgent, e Export) {
	successor := cl.agents[e.ToAgent[1]-'0']
	cl.send(&successor.process, func(now time.Time) {
		i := successor.store.HandleExport(now, e)
		cl.send(&a.process, func(now time.Time) {
			if a.store.HandleExportAck(i) {
				cl.advanceTransfer(a, now)
			}
		})
	})
}

func (cl *cluster) tickEntry(e *simEntry, now time.Time) {
	for _, x := range e.attempts.Tick(now, e.route(cl)) {
		cl.apply(e, cl.requests[x.Request], x.Actions, cl.now)
	}
	if e != cl.entries[0] || !e.view.Get(0).Owner.IsZero() {
		return
	}
	if x, ok := e.view.Assign(oleandervalve.MutationID(cl.nextID()), cl.leaseOwners()); ok {
		cl.commit(&e.process, x, cl.countCommits("assigned"))
	}
}

// leaseOwners returns the owners that the lease rows name.
func (cl *cluster) leaseOwners() []keyrange.Owner {
	var out []keyrange.Owner
	for _, a := range cl.agents {
		if owner, ok := keyrange.OwnerOf(cl.table.rows[keyrange.LeaseKey(a.id)]); ok {
			out = append(out, owner)
		}
	}
	return out
}

// takeOver lets an entry commit a takeover from an agent. If the agent is running,
// a proof of termination refers to one of its earlier incarnations.
func (cl *cluster) takeOver(a *simAgent, e *simEntry, proof keyrange.Proof) {
	owner := keyrange.Owner{Agent: a.id, Incarnation: a.incarnation}
	if proof == keyrange.ProofTerminated && !a.down {
		owner.Incarnation -= 1 + uint64(cl.r.IntN(2))
	}
	o := simLease
	if cl.noLease {
		o.Duration, o.Guard = 0, 0
	}
	failed := keyrange.FailedOwner{Owner: owner, LeaseRow: cl.table.rows[keyrange.LeaseKey(a.id)], Proof: proof}
	if x, ok := e.view.TakeOver(oleandervalve.MutationID(cl.nextID()), failed, o, cl.leaseOwners()); ok {
		cl.commit(&e.process, x, cl.countCommits("takenOver "+string(proof)))
	}
}

func (e *simEntry) route(cl *cluster) func(keyrange.ID) Route {
	return func(r keyrange.ID) Route {
		owner := e.view.Get(r).Owner
		return Route{Owner: owner, Connected: !owner.IsZero() && cl.chance(95), MapVersion: e.view.Version()}
	}
}

// request starts an attempt at an entry.
func (cl *cluster) request(e *simEntry, now time.Time, key, body string, timeout time.Duration) {
	b := Begin{Entry: e.id, Request: oleandervalve.RequestID(cl.nextID()), Caller: "c", Service: "s", Key: key, Digest: DigestOf("POST", "/", []byte(body))}
	a, err := NewAttempt(now, now.Add(timeout), b, 1<<10)
	if err != nil {
		var n *oleandervalve.NotRunError
		if !errors.As(err, &n) {
			cl.failf("key %s: %v", key, err)
		}
		cl.checkNotRun(key, body, now.Add(-e.offset), "refused by the entry")
		return
	}
	s := &simAttempt{b.Request, key, body}
	cl.requests[b.Request] = s
	cl.apply(e, s, e.attempts.Add(now, a, e.route(cl)(a.Range())), cl.now)
}

// apply carries out an attempt's actions; decided is when the owner sent the reply
// that caused them.
func (cl *cluster) apply(e *simEntry, a *simAttempt, actions []Action, decided time.Time) {
	for _, x := range actions {
		switch {
		case x.Begin != nil:
			cl.sendToOwner(e, a, x.To, func(store *RecordStore, now time.Time) Reply { return store.Begin(now, *x.Begin) })
		case x.Finish != nil:
			cl.sendToOwner(e, a, x.To, func(store *RecordStore, now time.Time) Reply { return store.Finish(now, *x.Finish) })
		case x.Execute:
			cl.execute(e, a)
		case x.Result.Outcome == oleandervalve.OutcomeNotRun:
			cl.checkNotRun(a.key, a.body, decided, string(x.Result.Reason))
		case x.Result.Outcome == oleandervalve.OutcomeAnswered:
			if k := cl.executions[a.key]; k == nil || !cl.mayRepeat(a.key, k) && (k.body != a.body || k.answer != string(x.Result.Body)) {
				cl.failf("key %s with body %s got answer %q, kept %+v", a.key, a.body, x.Result.Body, k)
			}
			cl.counts["answered replayed="+strconv.FormatBool(x.Result.Replayed)]++
		default:
			cl.counts["unknown "+string(x.Result.Reason)]++
		}
	}
}

// checkNotRun records a violation if a key was reported as not run although a request
// with it had run before the decision.
func (cl *cluster) checkNotRun(key, body string, decided time.Time, reason string) {
	if k := cl.executions[key]; k != nil && !cl.mayRepeat(key, k) && k.body == body && !k.at.After(decided) {
		cl.failf("key %s was reported as not run (%s) after it ran", key, reason)
	}
	cl.counts["notRun "+reason]++
}

func (cl *cluster) sendToOwner(e *simEntry, a *simAttempt, to keyrange.Owner, do func(*RecordStore, time.Time) Reply) {
	owner := cl.agents[to.Agent[1]-'0']
	if owner.incarnation != to.Incarnation {
		return
	}
	cl.send(&owner.process, func(now time.Time) {
		s, decided := do(owner.store, now), now.Add(-owner.offset)
		cl.send(&e.process, func(now time.Time) { cl.apply(e, a, e.attempts.Handle(now, s), decided) })
	})
}

// mayRepeat reports whether a key without a timestamp may run again, because the retention time has passed.
func (cl *cluster) mayRepeat(key string, k *simExecution) bool {
	return strings.HasPrefix(key, "plain") && (k.repeated || cl.now.Sub(k.at) > simRetention)
}

// execute runs a request at an endpoint, or not, and reports the outcome late, in
// some cases first as unknown.
func (cl *cluster) execute(e *simEntry, a *simAttempt) {
	roll := cl.r.IntN(100)
	if roll < 80 {
		k := cl.executions[a.key]
		if k != nil && !cl.mayRepeat(a.key, k) {
			cl.failf("key %s ran twice", a.key)
			return
		}
		cl.executions[a.key] = &simExecution{at: cl.now, body: a.body, answer: "answer " + cl.nextID(), repeated: k != nil}
		cl.counts["ran"]++
	}
	report := func(x Execution) func(time.Time) {
		return func(now time.Time) { cl.apply(e, a, e.attempts.Executed(now, a.id, x), cl.now) }
	}
	unknown := Execution{Outcome: oleandervalve.OutcomeUnknown, Reason: "noAnswer"}
	answered := Execution{Outcome: oleandervalve.OutcomeAnswered, HTTPStatus: 200, Kept: true}
	if k := cl.executions[a.key]; k != nil {
		answered.Body = []byte(k.answer)
	}
	first, second := unknown, Execution{}
	switch {
	case roll < 60:
		first = answered
	case roll < 70:
		second = answered
	case roll >= 80 && roll < 95:
		first = Execution{Outcome: oleandervalve.OutcomeNotRun, Reason: "noSlot"}
	}
	cl.schedule(cl.delay(), &e.process, func(now time.Time) {
		report(first)(now)
		if second.Outcome != "" {
			cl.schedule(time.Second, &e.process, report(second))
		}
	})
}
