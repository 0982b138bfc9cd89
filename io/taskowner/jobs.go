package taskowner

import (
	"context"
	"fmt"
	"regexp"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/table"
)

const (
	// inboxPrefix is the key prefix of the rows that tell the owner of a shard
	// of a job that was submitted or cancelled through any entry.
	inboxPrefix = oleandervalve.Key("inbox/")

	maxTasks     = 256
	submitWithin = 5 * time.Second
)

var jobName = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// JobSpec is what a team submits.
type JobSpec struct {
	Job   oleandervalve.JobID     `json:"job"`
	Team  oleandervalve.TeamID    `json:"team"`
	Kind  oleandervalve.KindName  `json:"kind"`
	Tasks int                     `json:"tasks"`
	Size  oleandervalve.Resources `json:"size"`
	// RunTime is the declared run time of a task; zero runs until stopped.
	RunTime         time.Duration     `json:"runTimeNs,omitempty"`
	LatencyCritical bool              `json:"latencyCritical,omitempty"`
	Urgent          bool              `json:"urgent,omitempty"`
	Priority        int               `json:"priority,omitempty"`
	Labels          map[string]string `json:"labels,omitempty"`
	Where           string            `json:"where,omitempty"`
	Beside          string            `json:"beside,omitempty"`
	NotBeside       string            `json:"notBeside,omitempty"`
}

// Check returns all problems of a job, or nil.
func (j JobSpec) Check() error {
	var out error
	bad := func(field, value, remedy string) {
		out = errors.Join(out, &oleandervalve.InvalidError{Field: field, Value: value, Remedy: remedy})
	}
	if !jobName.MatchString(string(j.Job)) {
		bad("job", string(j.Job), "use 1 to 63 lower-case letters, digits, dots and dashes")
	}
	if j.Team == "" {
		bad("team", "", "name the team that the job belongs to")
	}
	if j.Kind == "" {
		bad("kind", "", "name the kind of work, by which sizes and interference are learned")
	}
	if j.Tasks < 1 || j.Tasks > maxTasks {
		bad("tasks", fmt.Sprint(j.Tasks), fmt.Sprintf("submit between 1 and %d tasks in one job", maxTasks))
	}
	if j.Size.IsNegative() || j.Size.CPU == 0 || j.Size.Memory == 0 {
		bad("size", fmt.Sprintf("%+v", j.Size), "declare a positive cpu (millicores) and memory (bytes)")
	}
	if j.RunTime < 0 {
		bad("runTimeNs", fmt.Sprint(int64(j.RunTime)), "use zero or a positive number of nanoseconds")
	}
	selectors := []struct{ field, value string }{{"where", j.Where}, {"beside", j.Beside}, {"notBeside", j.NotBeside}}
	for _, s := range selectors {
		if _, err := labels.Parse(s.value); err != nil {
			bad(s.field, s.value, "use Kubernetes label selector syntax: "+err.Error())
		}
	}
	return out
}

// JobStatus is the state of a job and its tasks.
type JobStatus struct {
	Job       oleandervalve.JobID  `json:"job"`
	Team      oleandervalve.TeamID `json:"team"`
	Cancelled bool                 `json:"cancelled,omitempty"`
	Tasks     []TaskStatus         `json:"tasks"`
}

// TaskStatus is the state of one task.
type TaskStatus struct {
	Task      oleandervalve.TaskID `json:"task"`
	State     job.State            `json:"state"`
	NotRun    bool                 `json:"notRun,omitempty"`
	Reason    oleandervalve.Reason `json:"reason,omitempty"`
	Worker    string               `json:"worker,omitempty"`
	Epoch     oleandervalve.Epoch  `json:"epoch"`
	Evictions int                  `json:"evictions,omitempty"`
	Attempts  int                  `json:"attempts,omitempty"`
}

