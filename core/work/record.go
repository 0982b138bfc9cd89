package work

import (
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleandervalve"
	"oleandervalve/core/crash"
)

// State is the state of a job.
type State int

const (
	// Pending means that no task has been assigned to an executor yet.
	Pending State = iota
	// Running means that at least one task has been assigned to an executor.
	Running
	// Completed means that all tasks are done.
	Completed
	// Failed means that a task has used up its attempts.
	Failed
	// Cancelled means that the caller has cancelled the job.
	Cancelled
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"pending", "running", "completed", "failed", "cancelled"}[s]
}

// Terminal reports whether the state is final: completed, failed or cancelled.
func (s State) Terminal() bool { return s >= Completed }

// TaskState is the state of a task in the record of its job.
type TaskState int

const (
	// TaskWaiting means that the task waits for its next run.
	TaskWaiting TaskState = iota
	// TaskAssigned means that the task has a run on an executor, which may not have started yet.
	TaskAssigned
	// TaskDone means that the task has completed successfully.
	TaskDone
)

// ExecutorRef identifies one incarnation of an executor and the agent that controls it.
type ExecutorRef struct {
	Agent    oleandervalve.AgentID     `cbor:"1,keyasint"`
	Executor oleandervalve.Incarnation `cbor:"2,keyasint"`
}

// TaskRecord is the durable state of one task.
type TaskRecord struct {
	_        struct{} `cbor:",toarray"`
	State    TaskState
	Run      oleandervalve.RunNumber
	Failures int
	// ExecutorIndex is the index in Record.Executors of the executor of the current run.
	ExecutorIndex int
	Checkpoint    string
}

// Record is the durable state of a job. The submitted specification is stored in a separate row.
type Record struct {
	Queue      Queue     `cbor:"1,keyasint"`
	State      State     `cbor:"2,keyasint,omitempty"`
	AcceptedAt time.Time `cbor:"3,keyasint"`
	EndedAt    time.Time `cbor:"4,keyasint,omitempty"`
	// Tasks is ordered by occurrence, then step, then index.
	Tasks     []TaskRecord  `cbor:"5,keyasint,omitempty"`
	Executors []ExecutorRef `cbor:"6,keyasint,omitempty"`
	// Sequence is set to a new number whenever the record is written, so that no two versions
	// of it are equal.
	Sequence uint64 `cbor:"7,keyasint"`
	// Crashes holds what is known of the crashes under tasks, by index in Tasks.
	Crashes map[int]crash.History `cbor:"8,keyasint,omitempty"`
	// Unsubmitted is set if the job was cancelled before its submission has arrived.
	Unsubmitted bool `cbor:"9,keyasint,omitempty"`
	// Unconfirmed holds the indexes in Tasks of the assigned tasks whose starts were not confirmed when
	// the record was written.
	Unconfirmed []int `cbor:"10,keyasint,omitempty"`
}

// Validate checks that the record is one of a job with the given valid specification, which is
// not needed if the job is completed. It returns an *oleandervalve.InvalidError.
func (r Record) Validate(s Spec) error {
	if r.State < Pending || r.State > Cancelled {
		return invalidRecord("state", int(r.State))
	}
	if r.State == Completed {
		return nil
	}
	if n := len(r.Tasks); n != 0 && n != s.TaskCount() {
		return invalidRecord("number of tasks", n)
	}
	for _, t := range r.Tasks {
		if t.State < TaskWaiting || t.State > TaskDone {
			return invalidRecord("state of a task", int(t.State))
		}
		if t.State == TaskAssigned && (t.ExecutorIndex < 0 || t.ExecutorIndex >= len(r.Executors)) {
			return invalidRecord("executor of a task", t.ExecutorIndex)
		}
	}
	for _, i := range r.Unconfirmed {
		if i < 0 || i >= len(r.Tasks) {
			return invalidRecord("unconfirmed task", i)
		}
	}
	for i := range r.Crashes {
		if i < 0 || i >= len(r.Tasks) {
			return invalidRecord("task with crashes", i)
		}
	}
	return nil
}

