package operatorhttp

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"oleandervalve"
	"oleandervalve/core/operator"
)

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

var adminActor = operator.Actor{Name: "root", Team: "platform", Roles: []operator.Role{operator.RoleOperator}}

// simAgent is an agent with the messages in flight to it.
type simAgent struct {
	replica         *operator.Replica
	inbox           []operator.Delta
	highestRevision oleandervalve.Revision
}

// simEntry is an entry with its watcher and store.
type simEntry struct {
	watcher         *Watcher
	store           *Store
	highestRevision oleandervalve.Revision
}

type simulation struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	table   *memTable
	entries []*simEntry
	agents  []*simAgent
	// accepted holds the revision of each change that was reported as accepted.
	accepted map[operator.ChangeID]oleandervalve.Revision
	// unresolved holds the changes that were reported with an unknown outcome.
	unresolved []operator.Change
	changes    int
	// refused holds the changes that were reported as not applied.
	refused map[operator.ChangeID]bool
	// logged holds the changes found in the log.
	logged map[operator.ChangeID]bool
	// states holds the objects at each revision, as replayed from the log.
	states []map[operator.Ref]operator.Object
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, clock: clockwork.NewFakeClock(), accepted: map[operator.ChangeID]oleandervalve.Revision{}}
	s.refused, s.logged = map[operator.ChangeID]bool{}, map[operator.ChangeID]bool{}
	s.states = []map[operator.Ref]operator.Object{{}}
	s.table = newMemTable(s.clock)
	s.table.pageMax = rapid.IntRange(1, 5).Draw(t, "pageMax")
	for range 3 {
		s.entries = append(s.entries, s.newEntry())
	}
	for range 3 {
		s.agents = append(s.agents, &simAgent{replica: operator.NewReplica()})
	}
	return s
}

func (s *simulation) newEntry() *simEntry {
	w := NewWatcher(s.table, s.clock, discardLogger())
	w.maxReplay = 2
	return &simEntry{watcher: w, store: NewStore(s.table, s.clock, discardLogger(), "platform")}
}

func (s *simulation) entry() *simEntry { return rapid.SampledFrom(s.entries).Draw(s.t, "entry") }
func (s *simulation) agent() *simAgent { return rapid.SampledFrom(s.agents).Draw(s.t, "agent") }

func (e *simEntry) replica() (out *operator.Replica) {
	e.watcher.WithReplica(func(r *operator.Replica) { out = r })
	return out
}

// change draws a change based on the state of some entry, which may be stale.
func (s *simulation) change() operator.Change {
	s.changes++
	kind := rapid.SampledFrom([]operator.Kind{operator.KindService, operator.KindTeam, operator.KindWorkerLabels}).Draw(s.t, "kind")
	ref := operator.Ref{Kind: kind, Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(s.t, "name")}
	c := operator.Change{
		ID: operator.ChangeID(fmt.Sprintf("change-%06d", s.changes)), Kind: kind, Name: ref.Name,
		Verb: rapid.SampledFrom([]operator.Verb{operator.VerbPut, operator.VerbPut, operator.VerbLabel, operator.VerbDelete}).Draw(s.t, "verb"),
	}
	o, _ := s.entry().replica().Get(ref)
	v := o.Version
	c.Expected = &v
	n := rapid.IntRange(1, 4).Draw(s.t, "n")
	switch c.Verb {
	case operator.VerbPut:
		spec := map[operator.Kind]string{
			operator.KindService:      fmt.Sprintf(`{"defaultDeadlineMs":%d,"classes":["x"]}`, n),
			operator.KindTeam:         fmt.Sprintf(`{"quota":{"cpu":%d,"memory":1},"weight":1}`, n),
			operator.KindWorkerLabels: fmt.Sprintf(`{"selector":"rack=r%d","add":{"n":"%d"}}`, n%2, n),
		}[kind]
		c.Object = &operator.Object{Kind: kind, Name: ref.Name, Spec: json.RawMessage(spec)}
	case operator.VerbLabel:
		c.Expected = nil
		x := fmt.Sprint(n)
		c.Labels = map[string]*string{"l": &x}
	}
	return c
}

// send sends a change to some entry; retry means that an earlier attempt has an
// unknown outcome.
func (s *simulation) send(c operator.Change, retry bool) { s.sendTo(s.entry(), c, retry) }

func (s *simulation) sendTo(e *simEntry, c operator.Change, retry bool) {
	p, err := e.store.Change(context.Background(), c, adminActor, false)
	var unknown *oleandervalve.UnknownOutcomeError
	var down *oleandervalve.UnavailableError
	switch {
	case errors.As(err, &unknown), retry && errors.As(err, &down):
		s.unresolved = append(s.unresolved, c)
	case err == nil && p.Accepted != nil:
		s.recordAccepted(c.ID, p.Accepted.Revision)
	case err == nil && !p.Unchanged:
		s.recordAccepted(c.ID, p.Head.Revision)
	default:
		s.refused[c.ID] = true
	}
}

