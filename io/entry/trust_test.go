package entry_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/operator"
	"oleandervalve/core/table"
	"oleandervalve/io/agent"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/entry"
	"oleandervalve/io/jobhttp"
	"oleandervalve/io/operatorhttp"
	"oleandervalve/io/peer"
	"oleandervalve/io/platformhttp"
	"oleandervalve/io/process"
	"oleandervalve/io/standin"
	"oleandervalve/io/tablehttp"
	"oleandervalve/io/taskowner"
	"oleandervalve/io/tlsfiles"
)

// lockedBuffer is a buffer for log output that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedBuffer) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), s)
}

// Guards against an entry that accepts an agent whose certificate is signed by an
// untrusted authority, and against a replaced certificate that requires a restart.
func TestAgentWithUntrustedCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	clock := oleandervalve.SystemClock()
	var out lockedBuffer
	p := process.New("entry", "info", &out)
	defer p.Close()
	trusted, err := tlsfiles.NewDevelopmentCA(clock, p.Log())
	is.NoErr(err)
	foreign, err := tlsfiles.NewDevelopmentCA(clock, p.Log())
	is.NoErr(err)
	// The agent trusts both authorities, so a refusal can only come from the entry.
	write := func(dir string, d *tlsfiles.DevelopmentCA) tlsfiles.Paths {
		certificate, key, err := d.Issue("test", time.Hour, net.IPv4(127, 0, 0, 1))
		is.NoErr(err)
		paths := tlsfiles.Paths{Certificate: filepath.Join(dir, "c"), Key: filepath.Join(dir, "k"), Authority: filepath.Join(dir, "a")}
		is.NoErr(os.WriteFile(paths.Certificate, certificate, 0o600))
		is.NoErr(os.WriteFile(paths.Key, key, 0o600))
		is.NoErr(os.WriteFile(paths.Authority, append(trusted.AuthorityPEM(), foreign.AuthorityPEM()...), 0o600))
		return paths
	}
	load := func(paths tlsfiles.Paths) *tlsfiles.Files {
		f, err := tlsfiles.Load(paths, clock, p.Log())
		is.NoErr(err)
		return f
	}
	serverPaths := write(t.TempDir(), trusted)
	is.NoErr(os.WriteFile(serverPaths.Authority, trusted.AuthorityPEM(), 0o600))
	e := entry.New("entry-0", entry.WithLog(p.Log()))
	defer e.Close()
	address, err := p.ListenTLS("peers", "127.0.0.1:0", 0, e.PeerHandler(), load(serverPaths).Server())
	is.NoErr(err)
	dir := t.TempDir()
	files := load(write(dir, foreign))
	a := agent.New("agent-0", []string{"https://" + address + peer.Path}, agent.WithLog(p.Log()), agent.WithDialTLS(files.DialTLS))
	defer a.Close()
	waitUntil(func() bool { return out.contains("TLS handshake error") && out.contains("entry could not be reached") })
	is.Equal(e.Agents(), 0)
	write(dir, trusted)
	for _, name := range []string{"c", "k", "a"} { // changes the modification time, however coarse the file system's clock is
		is.NoErr(os.Chtimes(filepath.Join(dir, name), time.Now(), time.Now().Add(-time.Minute)))
	}
	changed, err := files.Poll()
	is.NoErr(err)
	is.True(changed)
	waitUntil(func() bool { return e.Agents() == 1 && a.Entries() == 1 })
}

