package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/operator"
	"oleandervalve/io/agent"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/entry"
	"oleandervalve/io/operatorhttp"
	"oleandervalve/io/peer"
	"oleandervalve/io/standin"
	"oleandervalve/io/tablehttp"
)

const bootstrapToken = "bootstrap-secret"

// testSystem is a table, entries and agents in one process, connected over real sockets.
type testSystem struct {
	t        *testing.T
	is       *is.I
	log      *logrus.Entry
	table    *standin.Table
	client   *tablehttp.Client
	entries  []*entry.Entry
	configs  []*entry.Configuration
	urls     []string
	agents   []*agent.Agent
	announce string
}

func newTestSystem(t *testing.T) *testSystem {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	r := &testSystem{t: t, is: is.New(t), log: logrus.NewEntry(l), table: standin.NewTable(oleandervalve.SystemClock(), 1)}
	r.client = tablehttp.NewClient(r.serve(r.table.Handler()), 2*time.Second)
	for i := range 2 {
		r.addEntry(i)
	}
	for i := range 2 {
		r.addAgent(i)
	}
	return r
}

func (r *testSystem) serve(h http.Handler) string {
	s, err := standin.Serve("127.0.0.1:0", h)
	r.is.NoErr(err)
	r.t.Cleanup(s.Close)
	return s.URL
}

func (r *testSystem) addEntry(i int) {
	e := entry.New(oleandervalve.EntryID(fmt.Sprint("entry-", i)), entry.WithLog(r.log))
	r.t.Cleanup(e.Close)
	c, err := entry.NewConfiguration(e, r.client, entry.ConfigurationOptions{
		BootstrapTokenHash: operator.HashToken(bootstrapToken), RequiredRevisionWait: time.Millisecond,
	})
	r.is.NoErr(err)
	r.t.Cleanup(c.Close)
	m := http.NewServeMux()
	m.Handle(peer.Path, e.PeerHandler())
	m.Handle("/call/", callerhttp.Handler(e, c.Authenticator(), callerhttp.ServiceTimeout(e.DefaultTimeout)))
	m.Handle("/v1/", c.Handler())
	r.entries, r.configs, r.urls = append(r.entries, e), append(r.configs, c), append(r.urls, r.serve(m))
}

func (r *testSystem) addAgent(i int) *agent.Agent {
	var urls []string
	for _, u := range r.urls {
		urls = append(urls, u+peer.Path)
	}
	a := agent.New(oleandervalve.AgentID(fmt.Sprint("agent-", i)), urls, agent.WithLog(r.log), agent.WithHeartbeat(100*time.Millisecond))
	r.t.Cleanup(a.Close)
	r.agents = append(r.agents, a)
	r.announce = r.serve(a.AnnounceHandler())
	return a
}

func (r *testSystem) operator(entry int) *operatorhttp.Client {
	c, err := operatorhttp.NewClient(r.urls[entry], bootstrapToken, http.DefaultClient, oleandervalve.SystemClock())
	r.is.NoErr(err)
	return c
}

// put writes one object through the API of an entry.
func (r *testSystem) put(entry int, k operator.Kind, name string, expected oleandervalve.Version, spec any) (operatorhttp.ChangeResult, error) {
	b, err := json.Marshal(spec)
	r.is.NoErr(err)
	o := operator.Object{Kind: k, Name: name, Spec: b}
	id := operator.ChangeID(fmt.Sprintf("change-%s-%s-%d", k, name, time.Now().UnixNano()))
	return r.operator(entry).Put(context.Background(), o, id, expected, false)
}

// waitUntil polls until the condition is true. It has no timeout except that of the test.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

// isApplied reports whether every entry and agent has applied a revision.
func (r *testSystem) isApplied(rev oleandervalve.Revision) bool {
	for _, c := range r.configs {
		if c.Revision() < rev {
			return false
		}
	}
	for _, a := range r.agents {
		if a.Revision() < rev {
			return false
		}
	}
	return true
}

func (r *testSystem) call(header ...string) (int, string) {
	q, err := http.NewRequest(http.MethodGet, r.urls[0]+"/call/formaro/x", nil)
	r.is.NoErr(err)
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	p, err := http.DefaultClient.Do(q)
	r.is.NoErr(err)
	defer p.Body.Close()
	return p.StatusCode, p.Header.Get(callerhttp.HeaderReason)
}

func policy(weight float64) operator.PolicySpec {
	return operator.PolicySpec{Classes: []operator.ClassPolicy{{Name: "board", Weight: weight, Floor: 0.5, QueueLimit: 7}}}
}

var service = operator.ServiceSpec{DefaultDeadlineMS: 1500, Classes: []oleandervalve.ClassName{"board", "export"}}