func (s *simulation) recordAccepted(id operator.ChangeID, r oleandervalve.Revision) {
	if old, ok := s.accepted[id]; ok && old != r {
		s.t.Fatalf("change %s accepted at revisions %d and %d", id, old, r)
	}
	s.accepted[id] = r
}

// deliver passes message i to an agent and keeps a copy in the inbox if duplicate
// is set. After a gap the agent requests a resync from some entry.
func (s *simulation) deliver(a *simAgent, i int, duplicate bool) {
	d := a.inbox[i]
	if !duplicate {
		a.inbox = append(a.inbox[:i:i], a.inbox[i+1:]...)
	}
	_, err := a.replica.Apply(d)
	var gap *operator.GapError
	if errors.As(err, &gap) {
		q := gap.Resync()
		a.inbox = append(a.inbox, s.entry().replica().Delta(s.view(a), q.From, q.Full)...)
	}
}

func (s *simulation) view(a *simAgent) operator.View {
	for i := range s.agents {
		if s.agents[i] == a {
			return operator.View{WorkerLabels: map[string]string{"rack": fmt.Sprintf("r%d", i%2)}}
		}
	}
	panic("agent is not part of the simulation")
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"change": func(*rapid.T) { s.send(s.change(), false) },
		"resend": func(t *rapid.T) {
			if len(s.unresolved) > 0 {
				c := s.unresolved[0]
				s.unresolved = s.unresolved[1:]
				s.send(c, true)
			}
		},
		"fault": func(t *rapid.T) {
			faults := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "down", "lostAfter", "late"}), 1, 8).Draw(t, "faults")
			i := 0
			s.table.fault = func(call string) string {
				i++
				f := faults[i%len(faults)]
				if call != "commit" && f != "down" {
					return ""
				}
				return f
			}
		},
		"heal": func(*rapid.T) { s.table.fault = func(string) string { return "" } },
		"late": func(*rapid.T) {
			if len(s.table.delayed) > 0 {
				_, _ = s.table.apply(s.table.delayed[0])
				s.table.delayed = s.table.delayed[1:]
			}
		},
		"changeDuringScan": func(t *rapid.T) {
			c, e := s.change(), s.entry()
			s.table.onScanAfter = rapid.IntRange(0, 3).Draw(t, "scans")
			s.table.onScan = func() { s.sendTo(e, c, false) }
		},
		"poll":         func(*rapid.T) { _ = s.entry().watcher.Poll(context.Background()) },
		"restartEntry": func(t *rapid.T) { s.entries[rapid.IntRange(0, 2).Draw(t, "i")] = s.newEntry() },
		"restartAgent": func(t *rapid.T) {
			a := s.agent()
			a.replica, a.inbox, a.highestRevision = operator.NewReplica(), nil, 0
			for i, e := range s.entries {
				a.replica.RecordPeerRevision(fmt.Sprint(i), e.replica().Revision())
			}
			a.replica.StopWaitingForPeers()
		},
		"offer": func(t *rapid.T) {
			a, e := s.agent(), s.entry()
			full := rapid.Bool().Draw(t, "full")
			if e.replica().Ready() && len(a.inbox) < 20 {
				a.inbox = append(a.inbox, e.replica().Delta(s.view(a), a.replica.Revision(), full)...)
			}
		},
		"deliver": func(t *rapid.T) {
			if a := s.agent(); len(a.inbox) > 0 {
				s.deliver(a, rapid.IntRange(0, len(a.inbox)-1).Draw(t, "index"), rapid.Bool().Draw(t, "duplicate"))
			}
		},
		"lose": func(*rapid.T) {
			if a := s.agent(); len(a.inbox) > 0 {
				a.inbox = a.inbox[1:]
			}
		},
		"": func(t *rapid.T) { s.check() },
	}
}