// Guards against an entry that serves calls with an older configuration than its
// agents have, as after the table is restored from a backup.
func TestEntryWaitsForTheRevisionOfItsAgents(t *testing.T) {
	r := newTestSystem(t)
	is := r.is
	waitUntil(func() bool { return r.configs[0].NotReadyReason() == "" && r.configs[1].NotReadyReason() == "" })
	change, err := r.put(0, operator.KindService, "formaro", 0, service)
	is.NoErr(err)
	waitUntil(func() bool { return r.isApplied(change.Revision) })
	restored := standin.NewTable(oleandervalve.SystemClock(), 2)
	restored.Faults.Set(standin.Fault{Down: true})
	r.client = tablehttp.NewClient(r.serve(restored.Handler()), 2*time.Second)
	r.addEntry(2)
	r.urls = r.urls[2:]
	r.addAgent(2) // connects only to the new entry and has no revision to report
	r.agents[0].Close()
	e, c := r.entries[2], r.configs[2]
	old := r.agents[0].Revision()
	is.Equal(old, change.Revision)
	conn, _, err := peer.Dial(context.Background(), r.urls[0]+peer.Path, http.DefaultClient, peer.Hello{Agent: "agent-0", Epoch: 9, Revision: old})
	is.NoErr(err)
	defer conn.Close()
	waitUntil(func() bool { return e.Agents() == 2 })
	restored.Faults.Set()
	reads, _ := restored.Operations()
	waitUntil(func() bool { now, _ := restored.Operations(); return now >= reads+4 })
	is.True(c.NotReadyReason() != "")
	status, reason := r.call("Authorization", "Bearer cutter-secret")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(reason, "notReady")
	_, err = r.put(0, operator.KindService, "formaro", 0, service)
	is.NoErr(err)
	waitUntil(func() bool { return c.NotReadyReason() == "" })
}

