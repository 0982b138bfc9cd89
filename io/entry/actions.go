package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/operator"
	"oleandervalve/io/operatorhttp"
	"oleandervalve/io/peer"
)

// drainConfirmation is how long an operator's drain waits for the agent's confirmation.
const drainConfirmation = 2 * time.Second

// maxRefusals bounds the recorded refusals, because callers choose the names in them.
const maxRefusals = 1024

// classKey identifies a class of a service.
type classKey struct {
	service oleandervalve.ServiceName
	class   oleandervalve.ClassName
}

// refusal describes the requests of a class that were not run: how many, and the last one.
type refusal struct {
	count  int
	reason oleandervalve.Reason
	remedy string
	at     time.Time
}

// refusals records the last refusal of each class for explanations.
type refusals struct {
	mu      sync.Mutex
	byClass map[classKey]refusal
}

func newRefusals() refusals { return refusals{byClass: map[classKey]refusal{}} }

func (r *refusals) record(k classKey, e *oleandervalve.NotRunError, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.byClass[k]
	if !ok && len(r.byClass) >= maxRefusals {
		return
	}
	r.byClass[k] = refusal{x.count + 1, e.Reason, e.Remedy, now}
}

func (r *refusals) last(k classKey) (refusal, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.byClass[k]
	return x, ok
}

// recordRefusal records why a call was not run.
func (e *Entry) recordRefusal(s oleandervalve.ServiceName, class oleandervalve.ClassName, err error) {
	if err == nil {
		return
	}
	var notRun *oleandervalve.NotRunError
	if c := e.currentConfiguration(); c != nil && errors.As(err, &notRun) {
		if class == "" {
			e.mu.Lock()
			class = e.classOf(s)
			e.mu.Unlock()
		}
		c.refusals.record(classKey{s, class}, notRun, e.clock.Now())
	}
}

// Explain explains the state of a class, job, worker or eviction to an operator.
// An unknown subject is a *oleandervalve.NotFoundError.
func (c *Configuration) Explain(ctx context.Context, q operatorhttp.ExplainRequest) (operator.Explanation, error) {
	if q.Subject == "class" {
		return c.explainClass(ctx, oleandervalve.ServiceName(q.Name), oleandervalve.ClassName(q.Detail)), nil
	}
	if c.tasks == nil {
		return operator.Explanation{}, &oleandervalve.NotFoundError{Kind: q.Subject, Name: q.Name, Remedy: "ask an entry that places tasks"}
	}
	switch q.Subject {
	case "job":
		return c.tasks.ExplainJob(ctx, oleandervalve.JobID(q.Name))
	case "worker":
		return c.tasks.ExplainWorker(oleandervalve.WorkerID(q.Name))
	}
	return c.tasks.ExplainEviction(ctx, oleandervalve.TaskID(q.Name))
}

func (c *Configuration) explainClass(ctx context.Context, s oleandervalve.ServiceName, class oleandervalve.ClassName) operator.Explanation {
	var x operator.Explanation
	var configured bool
	var versions []oleandervalve.Revision
	c.watcher.WithReplica(func(r *operator.Replica) {
		x = r.ExplainClass(s, class)
		_, configured = r.Service(s)
		for _, kind := range []operator.Kind{operator.KindService, operator.KindPolicy} {
			for _, o := range r.List(kind) {
				for _, name := range x.Objects {
					if o.Ref().String() == name {
						versions = append(versions, oleandervalve.Revision(o.Version))
					}
				}
			}
		}
	})
	if !configured {
		x.Answer = fmt.Sprintf("service %q has no configuration object; the entry uses its built-in policies", string(s))
	}
	e := c.entry
	e.mu.Lock()
	if v := e.services[s]; v != nil {
		waiting := 0
		for _, w := range v.queue.Waiting() {
			if w.Class == class {
				waiting = w.Waiting
			}
		}
		x.Details = append(x.Details, fmt.Sprintf("%d requests of the class wait at this entry; the service has %d slots here", waiting, e.directory.Slots(s)))
	}
	if n := e.directory.EvacuatedEndpoints(s); n > 0 {
		x.Details = append(x.Details, fmt.Sprintf("%d endpoints of the service are in evacuated data centres and get no requests; status lists the evacuations", n))
	}
	e.mu.Unlock()
	if r, ok := c.refusals.last(classKey{s, class}); ok {
		x.Details = append(x.Details, fmt.Sprintf("%d requests were not run since the entry started; the last one at %s: %s (%s)",
			r.count, r.at.UTC().Format(time.RFC3339), r.reason, r.remedy))
	}
	x.Details = append(x.Details, c.lastChanges(ctx, versions)...)
	return x
}

