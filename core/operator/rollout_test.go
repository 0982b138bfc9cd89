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
	agentCount       = 700
	entryCount       = 8
	firstBurstChange = 1000
	stepInterval     = 250 * time.Millisecond
)

// dayMinutes is the length of the simulated part of an ordinary day.
var dayMinutes = flag.Int("spread.minutes", 5, "minutes of an ordinary day")

var entryIDs = []oleandervalve.EntryID{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"}

// fleet simulates the configuration distribution of all entries and agents.
// Each message takes one step.
type fleet struct {
	is      *is.I
	clock   *clockwork.FakeClock
	rows    map[oleandervalve.Key]oleandervalve.Row
	entries []*fleetEntry
	agents  []*fleetAgent
	// acceptedAt holds the time at which each revision was accepted. slowestRollout is
	// the longest time from there until all agents had applied a revision.
	acceptedAt        map[oleandervalve.Revision]time.Time
	appliedEverywhere oleandervalve.Revision
	slowestRollout    time.Duration
	messages          int
}

type fleetEntry struct {
	replica     *operator.Replica
	distributor *operator.Distributor
	pollPhase   int
}

type fleetAgent struct {
	id         oleandervalve.AgentID
	replica    *operator.Replica
	subscriber *operator.Subscriber
	// bytesThisSecond counts the bytes that the agent sent and received in the
	// current second; peakBytes is the maximum of any second.
	bytesThisSecond, peakBytes, totalBytes int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		is: is.New(t), clock: clockwork.NewFakeClock(), rows: map[oleandervalve.Key]oleandervalve.Row{},
		acceptedAt: map[oleandervalve.Revision]time.Time{},
	}
	for i := range entryCount {
		r := operator.NewReplica()
		f.is.NoErr(r.Load(nil, nil, operator.Head{}))
		f.entries = append(f.entries, &fleetEntry{r, operator.NewDistributor(r), i})
	}
	for i := range agentCount {
		a := &fleetAgent{id: oleandervalve.AgentID(fmt.Sprintf("agent-%03d", i)), replica: operator.NewReplica()}
		a.subscriber = operator.NewSubscriber(a.id)
		for j, e := range f.entries {
			v := operator.View{WorkerLabels: map[string]string{"rack": fmt.Sprintf("rack-%d", i/3)}}
			e.distributor.AddAgent(a.id, v, 0, f.clock.Now())
			a.subscriber.AddEntry(entryIDs[j], 0, f.clock.Now())
		}
		f.agents = append(f.agents, a)
	}
	return f
}