// Guards against a team that reads or cancels another team's job, a job that runs
// without the configured defaults, quotas or labels that have no effect, and a
// drain without an effect on its worker.
func TestTeamsJobsAndDrain(t *testing.T) {
	is := is.New(t)
	r := &testSystem{t: t, is: is, log: logrus.NewEntry(logrus.New()), table: standin.NewTable(oleandervalve.SystemClock(), 1)}
	r.log.Logger.SetLevel(logrus.PanicLevel)
	r.client = tablehttp.NewClient(r.serve(r.table.Handler()), 2*time.Second)
	objects := standin.NewObjects(1)
	capacity := oleandervalve.Resources{CPU: 16000, Memory: 60 << 30}
	platform := platformhttp.NewClient(r.serve(standin.NewPlatform(oleandervalve.SystemClock(), standin.PlatformConfig{
		Workers: map[oleandervalve.WorkerID]oleandervalve.Resources{"worker-0": capacity}, Load: objects.Load, Seed: 1,
	}).Handler()), 2*time.Second)
	e := entry.New("entry-0", entry.WithLog(r.log))
	t.Cleanup(e.Close)
	o := taskowner.New("entry-0", "entry-0", r.client, platform, e, taskowner.WithLog(r.log), taskowner.WithLimits(table.DefaultLimits))
	t.Cleanup(o.Close)
	e.SetTaskOwner(o)
	c, err := entry.NewConfiguration(e, r.client, entry.ConfigurationOptions{
		BootstrapTokenHash: operator.HashToken(bootstrapToken), RequiredRevisionWait: time.Millisecond, Tasks: o,
	})
	is.NoErr(err)
	t.Cleanup(c.Close)
	m := http.NewServeMux()
	m.Handle(peer.Path, e.PeerHandler())
	m.Handle("/v1/jobs", jobhttp.Handler(o, c.Authenticator()))
	m.Handle("/v1/jobs/", jobhttp.Handler(o, c.Authenticator()))
	m.Handle("/v1/", c.Handler())
	r.configs, r.urls = []*entry.Configuration{c}, []string{r.serve(m)}
	a := agent.New("agent-0", []string{r.urls[0] + peer.Path}, agent.WithLog(r.log), agent.WithWorker("worker-0"),
		agent.WithLabels(map[string]string{"site": "north"}), agent.WithPlatform(platform, nil))
	t.Cleanup(a.Close)
	r.agents = []*agent.Agent{a}
	waitUntil(func() bool { return c.NotReadyReason() == "" })

	var last operatorhttp.ChangeResult
	put := func(k operator.Kind, name string, spec any) {
		last, err = r.put(0, k, name, 0, spec)
		is.NoErr(err)
	}
	caller := []operator.Role{operator.RoleCaller}
	put(operator.KindToken, "cutters", operator.TokenSpec{Hash: operator.HashToken("cutting-secret"), Team: "cutting", Roles: caller})
	put(operator.KindToken, "cellar", operator.TokenSpec{Hash: operator.HashToken("cellar-secret"), Team: "cellar", Roles: caller})
	put(operator.KindToken, "reader", operator.TokenSpec{Hash: operator.HashToken("reader-secret"), Team: "cutting", Roles: []operator.Role{operator.RoleViewer}})
	put(operator.KindTeam, "cutting", operator.TeamSpec{Weight: 1, Quota: oleandervalve.Resources{CPU: 1000, Memory: 1 << 30}})
	put(operator.KindJobDefaults, "small", operator.JobDefaultsSpec{Size: oleandervalve.Resources{CPU: 500, Memory: 1 << 20}, RunOn: "tier=fast"})
	put(operator.KindWorkerLabels, "fast", operator.LabelsSpec{Selector: "site=north", Add: map[string]string{"tier": "fast"}})
	waitUntil(func() bool { return r.isApplied(last.Revision) })

	send := func(method, path, token, body string) int {
		q, err := http.NewRequest(method, r.urls[0]+path, strings.NewReader(body))
		is.NoErr(err)
		if token != "" {
			q.Header.Set("Authorization", "Bearer "+token)
		}
		p, err := http.DefaultClient.Do(q)
		is.NoErr(err)
		defer p.Body.Close()
		return p.StatusCode
	}
	const job = `{"job":"gloves","kind":"press","tasks":1}`
	is.Equal(send(http.MethodPost, "/v1/jobs", "", job), http.StatusUnauthorized)
	is.Equal(send(http.MethodPost, "/v1/jobs", "wrong-secret", job), http.StatusUnauthorized)
	is.Equal(send(http.MethodPost, "/v1/jobs", "reader-secret", job), http.StatusForbidden)
	is.Equal(send(http.MethodPost, "/v1/jobs", "cutting-secret", job), http.StatusCreated) // the size comes from the job defaults
	is.Equal(send(http.MethodGet, "/v1/jobs/gloves", "cellar-secret", ""), http.StatusNotFound)
	is.Equal(send(http.MethodDelete, "/v1/jobs/gloves", "cellar-secret", ""), http.StatusNotFound)
	is.Equal(send(http.MethodGet, "/v1/jobs/gloves", "cutting-secret", ""), http.StatusOK)
	waitUntil(func() bool { // the job is placed, so the configured label of the worker is applied
		s, err := o.Status(context.Background(), "gloves", "cutting")
		is.NoErr(err)
		return s.Tasks[0].Worker == "worker-0"
	})
	const large = `{"job":"large","kind":"press","tasks":1,"latencyCritical":true,"size":{"cpu":4000,"memory":1048576}}`
	is.Equal(send(http.MethodPost, "/v1/jobs", "cutting-secret", large), http.StatusCreated)
	explain := func(subject, name string) string {
		x, err := r.operator(0).Explain(context.Background(), operatorhttp.ExplainRequest{Subject: subject, Name: name})
		is.NoErr(err)
		return x.Answer + "\n" + strings.Join(x.Details, "\n")
	}
	waitUntil(func() bool { return strings.Contains(explain("job", "large"), "last failed attempt: quota") })

	p, err := r.operator(0).Drain(context.Background(), "worker-0", "kernel", time.Minute)
	is.NoErr(err)
	is.Equal(p.State, "draining")
	waitUntil(func() bool { return strings.Contains(explain("worker", "worker-0"), "drained until") })
	is.Equal(send(http.MethodDelete, "/v1/jobs/gloves", "cutting-secret", ""), http.StatusAccepted)

	// A deleted token is refused as soon as the change is applied.
	deletion, err := r.operator(0).Delete(context.Background(), operator.Ref{Kind: operator.KindToken, Name: "cutters"}, "delete-cutters", 1, false)
	is.NoErr(err)
	waitUntil(func() bool { return r.isApplied(deletion.Revision) })
	id, err := c.Authenticator().Authenticate(&http.Request{Header: http.Header{"Authorization": {"Bearer cutting-secret"}}})
	is.Equal(id, callerhttp.Identity{})
	is.True(err != nil)
	is.Equal(send(http.MethodGet, "/v1/jobs/gloves", "cutting-secret", ""), http.StatusUnauthorized)
}
