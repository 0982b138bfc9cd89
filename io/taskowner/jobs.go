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
	// inboxPrefix is the key prefix of the inbox rows, which notify the owner of a
	// shard of jobs that were submitted or cancelled through any entry.
	inboxPrefix = oleandervalve.Key("inbox/")

	maxTasksPerJob = 256
	requestTimeout = 5 * time.Second
)

var jobNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// JobSpec describes a job that a team submits.
type JobSpec struct {
	Job   oleandervalve.JobID     `json:"job"`
	Team  oleandervalve.TeamID    `json:"team"`
	Kind  oleandervalve.KindName  `json:"kind"`
	Tasks int                     `json:"tasks"`
	Size  oleandervalve.Resources `json:"size"`
	// RunTime is the declared run time of a task. With zero, tasks run until they
	// are stopped.
	RunTime         time.Duration     `json:"runTimeNs,omitempty"`
	LatencyCritical bool              `json:"latencyCritical,omitempty"`
	Urgent          bool              `json:"urgent,omitempty"`
	Priority        int               `json:"priority,omitempty"`
	Labels          map[string]string `json:"labels,omitempty"`
	Where           string            `json:"where,omitempty"`
	Beside          string            `json:"beside,omitempty"`
	NotBeside       string            `json:"notBeside,omitempty"`
}