// commitChange commits change number n. Changes numbered from firstBurstChange on
// each create a policy of their own.
func (f *fleet) commitChange(n int, random *rand.Rand) {
	kind, name, spec := operator.KindPolicy, fmt.Sprintf("policy-%d", random.Intn(40)),
		fmt.Sprintf(`{"selector":"tier in (board,export),site!=s%d","classes":[{"name":"urgent","weight":%d,"floor":0.4,"queueLimit":500},{"name":"batch","weight":1,"floor":0.1}],"retryRatio":0.1}`, n%9, 1+n%900)
	m := n % 10
	if n >= firstBurstChange {
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
	p, err := operator.BuildPlan(c, operator.Actor{Name: "ilona"}, rows, f.clock.Now())
	f.is.NoErr(err)
	for _, x := range p.Transaction.Puts {
		f.rows[x.Key] = oleandervalve.Row{Key: x.Key, Value: x.Value, Version: f.rows[x.Key].Version + 1}
	}
	f.acceptedAt[p.Head.Revision] = f.clock.Now()
}

// pollLog applies new log rows to an entry, as its watcher does once a second.
func (f *fleet) pollLog(e *fleetEntry) {
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

// encodedSize returns the size in bytes of a message with its name.
func encodedSize(is *is.I, name string, v any) int {
	a, err := cbor.Marshal(name)
	is.NoErr(err)
	b, err := cbor.Marshal(v)
	is.NoErr(err)
	return len(a) + len(b)
}

// advance simulates one step; heartbeat is the size of a heartbeat with its
// acknowledgement in bytes.
func (f *fleet) advance(tick int, heartbeat int) {
	now := f.clock.Now()
	perSecond := int(time.Second / stepInterval)
	for _, e := range f.entries {
		if tick%perSecond == e.pollPhase%perSecond {
			f.pollLog(e)
		}
		for _, s := range e.distributor.Next(now) {
			var i int
			_, _ = fmt.Sscanf(string(s.Agent), "agent-%03d", &i)
			a := f.agents[i]
			a.bytesThisSecond += encodedSize(f.is, "configDelta", s.Delta)
			f.messages++
			b, err := cbor.Marshal(s.Delta)
			f.is.NoErr(err)
			var d operator.Delta
			f.is.NoErr(cbor.Unmarshal(b, &d))
			_, err = a.replica.Apply(d)
			f.is.NoErr(err)
			if s.Delta.Part == s.Delta.Parts-1 {
				a.bytesThisSecond += encodedSize(f.is, "configAck", a.replica.Ack())
				e.distributor.HandleAck(s.Agent, a.replica.Ack())
			}
		}
	}
	lowest := f.entries[0].replica.Revision()
	for i, a := range f.agents {
		if tick%perSecond == i%perSecond {
			f.sendHeartbeat(a, now, heartbeat)
		}
		lowest = min(lowest, a.replica.Revision())
	}
	for ; f.appliedEverywhere < lowest; f.appliedEverywhere++ {
		f.slowestRollout = max(f.slowestRollout, now.Sub(f.acceptedAt[f.appliedEverywhere+1]))
	}
	f.clock.Advance(stepInterval)
}

// sendHeartbeat simulates the heartbeat that an agent sends to every entry once a
// second; the acknowledgement carries the entry's revision.
func (f *fleet) sendHeartbeat(a *fleetAgent, now time.Time, bytes int) {
	a.totalBytes += a.bytesThisSecond
	a.peakBytes = max(a.peakBytes, a.bytesThisSecond)
	a.bytesThisSecond = bytes * entryCount
	for j, e := range f.entries {
		e.distributor.ObserveRevision(a.id, a.replica.Revision())
		a.subscriber.ObserveEntryRevision(entryIDs[j], e.replica.Revision(), now)
	}
	start, stop := a.subscriber.SelectSource(now)
	if start != "" {
		j := slices.Index(entryIDs, start)
		f.entries[j].distributor.Resync(a.id, operator.Resync{From: a.replica.Revision(), Full: a.replica.Revision() == 0})
	}
	if stop != "" {
		j := slices.Index(entryIDs, stop)
		f.entries[j].distributor.Resync(a.id, operator.Resync{From: a.replica.Revision(), Stop: true})
	}
}

// report logs the results and returns the highest peak and the highest mean
// traffic of any agent, in bytes per second.
func (f *fleet) report(t *testing.T, what string, seconds int) (peak, mean int) {
	for _, a := range f.agents {
		peak = max(peak, a.peakBytes)
		mean = max(mean, a.totalBytes/seconds)
	}
	t.Logf("%s: applied by all agents within %s; %d revisions; busiest agent: %d B/s mean, %d B in its busiest second; %d deltas",
		what, f.slowestRollout, f.appliedEverywhere, mean, peak, f.messages)
	return peak, mean
}

// Guards against configuration rollouts that are too slow or exceed the agents'
// message budget, at 1,400 changes a day and in a burst of 50.
func TestRollout(t *testing.T) {
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
		name     string
		seconds  int
		changeAt func(n int) time.Duration
		changes  int
		from     int
	}{
		{"ordinary day", 60 * *dayMinutes, func(n int) time.Duration { return time.Duration(n) * day / 1400 }, *dayMinutes * 1400 / (24 * 60), 400},
		// The burst changes distinct policies, so its deltas cannot be coalesced.
		{"burst of 50", 25, func(int) time.Duration { return time.Second }, 50, firstBurstChange},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			random := rand.New(rand.NewSource(7))
			// Build up a configuration before measuring.
			for n := range 400 {
				f.commitChange(n, random)
			}
			for tick := range 200 {
				f.advance(tick, heartbeat)
			}
			f.is.Equal(f.appliedEverywhere, oleandervalve.Revision(400))
			f.slowestRollout, f.messages = 0, 0
			for _, a := range f.agents {
				a.peakBytes, a.totalBytes = 0, 0
			}
			begin, n := f.clock.Now(), 0
			for tick := range c.seconds * int(time.Second/stepInterval) {
				for n < c.changes && f.clock.Since(begin) >= c.changeAt(n) {
					f.commitChange(c.from+n, random)
					n++
				}
				f.advance(tick, heartbeat)
			}
			f.is.Equal(f.appliedEverywhere, oleandervalve.Revision(400+c.changes)) // every agent has applied every change
			peak, mean := f.report(t, c.name, c.seconds)
			f.is.True(f.slowestRollout < 10*time.Second) // well under 17 s
			f.is.True(mean < 4000)
			f.is.True(peak < 4000)
			for _, e := range f.entries {
				s := e.distributor.RolloutStatus(f.clock.Now())
				f.is.Equal(s.Applied, agentCount)
			}
		})
	}
}