// Submit accepts a job; an error says whether it was not accepted or whether
// that is unknown, in which case submitting it again under the same id is safe.
func (o *Owner) Submit(ctx context.Context, s JobSpec) error {
	s, err := o.complete(s)
	if err != nil {
		return err
	}
	if err := s.Check(); err != nil {
		return err
	}
	g := job.Header{Job: s.Job, Team: s.Team, Tasks: s.Tasks}
	records := make([]job.Record, s.Tasks)
	now := o.clock.Now().Round(0)
	for i := range records {
		records[i] = job.Record{
			Job: s.Job, State: job.StateQueued, Priority: s.Priority, SubmittedAt: now,
			Spec: oleandervalve.TaskSpec{
				Task: oleandervalve.TaskID(fmt.Sprintf("%s/%d", s.Job, i)), Kind: s.Kind, Team: s.Team, Size: s.Size,
				LatencyCritical: s.LatencyCritical, Urgent: s.Urgent, Labels: s.Labels,
				Where: s.Where, Beside: s.Beside, NotBeside: s.NotBeside, Work: s.RunTime,
			},
		}
	}
	t := job.Create(oleandervalve.MutationID("submit-"+uuid.NewString()), g, records)
	return o.change(ctx, t, s.Job, "job submission")
}

// Cancel marks a job as cancelled.
func (o *Owner) Cancel(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) error {
	ctx, cancel := context.WithTimeout(ctx, submitWithin)
	defer cancel()
	g, err := o.group(ctx, j, team)
	if err != nil || g.Cancelled {
		return err
	}
	return o.change(ctx, g.Cancel(oleandervalve.MutationID("cancel-"+uuid.NewString()), o.id, job.ReasonJobCancelled), j, "job cancellation")
}

// change commits a change of a job together with the note for its owner.
func (o *Owner) change(ctx context.Context, t oleandervalve.Transaction, j oleandervalve.JobID, operation string) error {
	ctx, cancel := context.WithTimeout(ctx, submitWithin)
	defer cancel()
	key := inboxPrefix + oleandervalve.Key(fmt.Sprintf("%02d/%s", job.ShardOf(j), t.ID))
	t.Puts = append(t.Puts, oleandervalve.Put{Key: key, Value: []byte(j)})
	r, ok := o.store.resolve(ctx, t, table.Configuring)
	switch {
	case !ok:
		return &oleandervalve.UnknownOutcomeError{Operation: operation, Remedy: "read the job's status; repeating the call is safe", Cause: ctx.Err()}
	case r.Resolution == table.Superseded:
		return &oleandervalve.ConflictError{Key: job.RowKey(j), Current: rowOf(r.Rows, job.RowKey(j))}
	case r.Resolution == table.NotApplied:
		return &oleandervalve.UnavailableError{Service: "table", Remedy: "the " + operation + " was not accepted; repeat it later", RetryAfter: time.Second}
	}
	o.background(o.readInbox)
	return nil
}

func rowOf(rows []oleandervalve.Row, k oleandervalve.Key) oleandervalve.Row {
	for _, r := range rows {
		if r.Key == k {
			return r
		}
	}
	return oleandervalve.Row{Key: k}
}

// group reads a job's row; another team's job is not found.
func (o *Owner) group(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) (job.StoredJob, error) {
	rows, err := o.store.tryGet(ctx, []oleandervalve.Key{job.RowKey(j)})
	if err != nil {
		return job.StoredJob{}, err
	}
	missing := &oleandervalve.NotFoundError{Kind: "job", Name: string(j), Remedy: "check the job's id and the team of the token"}
	if rows[0].Version == 0 {
		return job.StoredJob{}, missing
	}
	g, err := job.ParseJob(rows[0])
	if err == nil && team != "" && g.Team != team {
		return job.StoredJob{}, missing
	}
	return g, err
}