// replay extends states up to the head and checks the log.
func (s *simulation) replay() {
	for {
		rev := oleandervalve.Revision(len(s.states))
		row := s.table.rows[operator.LogKey(rev)]
		if row.Version == 0 {
			break
		}
		rec, err := operator.DecodeRecord(row)
		if err != nil || s.refused[rec.ChangeID] {
			s.t.Fatalf("revision %d: change %q was reported as not applied (%v)", rev, rec.ChangeID, err)
		}
		if s.logged[rec.ChangeID] {
			s.t.Fatalf("change %s is applied twice", rec.ChangeID)
		}
		s.logged[rec.ChangeID] = true
		next := maps.Clone(s.states[rev-1])
		delete(next, rec.Ref())
		if rec.After != nil {
			next[rec.Ref()] = *rec.After
		}
		s.states = append(s.states, next)
	}
	if head, _ := operator.DecodeHead(s.table.rows[operator.HeadKey]); int(head.Revision) != len(s.states)-1 {
		s.t.Fatalf("head is at revision %d and the log at %d", head.Revision, len(s.states)-1)
	}
}

// checkObjects checks that a replica holds exactly the objects of its revision that
// its view selects.
func (s *simulation) checkObjects(who string, r *operator.Replica, selects func(operator.Object) bool) {
	n := 0
	for _, o := range s.states[r.Revision()] {
		if selects(o) {
			n++
			if got, ok := r.Get(o.Ref()); !ok || got.Version != o.Version {
				s.t.Fatalf("%s at revision %d has %s at version %d, want %d", who, r.Revision(), o.Ref(), got.Version, o.Version)
			}
		}
	}
	if r.Len() != n {
		s.t.Fatalf("%s at revision %d has %d objects, want %d", who, r.Revision(), r.Len(), n)
	}
}

// check checks the invariants; it runs after every step.
func (s *simulation) check() {
	s.replay()
	for i, e := range s.entries {
		r := e.replica()
		if r.Revision() < e.highestRevision {
			s.t.Fatalf("entry %d moved back from revision %d to %d", i, e.highestRevision, r.Revision())
		}
		e.highestRevision = r.Revision()
		s.checkObjects("entry", r, func(operator.Object) bool { return true })
	}
	for i, a := range s.agents {
		r := a.replica
		if r.Revision() < a.highestRevision {
			s.t.Fatalf("agent %d moved back from revision %d to %d", i, a.highestRevision, r.Revision())
		}
		if r.Ready() && r.Revision() < r.RequiredRevision() {
			s.t.Fatalf("agent %d serves revision %d, below its required revision %d", i, r.Revision(), r.RequiredRevision())
		}
		a.highestRevision = r.Revision()
		rack := fmt.Sprintf(`"selector":"rack=r%d"`, i%2)
		s.checkObjects("agent", r, func(o operator.Object) bool {
			return o.Kind == operator.KindService || o.Kind == operator.KindWorkerLabels && strings.Contains(string(o.Spec), rack)
		})
	}
	for id, r := range s.accepted {
		rec, err := operator.DecodeRecord(s.table.rows[operator.LogKey(r)])
		if err != nil || rec.ChangeID != id {
			s.t.Fatalf("accepted change %s is missing: revision %d holds %q (%v)", id, r, rec.ChangeID, err)
		}
	}
}

// converge ends all faults and checks that all entries and agents reach the head.
func (s *simulation) converge() {
	s.table.fault, s.table.onScan = func(string) string { return "" }, nil
	for _, x := range s.table.delayed {
		_, _ = s.table.apply(x)
	}
	for len(s.unresolved) > 0 {
		c := s.unresolved[0]
		s.unresolved = s.unresolved[1:]
		s.send(c, true)
	}
	s.replay()
	head := oleandervalve.Revision(len(s.states) - 1)
	for _, e := range s.entries {
		if err := e.watcher.Poll(context.Background()); err != nil {
			s.t.Fatalf("poll: %v", err)
		}
		if r := e.replica(); r.Revision() != head || !r.Ready() {
			s.t.Fatalf("entry at revision %d, want %d", r.Revision(), head)
		}
	}
	for _, a := range s.agents {
		a.inbox = s.entries[0].replica().Delta(s.view(a), a.replica.Revision(), false)
		for len(a.inbox) > 0 {
			s.deliver(a, 0, false)
		}
		if a.replica.Revision() != head {
			s.t.Fatalf("agent at revision %d, want %d", a.replica.Revision(), head)
		}
	}
	s.check()
}

// Guards against accepted changes that are lost or applied twice, and against a
// decreasing revision at an entry or agent. Operators race, answers of the table
// are lost, deltas are reordered, duplicated and lost, processes restart, and the
// table has outages.
func TestAcceptedChangesAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(s.actions())
		s.converge()
	})
}

// TestMain sets a fixed seed and the size of the property test unless they are
// given on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, x := range map[string][2]string{"rapid.seed": {"0", "20260131"}, "rapid.checks": {"100", "500"}, "rapid.steps": {"30", "60"}} {
		if f := flag.Lookup(name); f.Value.String() == x[0] {
			_ = f.Value.Set(x[1])
		}
	}
	m.Run()
}
