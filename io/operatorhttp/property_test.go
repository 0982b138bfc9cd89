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

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

var root = operator.Actor{Name: "root", Team: "platform", Roles: []operator.Role{operator.RoleOperator}}

// simAgent is an agent with the messages that are on their way to it.
type simAgent struct {
	replica *operator.Replica
	inbox   []operator.Delta
	highest oleandervalve.Revision
}

// simEntry is an entry with its watcher and store.
type simEntry struct {
	watcher *Watcher
	store   *Store
	highest oleandervalve.Revision
}

type simulation struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	table   *memTable
	entries []*simEntry
	agents  []*simAgent
	// accepted holds the revision of each change that an operator was told of.
	accepted map[operator.ChangeID]oleandervalve.Revision
	// unknown holds the changes whose outcome an operator does not know.
	unknown []operator.Change
	changes int
	// refused holds the changes that an operator was told are not applied.
	refused map[operator.ChangeID]bool
	// seen holds the changes in the log.
	seen map[operator.ChangeID]bool
	// log replays the log: the objects at each revision.
	log []map[operator.Ref]operator.Object
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, clock: clockwork.NewFakeClock(), accepted: map[operator.ChangeID]oleandervalve.Revision{}}
	s.refused, s.seen = map[operator.ChangeID]bool{}, map[operator.ChangeID]bool{}
	s.log = []map[operator.Ref]operator.Object{{}}
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
	w := NewWatcher(s.table, s.clock, quiet())
	w.maxLog = 2
	return &simEntry{watcher: w, store: NewStore(s.table, s.clock, quiet(), "platform")}
}

func (s *simulation) entry() *simEntry { return rapid.SampledFrom(s.entries).Draw(s.t, "entry") }
func (s *simulation) agent() *simAgent { return rapid.SampledFrom(s.agents).Draw(s.t, "agent") }

func (e *simEntry) replica() (out *operator.Replica) {
	e.watcher.Do(func(r *operator.Replica) { out = r })
	return out
}

// change draws a change made from the state that some entry shows, which may be old.
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

// send makes a change; again means that an earlier attempt has an unknown outcome.
func (s *simulation) send(c operator.Change, again bool) { s.sendTo(s.entry(), c, again) }

func (s *simulation) sendTo(e *simEntry, c operator.Change, again bool) {
	p, err := e.store.Change(context.Background(), c, root, false)
	var unknown *oleandervalve.UnknownOutcomeError
	var down *oleandervalve.UnavailableError
	switch {
	case errors.As(err, &unknown), again && errors.As(err, &down):
		s.unknown = append(s.unknown, c)
	case err == nil && p.Accepted != nil:
		s.note(c.ID, p.Accepted.Revision)
	case err == nil && !p.Unchanged:
		s.note(c.ID, p.Head.Revision)
	default:
		s.refused[c.ID] = true
	}
}

func (s *simulation) note(id operator.ChangeID, r oleandervalve.Revision) {
	if old, ok := s.accepted[id]; ok && old != r {
		s.t.Fatalf("change %s accepted at revisions %d and %d", id, old, r)
	}
	s.accepted[id] = r
}

