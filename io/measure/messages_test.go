package measure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/lease"
	"oleandervalve/io/peer"
)

const gib = oleandervalve.Bytes(1) << 30

// sampleTime is the fixed time in all samples. It has a fraction of a second, as
// times of real clocks do.
var sampleTime = time.Date(2026, 3, 4, 5, 6, 7, 123456789, time.UTC)

func sampleRun(i int) job.Run {
	return job.Run{Task: oleandervalve.TaskID(fmt.Sprintf("riviere-routesheet-20260304-%d/3", i)), Epoch: 2}
}

func taskSize() oleandervalve.Resources { return oleandervalve.Resources{CPU: 1500, Memory: 4 * gib} }

func usageMessage(n int) peer.Message {
	m := &peer.Usage{}
	for i := range n {
		m.Samples = append(m.Samples, oleandervalve.UsageSample{Task: sampleRun(i).Task, Epoch: 2, At: sampleTime, Used: taskSize(), Slowdown: 1.0625})
	}
	return m
}

func residentsMessage(n int) peer.Message {
	m := &peer.Residents{Capacity: oleandervalve.Resources{CPU: 64000, Memory: 250 * gib}}
	for i := range n {
		m.Residents = append(m.Residents, peer.Resident{Run: sampleRun(i), Kind: "routeSheet", Team: "riviere-noire", Size: taskSize()})
	}
	return m
}

func demandMessage(n int) peer.Message {
	m := &peer.Demand{}
	for i := range n {
		m.Classes = append(m.Classes, peer.ClassDemand{Service: "formaro", Class: oleandervalve.ClassName(fmt.Sprint("pressing", i)), Waiting: 120, Teams: 3})
	}
	return m
}

func endpointsMessage(n int) peer.Message {
	m := &peer.Endpoints{Full: true}
	for i := range n {
		m.Endpoints = append(m.Endpoints, peer.EndpointStatus{
			Endpoint: oleandervalve.EndpointID(fmt.Sprint("kardos-executor-", i)), Service: "formaro", Slots: 8,
			State: peer.EndpointReady, Labels: map[string]string{"line": "glove", "floor": "2"},
		})
	}
	return m
}

// BenchmarkMessage reports the encoded size of messages and the time to encode and
// decode them.
func BenchmarkMessage(b *testing.B) {
	spec := oleandervalve.TaskSpec{
		Task: sampleRun(1).Task, Epoch: 2, Kind: "routeSheet", Team: "riviere-noire", Size: taskSize(),
		Labels: map[string]string{"app": "routes"}, Where: "disk=ssd,generation in (g2,g3)", Work: time.Hour,
	}
	samples := []struct {
		name string
		m    peer.Message
	}{
		{"heartbeat", &peer.Heartbeat{Sequence: 86400, SentAfter: 24 * time.Hour, Revision: 40000, Free: taskSize(), Digest: 1 << 60}},
		{"heartbeatAck", &peer.HeartbeatAck{Sequence: 86400, Revision: 40000}},
		{"leaseRenewed", &peer.LeaseRenewed{SentAfter: 24 * time.Hour}},
		{"credit", &peer.Credit{Endpoint: "kardos-executor-1", Class: "pressing", Count: 4, ValidFor: 2 * time.Second}},
		{"creditReturn", &peer.CreditReturn{Endpoint: "kardos-executor-1", Class: "pressing", Count: 4}},
		{"reserveTask", &peer.ReserveTask{Reserve: job.Reserve{Run: sampleRun(1), ID: "entry-1-0123456789ab-4711", Size: taskSize()}}},
		{"startTask", &peer.StartTask{Start: job.Start{Spec: spec, Incarnation: 1 << 60, ID: "entry-1-0123456789ab-4712"}}},
		{"taskReport", &peer.TaskReport{Report: job.Report{Worker: "riviere-worker-3", Run: sampleRun(1), Status: job.StatusFinished, Started: true, Progress: 1}}},
	}
	for _, n := range []int{1, 4, 16} {
		samples = append(samples, struct {
			name string
			m    peer.Message
		}{fmt.Sprint("demand/classes=", n), demandMessage(n)})
	}
	for _, n := range []int{1, 12, 48} {
		samples = append(samples, []struct {
			name string
			m    peer.Message
		}{
			{fmt.Sprint("usage/tasks=", n), usageMessage(n)},
			{fmt.Sprint("residents/tasks=", n), residentsMessage(n)},
			{fmt.Sprint("endpoints/endpoints=", n), endpointsMessage(n)},
		}...)
	}
	for _, x := range samples {
		b.Run(x.name, func(b *testing.B) {
			frame, err := peer.EncodeFrame(x.m)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				f, err := peer.EncodeFrame(x.m)
				if err == nil {
					_, err = peer.DecodeFrame(f)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(frame)), "bytes")
		})
	}
}

// BenchmarkRow reports the size of the table rows of tasks and worker leases.
func BenchmarkRow(b *testing.B) {
	record := job.Record{
		Job: "riviere-routesheet-20260304-1", State: job.StateRunning, SubmittedAt: sampleTime,
		Spec: oleandervalve.TaskSpec{Task: sampleRun(1).Task, Epoch: 2, Kind: "routeSheet", Team: "riviere-noire", Size: taskSize(), Where: "disk=ssd"},
	}
	b.Run("task", func(b *testing.B) {
		for b.Loop() {
			v, err := json.Marshal(record)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(v)), "bytes")
		}
	})
	for _, n := range []int{11, 44, 176} {
		b.Run(fmt.Sprint("workerLeases/workers=", n), func(b *testing.B) {
			row := lease.WorkerLeaseRow{Workers: map[oleandervalve.WorkerID]lease.Renewal{}}
			for i := range n {
				row.Workers[oleandervalve.WorkerID(fmt.Sprint("riviere-worker-", i))] = lease.Renewal{At: sampleTime}
			}
			for b.Loop() {
				var w bytes.Buffer
				if err := json.NewEncoder(&w).Encode(row); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(w.Len()), "bytes")
			}
		})
	}
}