// Check returns all problems of a job joined into one error, or nil.
func (j JobSpec) Check() error {
	var out error
	addProblem := func(field, value, remedy string) {
		out = errors.Join(out, &oleandervalve.InvalidError{Field: field, Value: value, Remedy: remedy})
	}
	if !jobNamePattern.MatchString(string(j.Job)) {
		addProblem("job", string(j.Job), "use 1 to 63 lower-case letters, digits, dots and dashes")
	}
	if j.Team == "" {
		addProblem("team", "", "name the team that the job belongs to")
	}
	if j.Kind == "" {
		addProblem("kind", "", "name the kind of work, by which sizes and interference are learned")
	}
	if j.Tasks < 1 || j.Tasks > maxTasksPerJob {
		addProblem("tasks", fmt.Sprint(j.Tasks), fmt.Sprintf("submit between 1 and %d tasks in one job", maxTasksPerJob))
	}
	if j.Size.IsNegative() || j.Size.CPU == 0 || j.Size.Memory == 0 {
		addProblem("size", fmt.Sprintf("%+v", j.Size), "declare a positive cpu (millicores) and memory (bytes)")
	}
	if j.RunTime < 0 {
		addProblem("runTimeNs", fmt.Sprint(int64(j.RunTime)), "use zero or a positive number of nanoseconds")
	}
	selectors := []struct{ field, value string }{{"where", j.Where}, {"beside", j.Beside}, {"notBeside", j.NotBeside}}
	for _, s := range selectors {
		if _, err := labels.Parse(s.value); err != nil {
			addProblem(s.field, s.value, "use Kubernetes label selector syntax: "+err.Error())
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

// Submit accepts a job. If the error is *oleandervalve.UnknownOutcomeError, the job
// may have been accepted, and it is safe to submit it again under the same id;
// otherwise it was not accepted.
func (o *Owner) Submit(ctx context.Context, s JobSpec) error {
	s, err := o.applyPolicies(s)
	if err != nil {
		return err
	}
	if err := s.Check(); err != nil {
		return err
	}
	header := job.Header{Job: s.Job, Team: s.Team, Tasks: s.Tasks}
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
	t := job.Create(oleandervalve.MutationID("submit-"+uuid.NewString()), header, records)
	return o.commitChange(ctx, t, s.Job, "job submission")
}

// Cancel marks a job as cancelled.
func (o *Owner) Cancel(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	stored, err := o.readJob(ctx, j, team)
	if err != nil || stored.Cancelled {
		return err
	}
	err = o.commitChange(ctx, stored.Cancel(oleandervalve.MutationID("cancel-"+uuid.NewString()), o.id, job.ReasonJobCancelled), j, "job cancellation")
	var conflict *oleandervalve.ConflictError
	if errors.As(err, &conflict) {
		if current, parseErr := job.ParseJob(conflict.Current); parseErr == nil && current.Cancelled {
			return nil // cancelled through another entry since the row was read
		}
	}
	return err
}

// commitChange commits a change of a job together with an inbox row for the owner
// of its shard.
func (o *Owner) commitChange(ctx context.Context, t oleandervalve.Transaction, j oleandervalve.JobID, operation string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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

// readJob reads a job's row. A job of another team is reported as not found; an
// empty team matches all jobs.
func (o *Owner) readJob(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) (job.StoredJob, error) {
	rows, err := o.store.tryGet(ctx, []oleandervalve.Key{job.RowKey(j)})
	if err != nil {
		return job.StoredJob{}, err
	}
	notFound := &oleandervalve.NotFoundError{Kind: "job", Name: string(j), Remedy: "check the job's id and the team of the token"}
	if rows[0].Version == 0 {
		return job.StoredJob{}, notFound
	}
	stored, err := job.ParseJob(rows[0])
	if err == nil && team != "" && stored.Team != team {
		return job.StoredJob{}, notFound
	}
	return stored, err
}

// Status reads the state of a job and its tasks. It reads the job's row before the
// rows of the tasks.
func (o *Owner) Status(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) (JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	stored, err := o.readJob(ctx, j, team)
	if err != nil {
		return JobStatus{}, err
	}
	page, err := o.store.scan(ctx, tasksPrefix(j))
	if err != nil {
		return JobStatus{}, err
	}
	out := JobStatus{Job: j, Team: stored.Team, Cancelled: stored.Cancelled}
	for _, r := range page.Rows {
		t, err := job.ParseTask(r)
		if err != nil {
			return JobStatus{}, err
		}
		v := job.ViewOf(t.Record, stored.Header)
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
	if s := o.shard(job.ShardOf(job.Parent(id))); s != nil {
		return s.WaitReason(id)
	}
	return ""
}

// readInbox handles the inbox rows of owned shards.
func (o *Owner) readInbox() {
	page, err := o.store.scan(o.ctx, inboxPrefix)
	if err != nil {
		return
	}
	for _, r := range page.Rows {
		j := oleandervalve.JobID(r.Value)
		i := job.ShardOf(j)
		o.mu.Lock()
		claim := o.shard(i) != nil && !o.claimedInbox[r.Key]
		if claim {
			o.claimedInbox[r.Key] = true
		}
		o.mu.Unlock()
		if claim {
			o.background(func() { o.handleInboxRow(i, j, r.Key) })
		}
	}
	o.removeDeletedInboxKeys(page.Rows)
}

// removeDeletedInboxKeys removes the keys of deleted inbox rows from claimedInbox.
func (o *Owner) removeDeletedInboxKeys(rows []oleandervalve.Row) {
	existing := map[oleandervalve.Key]bool{}
	for _, r := range rows {
		existing[r.Key] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.claimedInbox {
		if !existing[k] {
			delete(o.claimedInbox, k)
		}
	}
}

// handleInboxRow reads a job of an owned shard and deletes its inbox row. The
// deletion is fenced by the shard's lease as of before the read: an owner that has
// lost the shard must leave the inbox row to the next owner, which may have read
// the shard's rows before the job was written.
func (o *Owner) handleInboxRow(i oleandervalve.ShardID, j oleandervalve.JobID, inboxKey oleandervalve.Key) {
	o.mu.Lock()
	fence := o.taskShards.Fence(i)
	held := o.holds(i)
	o.mu.Unlock()
	handled := false
	if held {
		handled = o.loadAndDeleteInboxRow(i, j, inboxKey, fence)
	}
	if !handled {
		o.mu.Lock()
		delete(o.claimedInbox, inboxKey)
		o.mu.Unlock()
	}
}

func (o *Owner) loadAndDeleteInboxRow(i oleandervalve.ShardID, j oleandervalve.JobID, inboxKey oleandervalve.Key, fence []oleandervalve.Condition) bool {
	rows := o.store.get(o.ctx, []oleandervalve.Key{job.RowKey(j)})
	page, err := o.store.scan(o.ctx, tasksPrefix(j))
	if err != nil {
		return false
	}
	o.observe(i, append(rows, page.Rows...))
	r, ok := o.store.resolve(o.ctx, oleandervalve.Transaction{
		ID:         oleandervalve.MutationID("taken-" + uuid.NewString()),
		Conditions: fence, Deletes: []oleandervalve.Key{inboxKey},
	}, table.Configuring)
	return ok && r.Resolution == table.Applied
}