// deliver gives an agent one message; a gap asks any entry for a resync.
func (s *simulation) deliver(a *simAgent, i int, again bool) {
	d := a.inbox[i]
	if !again {
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
			if len(s.unknown) > 0 {
				c := s.unknown[0]
				s.unknown = s.unknown[1:]
				s.send(c, true)
			}
		},
		"fault": func(t *rapid.T) {
			fates := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "down", "lostAfter", "late"}), 1, 8).Draw(t, "fates")
			i := 0
			s.table.fault = func(call string) string {
				i++
				f := fates[i%len(fates)]
				if call != "commit" && f != "down" {
					return ""
				}
				return f
			}
		},
		"heal": func(*rapid.T) { s.table.fault = func(string) string { return "" } },
		"late": func(*rapid.T) {
			if len(s.table.late) > 0 {
				_, _ = s.table.apply(s.table.late[0])
				s.table.late = s.table.late[1:]
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
			a.replica, a.inbox, a.highest = operator.NewReplica(), nil, 0
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
				s.deliver(a, rapid.IntRange(0, len(a.inbox)-1).Draw(t, "crossed"), rapid.Bool().Draw(t, "again"))
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

// replay extends the replayed log up to the head.
func (s *simulation) replay() {
	for {
		rev := oleandervalve.Revision(len(s.log))
		row := s.table.rows[operator.LogKey(rev)]
		if row.Version == 0 {
			break
		}
		rec, err := operator.DecodeRecord(row)
		if err != nil || s.refused[rec.ChangeID] {
			s.t.Fatalf("revision %d: change %q was reported as not applied (%v)", rev, rec.ChangeID, err)
		}
		if s.seen[rec.ChangeID] {
			s.t.Fatalf("change %s is applied twice", rec.ChangeID)
		}
		s.seen[rec.ChangeID] = true
		next := maps.Clone(s.log[rev-1])
		delete(next, rec.Ref())
		if rec.After != nil {
			next[rec.Ref()] = *rec.After
		}
		s.log = append(s.log, next)
	}
	if head, _ := operator.DecodeHead(s.table.rows[operator.HeadKey]); int(head.Revision) != len(s.log)-1 {
		s.t.Fatalf("head is at revision %d and the log at %d", head.Revision, len(s.log)-1)
	}
}

// same checks that a replica has exactly the objects of its revision that its view selects.
func (s *simulation) same(who string, r *operator.Replica, selects func(operator.Object) bool) {
	n := 0
	for _, o := range s.log[r.Revision()] {
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

// check runs after every step.
func (s *simulation) check() {
	s.replay()
	for i, e := range s.entries {
		r := e.replica()
		if r.Revision() < e.highest {
			s.t.Fatalf("entry %d went back from revision %d to %d", i, e.highest, r.Revision())
		}
		e.highest = r.Revision()
		s.same("entry", r, func(operator.Object) bool { return true })
	}
	for i, a := range s.agents {
		r := a.replica
		if r.Revision() < a.highest {
			s.t.Fatalf("agent %d went back from revision %d to %d", i, a.highest, r.Revision())
		}
		if r.Ready() && r.Revision() < r.RequiredRevision() {
			s.t.Fatalf("agent %d serves revision %d below its floor %d", i, r.Revision(), r.RequiredRevision())
		}
		a.highest = r.Revision()
		rack := fmt.Sprintf(`"selector":"rack=r%d"`, i%2)
		s.same("agent", r, func(o operator.Object) bool {
			return o.Kind == operator.KindService || o.Kind == operator.KindWorkerLabels && strings.Contains(string(o.Spec), rack)
		})
	}
	for id, r := range s.accepted {
		rec, err := operator.DecodeRecord(s.table.rows[operator.LogKey(r)])
		if err != nil || rec.ChangeID != id {
			s.t.Fatalf("accepted change %s is lost: revision %d holds %q (%v)", id, r, rec.ChangeID, err)
		}
	}
}

// settle heals everything; all processes must then reach the head.
func (s *simulation) settle() {
	s.table.fault, s.table.onScan = func(string) string { return "" }, nil
	for _, x := range s.table.late {
		_, _ = s.table.apply(x)
	}
	for len(s.unknown) > 0 {
		c := s.unknown[0]
		s.unknown = s.unknown[1:]
		s.send(c, true)
	}
	s.replay()
	head := oleandervalve.Revision(len(s.log) - 1)
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

// Guards against an accepted change that is lost or applied twice and against
// a process whose revision goes back, with racing operators, lost answers,
// crossed, repeated and lost deltas, restarts and outages.
func TestAcceptedChangesAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(s.actions())
		s.settle()
	})
}

// TestMain fixes the seed and the size of the property test unless the command line gives them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, x := range map[string][2]string{"rapid.seed": {"0", "20260131"}, "rapid.checks": {"100", "500"}, "rapid.steps": {"30", "60"}} {
		if f := flag.Lookup(name); f.Value.String() == x[0] {
			_ = f.Value.Set(x[1])
		}
	}
	m.Run()
}