// lastChanges describes who made the changes of the given revisions. While the
// table is unavailable, it returns a note that the audit trail can't be read.
func (c *Configuration) lastChanges(ctx context.Context, list []oleandervalve.Revision) []string {
	if len(list) == 0 {
		return nil
	}
	var keys []oleandervalve.Key
	for _, rev := range list {
		keys = append(keys, operator.LogKey(rev))
	}
	rows, err := c.table.Get(ctx, keys...)
	if err != nil {
		return []string{"the audit trail can't be read now; ask again when the table is available"}
	}
	var out []string
	for _, row := range rows {
		if rec, err := operator.DecodeRecord(row); err == nil && row.Version != 0 {
			out = append(out, fmt.Sprintf("%s was last changed by %s at %s with revision %d",
				rec.Ref(), rec.Actor.Name, rec.At.UTC().Format(time.RFC3339), rec.Revision))
		}
	}
	return out
}

// Drain requests the agent of an instance, named by agent or worker, to accept no new work,
// and waits until the agent confirms it to all entries, which then migrate the worker's tasks.
func (c *Configuration) Drain(ctx context.Context, d operatorhttp.DrainRequest, _ operator.Actor) (operatorhttp.Progress, error) {
	e := c.entry
	e.mu.Lock()
	l := e.links[oleandervalve.AgentID(d.Instance)]
	if l == nil {
		l = e.workers[oleandervalve.WorkerID(d.Instance)]
	}
	e.mu.Unlock()
	if l == nil {
		return operatorhttp.Progress{}, &oleandervalve.NotFoundError{
			Kind: "connected instance", Name: d.Instance, Remedy: "name an agent or worker that is connected to this entry",
		}
	}
	if !l.conn.TrySend(&peer.Drain{Reason: peer.ReasonOperator, Within: d.Within}) {
		return operatorhttp.Progress{}, &oleandervalve.UnavailableError{
			Service: "agent of " + d.Instance, Remedy: "the drain did not begin; send it again", RetryAfter: time.Second,
		}
	}
	select {
	case <-l.drained:
		return operatorhttp.Progress{State: "draining", Detail: fmt.Sprintf("agent %s accepts no new work", l.agent)}, nil
	case <-l.conn.Done():
	case <-ctx.Done():
	case <-e.clock.After(drainConfirmation):
	}
	return operatorhttp.Progress{}, &oleandervalve.UnknownOutcomeError{
		Operation: "drain of " + d.Instance, Remedy: "the agent has not confirmed it; send the drain again, which is safe",
	}
}

// Cancel cancels a job of the operator's team; the admin team may cancel jobs of any team.
func (c *Configuration) Cancel(ctx context.Context, j oleandervalve.JobID, a operator.Actor) (operatorhttp.Progress, error) {
	if c.tasks == nil {
		return operatorhttp.Progress{}, &oleandervalve.NotFoundError{Kind: "job", Name: string(j), Remedy: "ask an entry that places tasks"}
	}
	team := a.Team
	if team == c.adminTeam {
		team = ""
	}
	if err := c.tasks.Cancel(ctx, j, team); err != nil {
		return operatorhttp.Progress{}, err
	}
	return operatorhttp.Progress{State: "cancelling", Detail: "tasks that are not assigned to a worker will not run; the others are stopped"}, nil
}
