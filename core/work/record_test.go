package work

import (
	"testing"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against a stored record that names the wrong executor of a run or has lost a
// checkpoint that the next run needs, and against one that still lists executors without runs.
func TestCompactKeepsRunsAndCheckpoints(t *testing.T) {
	is := is.New(t)
	executor := func(id oleandervalve.AgentID) ExecutorRef { return ExecutorRef{Agent: id} }
	full := Record{
		State:     Running,
		Executors: []ExecutorRef{executor("a"), executor("b"), executor("c"), executor("d")},
		Tasks: []TaskRecord{
			{State: TaskDone, Run: 1, ExecutorIndex: 0, Checkpoint: "done"},
			{State: TaskAssigned, Run: 2, ExecutorIndex: 3, Checkpoint: "saved"},
			{State: TaskWaiting, Run: 3, Failures: 1, ExecutorIndex: 2, Checkpoint: "kept"},
			{State: TaskAssigned, Run: 1, ExecutorIndex: 1},
			{State: TaskAssigned, Run: 1, ExecutorIndex: 3},
		},
	}
	got := full.Compact()
	is.Equal(got.Executors, []ExecutorRef{executor("d"), executor("b")})
	is.Equal(got.Tasks, []TaskRecord{
		{State: TaskDone, Run: 1},
		{State: TaskAssigned, Run: 2, ExecutorIndex: 0, Checkpoint: "saved"},
		{State: TaskWaiting, Run: 3, Failures: 1, Checkpoint: "kept"},
		{State: TaskAssigned, Run: 1, ExecutorIndex: 1},
		{State: TaskAssigned, Run: 1, ExecutorIndex: 0},
	})
	is.Equal(full.Executors[0], executor("a")) // the record itself is unchanged
	is.Equal(full.Tasks[0].Checkpoint, "done")
	is.Equal(len(Record{State: Completed}.Compact().Tasks), 0)
}
