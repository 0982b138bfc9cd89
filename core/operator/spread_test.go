package operator_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/operator"
	"oleandervalve/io/peer"
)

const (
	fleetAgents  = 700
	fleetEntries = 8
	burstFrom    = 1000
	step         = 250 * time.Millisecond
)

// minutes is how much of an ordinary day is simulated.
var minutes = flag.Int("spread.minutes", 5, "minutes of an ordinary day")

var entryIDs = []oleandervalve.EntryID{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"}

// fleet is the decision core of all entries and agents with messages that take one step.
type fleet struct {
	is      *is.I
	clock   *clockwork.FakeClock
	rows    map[oleandervalve.Key]oleandervalve.Row
	entries []*fleetEntry
	agents  []*fleetAgent
	// accepted holds the time of each accepted revision; slowest is the longest time to all agents.
	accepted map[oleandervalve.Revision]time.Time
	applied  oleandervalve.Revision
	slowest  time.Duration
	messages int
}

type fleetEntry struct {
	replica     *operator.Replica
	distributor *operator.Distributor
	phase       int
}

type fleetAgent struct {
	id      oleandervalve.AgentID
	replica *operator.Replica
	source  *operator.Subscriber
	// bytes counts what the agent received and sent in each second.
	bytes, peak, total int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		is: is.New(t), clock: clockwork.NewFakeClock(), rows: map[oleandervalve.Key]oleandervalve.Row{},
		accepted: map[oleandervalve.Revision]time.Time{},
	}
	for i := range fleetEntries {
		r := operator.NewReplica()
		f.is.NoErr(r.Load(nil, nil, operator.Head{}))
		f.entries = append(f.entries, &fleetEntry{r, operator.NewDistributor(r), i})
	}
	for i := range fleetAgents {
		a := &fleetAgent{id: oleandervalve.AgentID(fmt.Sprintf("agent-%03d", i)), replica: operator.NewReplica()}
		a.source = operator.NewSubscriber(a.id)
		for j, e := range f.entries {
			v := operator.View{Worker: map[string]string{"rack": fmt.Sprintf("rack-%d", i/3)}}
			e.distributor.Join(a.id, v, 0, f.clock.Now())
			a.source.Connected(entryIDs[j], 0, f.clock.Now())
		}
		f.agents = append(f.agents, a)
	}
	return f
}

// change commits the change with a number; those from burstFrom on are distinct policies.
func (f *fleet) change(n int, random *rand.Rand) {
	kind, name, spec := operator.KindPolicy, fmt.Sprintf("policy-%d", random.Intn(40)),
		fmt.Sprintf(`{"selector":"tier in (board,export),site!=s%d","classes":[{"name":"urgent","weight":%d,"floor":0.4,"queueLimit":500},{"name":"batch","weight":1,"floor":0.1}],"retryRatio":0.1}`, n%9, 1+n%900)
	m := n % 10
	if n >= burstFrom {
		name, m = fmt.Sprintf("policy-%d", n), 9
	}
	switch m {
	case 0, 1, 2:
		kind, name = operator.KindTeam, fmt.Sprintf("team-%d", random.Intn(290))
		spec = fmt.Sprintf(`{"callers":["cutters","dispatch"],"quota":{"cpu":%d,"memory":1024},"weight":1}`, n)
	case 3, 4:
		kind, name = operator.KindService, fmt.Sprintf("service-%d", random.Intn(40))
		spec = fmt.Sprintf(`{"defaultDeadlineMs":%d,"classes":["urgent","batch"]}`, 1000+n)
	case 5, 6:
		kind, name = operator.KindWorkerLabels, fmt.Sprintf("rack-%d", random.Intn(234))
		spec = fmt.Sprintf(`{"selector":"rack=%s","add":{"maintenance":"n%d"}}`, name, n)
	}
	c := operator.Change{ID: operator.ChangeID(fmt.Sprintf("change-%06d", n)), Verb: operator.VerbPut, Kind: kind, Name: name}
	c.Object = &operator.Object{Kind: kind, Name: name, Labels: map[string]string{"owner": "ilona"}, Spec: json.RawMessage(spec)}
	var rows []oleandervalve.Row
	for _, k := range operator.ReadKeys(c) {
		r := f.rows[k]
		r.Key = k
		rows = append(rows, r)
	}
	var v oleandervalve.Version
	if rows[1].Version != 0 {
		o, err := operator.DecodeObject(rows[1])
		f.is.NoErr(err)
		v = o.Version
	}
	c.Expected = &v
	p, err := operator.Build(c, operator.Actor{Name: "ilona"}, rows, f.clock.Now())
	f.is.NoErr(err)
	for _, x := range p.Transaction.Puts {
		f.rows[x.Key] = oleandervalve.Row{Key: x.Key, Value: x.Value, Version: f.rows[x.Key].Version + 1}
	}
	f.accepted[p.Head.Revision] = f.clock.Now()
}

// poll applies the log to an entry, as its watcher does once a second.
func (f *fleet) poll(e *fleetEntry) {
	for {
		row := f.rows[operator.LogKey(e.replica.Revision()+1)]
		if row.Version == 0 {
			return
		}
		rec, err := operator.DecodeRecord(row)
		f.is.NoErr(err)
		f.is.NoErr(e.replica.ApplyRecord(rec))
	}
}

func size(is *is.I, name string, v any) int {
	a, err := cbor.Marshal(name)
	is.NoErr(err)
	b, err := cbor.Marshal(v)
	is.NoErr(err)
	return len(a) + len(b)
}