func invalidRecord(field string, value int) error {
	return &oleandervalve.InvalidError{Field: "record: " + field, Value: strconv.Itoa(value), Remedy: "remove the row"}
}

const (
	// RecordPrefix is the key prefix of job records.
	RecordPrefix oleandervalve.Key = "jobs/main/"
	// SpecPrefix is the key prefix of job specifications.
	SpecPrefix oleandervalve.Key = "specs/main/"
)

// Compact returns the record without what no reader needs: the executors and checkpoints of
// tasks that are done, and the checkpoints and crash histories of a job that has ended. The
// records of large jobs are written after each burst of ends, so their size counts.
func (r Record) Compact() Record {
	index := make(map[int]int, len(r.Executors))
	tasks := make([]TaskRecord, len(r.Tasks))
	var executors []ExecutorRef
	for i, t := range r.Tasks {
		switch t.State {
		case TaskAssigned:
			n, ok := index[t.ExecutorIndex]
			if !ok {
				n = len(executors)
				index[t.ExecutorIndex] = n
				executors = append(executors, r.Executors[t.ExecutorIndex])
			}
			t.ExecutorIndex = n
		case TaskDone:
			t.ExecutorIndex, t.Checkpoint = 0, ""
		case TaskWaiting:
			t.ExecutorIndex = 0
		}
		tasks[i] = t
	}
	r.Tasks, r.Executors = tasks, executors
	if r.State.Terminal() {
		r.Crashes, r.Unconfirmed = nil, nil
		r = r.withoutCheckpoints()
	}
	return r
}

// EncodeWithin returns the stored form of the record. If it is larger than limit bytes, it
// leaves out what a new leader can do without, as far as needed: crash histories that make no
// task suspect, those with a single incident, checkpoints, and the other histories. left tells
// what is missing; nothing is changed in r.
func (r Record) EncodeWithin(limit int) (value []byte, left []string) {
	value = Encode(r)
	for _, reduce := range []struct {
		what  string
		apply func(Record) Record
	}{
		{"unsuspected", func(r Record) Record {
			return r.withHistories(func(h crash.History) bool { return h.Suspect() })
		}},
		{"singleIncidents", func(r Record) Record {
			return r.withHistories(func(h crash.History) bool { return len(h.Incidents) > 1 })
		}},
		{"checkpoints", Record.withoutCheckpoints},
		{"crashes", func(r Record) Record { return r.withHistories(func(crash.History) bool { return false }) }},
	} {
		if len(value) <= limit {
			return value, left
		}
		r = reduce.apply(r)
		value, left = Encode(r), append(left, reduce.what)
	}
	return value, left
}

// withHistories returns the record with those crash histories that keep selects.
func (r Record) withHistories(keep func(crash.History) bool) Record {
	kept := map[int]crash.History{}
	for i, h := range r.Crashes {
		if keep(h) {
			kept[i] = h
		}
	}
	r.Crashes = kept
	return r
}

func (r Record) withoutCheckpoints() Record {
	r.Tasks = slices.Clone(r.Tasks)
	for i := range r.Tasks {
		r.Tasks[i].Checkpoint = ""
	}
	return r
}

// RecordKey returns the key of the row that holds a job's record.
func RecordKey(j oleandervalve.JobID) oleandervalve.Key {
	return RecordPrefix + oleandervalve.Key(j)
}

// SpecKey returns the key of the row that holds a job's specification.
func SpecKey(j oleandervalve.JobID) oleandervalve.Key { return SpecPrefix + oleandervalve.Key(j) }

var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the stored form of a row value.
func Encode(v any) []byte {
	b, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads a row value that Encode returned.
func Decode(row oleandervalve.Row, v any) error {
	if err := cbor.Unmarshal(row.Value, v); err != nil {
		return &oleandervalve.InvalidError{
			Field: "row " + string(row.Key), Value: "unreadable",
			Remedy: "remove the row or restore it with this release: " + err.Error(),
		}
	}
	return nil
}