// Status reads the state of a job; the job's row is read before its tasks.
func (o *Owner) Status(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) (JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, submitWithin)
	defer cancel()
	g, err := o.group(ctx, j, team)
	if err != nil {
		return JobStatus{}, err
	}
	page, err := o.store.scan(ctx, tasksPrefix(j))
	if err != nil {
		return JobStatus{}, err
	}
	out := JobStatus{Job: j, Team: g.Team, Cancelled: g.Cancelled}
	for _, r := range page.Rows {
		t, err := job.ParseTask(r)
		if err != nil {
			return JobStatus{}, err
		}
		v := job.ViewOf(t.Record, g.Header)
		s := TaskStatus{
			Task: t.Task(), State: v.State, NotRun: v.NotRun, Reason: v.Reason,
			Worker: string(t.Worker), Epoch: t.Epoch, Evictions: t.Evictions, Attempts: t.Attempts,
		}
		if s.Reason == "" && v.State.Waiting() {
			s.Reason = o.waitReason(t.Task())
		}
		out.Tasks = append(out.Tasks, s)
	}
	sort.Slice(out.Tasks, func(i, k int) bool { return out.Tasks[i].Task < out.Tasks[k].Task })
	return out, nil
}

func tasksPrefix(j oleandervalve.JobID) oleandervalve.Key {
	return job.TaskKey(j, oleandervalve.TaskID(string(j)+"/"))
}

func (o *Owner) waitReason(id oleandervalve.TaskID) oleandervalve.Reason {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.shards[job.ShardOf(job.Parent(id))]; s != nil {
		return s.WaitReason(id)
	}
	return ""
}

// readInbox looks for jobs that were submitted or cancelled through any entry.
func (o *Owner) readInbox() {
	page, err := o.store.scan(o.ctx, inboxPrefix)
	if err != nil {
		return
	}
	for _, r := range page.Rows {
		j := oleandervalve.JobID(r.Value)
		i := job.ShardOf(j)
		o.mu.Lock()
		take := o.shards[i] != nil && !o.inbox[r.Key]
		if take {
			o.inbox[r.Key] = true
		}
		o.mu.Unlock()
		if take {
			o.background(func() { o.take(i, j, r.Key) })
		}
	}
	o.forgetInbox(page.Rows)
}

// forgetInbox drops the memory of notes that are deleted.
func (o *Owner) forgetInbox(rows []oleandervalve.Row) {
	here := map[oleandervalve.Key]bool{}
	for _, r := range rows {
		here[r.Key] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.inbox {
		if !here[k] {
			delete(o.inbox, k)
		}
	}
}

// take reads a job of an owned shard and deletes the note that named it. The
// deletion is fenced by the lease of the shard as it was before the job was
// read: an owner that loses the shard leaves the note to the next one, which may
// have read the shard's rows before the job was there.
func (o *Owner) take(i oleandervalve.ShardID, j oleandervalve.JobID, note oleandervalve.Key) {
	o.mu.Lock()
	fence := o.owned.Fence(i)
	held := o.owned.Held(o.clock.Now(), i)
	o.mu.Unlock()
	taken := false
	if held {
		taken = o.takeFenced(i, j, note, fence)
	}
	if !taken {
		o.mu.Lock()
		delete(o.inbox, note)
		o.mu.Unlock()
	}
}

func (o *Owner) takeFenced(i oleandervalve.ShardID, j oleandervalve.JobID, note oleandervalve.Key, fence []oleandervalve.Condition) bool {
	rows := o.store.get(o.ctx, []oleandervalve.Key{job.RowKey(j)})
	page, err := o.store.scan(o.ctx, tasksPrefix(j))
	if err != nil {
		return false
	}
	o.observe(i, append(rows, page.Rows...))
	r, ok := o.store.resolve(o.ctx, oleandervalve.Transaction{
		ID:         oleandervalve.MutationID("taken-" + uuid.NewString()),
		Conditions: fence, Deletes: []oleandervalve.Key{note},
	}, table.Configuring)
	return ok && r.Resolution == table.Applied
}
