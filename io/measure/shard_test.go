package measure

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/job"
)

// noPlacement finds no worker for any waiting task.
type noPlacement struct{}

func (noPlacement) Choose(time.Time, job.Record) job.Choice {
	return job.Choice{Reason: "waitingForRoom"}
}

func (noPlacement) Refused(time.Time, oleandervalve.WorkerID, job.Record, oleandervalve.Reason) {}

// BenchmarkShard reports the memory of a shard and the CPU time of its tick for
// running tasks, in jobs of four tasks.
func BenchmarkShard(b *testing.B) {
	for _, n := range []int{500, 2000, 8000} {
		b.Run(fmt.Sprint("tasks=", n), func(b *testing.B) {
			base := heapAndStackBytes()
			s := job.NewShard(0, "entry-1", "entry-1.1", noPlacement{}, job.DefaultSettings)
			at := time.Unix(1_800_000_000, 0)
			for i, jobs := 0, 0; jobs < n/4; i++ {
				id := oleandervalve.JobID(fmt.Sprint("riviere-routesheet-20260304-", i))
				if job.ShardOf(id) != 0 {
					continue
				}
				jobs++
				if _, err := s.Observe(at, jobRows(b, id, at)...); err != nil {
					b.Fatal(err)
				}
			}
			s.Tick(at)
			perTask := (heapAndStackBytes() - base) / float64(n)
			for b.Loop() {
				s.Tick(at)
			}
			b.ReportMetric(perTask, "B/task")
			runtime.KeepAlive(s)
		})
	}
}

// jobRows returns the rows of a job with four running tasks.
func jobRows(b *testing.B, id oleandervalve.JobID, at time.Time) []oleandervalve.Row {
	var records []job.Record
	for k := range 4 {
		records = append(records, job.Record{SubmittedAt: at, Spec: oleandervalve.TaskSpec{
			Task: oleandervalve.TaskID(fmt.Sprintf("%s/%d", id, k)), Kind: "routeSheet", Team: "riviere-noire", Size: taskSize(), Where: "disk=ssd",
		}})
	}
	t := job.Create("m", job.Header{Job: id, Team: "riviere-noire"}, records)
	var rows []oleandervalve.Row
	for k, p := range t.Puts {
		if k > 0 {
			var r job.Record
			if err := json.Unmarshal(p.Value, &r); err != nil {
				b.Fatal(err)
			}
			r.State, r.Epoch, r.Worker = job.StateRunning, 1, "worker-1"
			r.Spec.Epoch = 1
			p.Value, _ = json.Marshal(r)
		}
		rows = append(rows, oleandervalve.Row{Key: p.Key, Value: p.Value, Version: 1, MutationID: "m", WrittenAt: at})
	}
	return rows
}