// Guards against an accepted change that some entry or agent doesn't apply, a
// conflict in which one of two changes is silently overwritten, a restarted agent
// without a configuration, a revision that goes back, and a table outage during
// which calls fail or changes are accepted.
func TestConfigurationReachesEntriesAndAgents(t *testing.T) {
	r := newTestSystem(t)
	is := r.is
	for _, c := range r.configs {
		waitUntil(func() bool { return c.NotReadyReason() == "" })
	}
	_, err := r.put(0, operator.KindService, "formaro", 0, service)
	is.NoErr(err)
	hash := operator.HashToken("cutter-secret")
	_, err = r.put(1, operator.KindToken, "cutters", 0, operator.TokenSpec{Hash: hash, Team: "cutting", Roles: []operator.Role{operator.RoleCaller}})
	is.NoErr(err)
	first, err := r.put(0, operator.KindPolicy, "boards", 0, policy(3))
	is.NoErr(err)
	waitUntil(func() bool { return r.isApplied(first.Revision) })
	for _, e := range r.entries {
		p := e.Policies("formaro")
		is.Equal(len(p), 2)
		is.Equal(p[0].Weight, 3.0)
		is.Equal(p[0].MaxQueued, 7)
		is.Equal(e.DefaultTimeout("formaro"), 1500*time.Millisecond)
	}
	for _, a := range r.agents {
		is.Equal(a.Shares("formaro")[0].Floor, 0.5)
	}
	for i := range r.urls {
		waitUntil(func() bool {
			s, err := r.operator(i).Status(context.Background())
			is.NoErr(err)
			return s.Ready && s.Rollout.Agents == 2 && s.Rollout.Applied == 2 && s.Rollout.Revision == first.Revision
		})
	}

	second, err := r.put(1, operator.KindPolicy, "boards", first.Version, policy(5))
	is.NoErr(err)
	_, err = r.put(0, operator.KindPolicy, "boards", first.Version, policy(9))
	var refused *operatorhttp.APIError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Reason, operatorhttp.ReasonConflict)
	is.Equal(*refused.CurrentVersion, second.Version)
	waitUntil(func() bool { return r.isApplied(second.Revision) })
	is.Equal(r.entries[0].Policies("formaro")[0].Weight, 5.0)

	r.agents[1].Close()
	r.agents = r.agents[:1]
	restarted := r.addAgent(1)
	waitUntil(func() bool { return restarted.Revision() == second.Revision })
	is.Equal(restarted.Shares("formaro")[0].Weight, 5.0)

	r.checkTableOutage(second)

	// Write a head row with an earlier revision, as after the table is restored from a backup.
	rows, err := r.client.Get(context.Background(), operator.HeadKey)
	is.NoErr(err)
	old, err := json.Marshal(operator.Head{Revision: 1})
	is.NoErr(err)
	_, err = r.client.Commit(context.Background(), oleandervalve.Transaction{
		ID: "restore", Conditions: []oleandervalve.Condition{{Key: operator.HeadKey, Version: rows[0].Version}},
		Puts: []oleandervalve.Put{{Key: operator.HeadKey, Value: old}},
	})
	is.NoErr(err)
	reads, _ := r.table.Operations()
	waitUntil(func() bool { now, _ := r.table.Operations(); return now >= reads+4 }) // both entries have polled the table
	is.True(r.isApplied(second.Revision))
}

func (r *testSystem) checkTableOutage(last operatorhttp.ChangeResult) {
	is := r.is
	x, err := standin.StartEndpoint(standin.EndpointConfig{
		Announcement: oleandervalve.Announcement{Endpoint: "executor-0", Service: "formaro", Slots: 2, Connections: 4},
		AgentURL:     r.announce, ServiceTime: time.Millisecond, Seed: 1, Executions: standin.NewExecutionLog(),
	})
	is.NoErr(err)
	r.t.Cleanup(x.Close)
	waitUntil(func() bool { return r.entries[0].Slots("formaro") == 2 })
	r.table.Faults.Set(standin.Fault{Down: true})
	status, _ := r.call("Authorization", "Bearer cutter-secret")
	is.Equal(status, http.StatusOK)
	status, _ = r.call()
	is.Equal(status, http.StatusUnauthorized)
	status, reason := r.call("Authorization", "Bearer cutter-secret", callerhttp.HeaderClass, "unheard")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(reason, "unknownClass")
	_, err = r.put(0, operator.KindPolicy, "boards", last.Version, policy(1))
	var down *operatorhttp.APIError
	is.True(errors.As(err, &down))
	is.Equal(down.Reason, operatorhttp.ReasonUnavailable)
	is.True(down.Remedy != "")
	e, err := r.operator(0).Explain(context.Background(), operatorhttp.ExplainRequest{Subject: "class", Name: "formaro", Detail: "unheard"})
	is.NoErr(err)
	is.True(strings.Contains(strings.Join(e.Details, "\n"), "unknownClass"))
	is.True(r.isApplied(last.Revision))
	r.table.Faults.Set()
}