// run advances the fleet by one step.
func (f *fleet) run(tick int, heartbeat int) {
	now := f.clock.Now()
	perSecond := int(time.Second / step)
	for _, e := range f.entries {
		if tick%perSecond == e.phase%perSecond {
			f.poll(e)
		}
		for _, s := range e.distributor.Next(now) {
			var i int
			_, _ = fmt.Sscanf(string(s.Agent), "agent-%03d", &i)
			a := f.agents[i]
			a.bytes += size(f.is, "configDelta", s.Delta)
			f.messages++
			b, err := cbor.Marshal(s.Delta)
			f.is.NoErr(err)
			var d operator.Delta
			f.is.NoErr(cbor.Unmarshal(b, &d))
			_, err = a.replica.Apply(d)
			f.is.NoErr(err)
			if s.Delta.Part == s.Delta.Parts-1 {
				a.bytes += size(f.is, "configAck", a.replica.Ack())
				e.distributor.Acked(s.Agent, a.replica.Ack())
			}
		}
	}
	lowest := f.entries[0].replica.Revision()
	for i, a := range f.agents {
		if tick%perSecond == i%perSecond {
			f.heartbeat(a, now, heartbeat)
		}
		lowest = min(lowest, a.replica.Revision())
	}
	for ; f.applied < lowest; f.applied++ {
		f.slowest = max(f.slowest, now.Sub(f.accepted[f.applied+1]))
	}
	f.clock.Advance(step)
}

// heartbeat is sent to every entry once a second; the answer carries the entry's revision.
func (f *fleet) heartbeat(a *fleetAgent, now time.Time, bytes int) {
	a.total += a.bytes
	a.peak = max(a.peak, a.bytes)
	a.bytes = bytes * fleetEntries
	for j, e := range f.entries {
		e.distributor.Seen(a.id, a.replica.Revision())
		a.source.Announced(entryIDs[j], e.replica.Revision(), now)
	}
	start, stop := a.source.Choose(now)
	if start != "" {
		j := slices.Index(entryIDs, start)
		f.entries[j].distributor.Resync(a.id, operator.Resync{From: a.replica.Revision(), Full: a.replica.Revision() == 0})
	}
	if stop != "" {
		j := slices.Index(entryIDs, stop)
		f.entries[j].distributor.Resync(a.id, operator.Resync{From: a.replica.Revision(), Stop: true})
	}
}

// result reports the busiest second and the mean of the busiest agent.
func (f *fleet) result(t *testing.T, what string, seconds int) (peak, mean int) {
	for _, a := range f.agents {
		peak = max(peak, a.peak)
		mean = max(mean, a.total/seconds)
	}
	t.Logf("%s: in force everywhere after at most %s; %d revisions; busiest agent: %d B/s mean, %d B in its busiest second; %d deltas",
		what, f.slowest, f.applied, mean, peak, f.messages)
	return peak, mean
}

// Guards against a configuration that spreads too slowly or uses up the
// agents' message budget, at 1,400 changes a day and in a burst of 50.
func TestSpread(t *testing.T) {
	if testing.Short() {
		t.Skip("single-threaded figures run without the race detector")
	}
	hb, err := peer.EncodeFrame(&peer.Heartbeat{
		Sequence: 1 << 20, SentAfter: 400 * 24 * time.Hour, Revision: 1 << 20, Digest: 1 << 63,
		Free: oleandervalve.Resources{CPU: 64000, Memory: 1 << 38, Accelerators: 2},
	}, &peer.HeartbeatAck{Sequence: 1 << 20, Revision: 1 << 20}, &peer.LeaseRenewed{SentAfter: 400 * 24 * time.Hour})
	is.New(t).NoErr(err)
	heartbeat := len(hb)
	day := 24 * time.Hour
	for _, c := range []struct {
		name    string
		seconds int
		at      func(n int) time.Duration
		changes int
		from    int
	}{
		{"ordinary day", 60 * *minutes, func(n int) time.Duration { return time.Duration(n) * day / 1400 }, *minutes * 1400 / (24 * 60), 400},
		// The policies of the burst are distinct, which no coalescing shortens.
		{"burst of 50", 25, func(int) time.Duration { return time.Second }, 50, burstFrom},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			random := rand.New(rand.NewSource(7))
			// The configuration exists before the measurement begins.
			for n := range 400 {
				f.change(n, random)
			}
			for tick := range 200 {
				f.run(tick, heartbeat)
			}
			f.is.Equal(f.applied, oleandervalve.Revision(400))
			f.slowest, f.messages = 0, 0
			for _, a := range f.agents {
				a.peak, a.total = 0, 0
			}
			begin, n := f.clock.Now(), 0
			for tick := range c.seconds * int(time.Second/step) {
				for n < c.changes && f.clock.Since(begin) >= c.at(n) {
					f.change(c.from+n, random)
					n++
				}
				f.run(tick, heartbeat)
			}
			f.is.Equal(f.applied, oleandervalve.Revision(400+c.changes)) // every change is in force at every agent
			peak, mean := f.result(t, c.name, c.seconds)
			f.is.True(f.slowest < 10*time.Second) // well under 17 s
			f.is.True(mean < 4000)
			f.is.True(peak < 4000)
			for _, e := range f.entries {
				s := e.distributor.Spread(f.clock.Now())
				f.is.Equal(s.InForce, fleetAgents)
			}
		})
	}
}
