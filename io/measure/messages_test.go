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

// at is the fixed time of all samples, with a fraction as real clocks have it.
var at = time.Date(2026, 3, 4, 5, 6, 7, 123456789, time.UTC)

func run(i int) job.Run {
	return job.Run{Task: oleandervalve.TaskID(fmt.Sprintf("riviere-routesheet-20260304-%d/3", i)), Epoch: 2}
}

func size() oleandervalve.Resources { return oleandervalve.Resources{CPU: 1500, Memory: 4 * gib} }

func usage(n int) peer.Message {
	m := &peer.Usage{}
	for i := range n {
		m.Samples = append(m.Samples, oleandervalve.UsageSample{Task: run(i).Task, Epoch: 2, At: at, Used: size(), Slowdown: 1.0625})
	}
	return m
}

func residents(n int) peer.Message {
	m := &peer.Residents{Capacity: oleandervalve.Resources{CPU: 64000, Memory: 250 * gib}}
	for i := range n {
		m.Residents = append(m.Residents, peer.Resident{Run: run(i), Kind: "routeSheet", Team: "riviere-noire", Size: size()})
	}
	return m
}

func demand(n int) peer.Message {
	m := &peer.Demand{}
	for i := range n {
		m.Classes = append(m.Classes, peer.ClassDemand{Service: "formaro", Class: oleandervalve.ClassName(fmt.Sprint("pressing", i)), Waiting: 120, Teams: 3})
	}
	return m
}

func endpoints(n int) peer.Message {
	m := &peer.Endpoints{Full: true}
	for i := range n {
		m.Endpoints = append(m.Endpoints, peer.EndpointStatus{
			Endpoint: oleandervalve.EndpointID(fmt.Sprint("kardos-executor-", i)), Service: "formaro", Slots: 8,
			State: peer.EndpointReady, Labels: map[string]string{"line": "glove", "floor": "2"},
		})
	}
	return m
}

// BenchmarkMessage reports the encoded size of each message and the time to encode and decode it.
func BenchmarkMessage(b *testing.B) {
	spec := oleandervalve.TaskSpec{
		Task: run(1).Task, Epoch: 2, Kind: "routeSheet", Team: "riviere-noire", Size: size(),
		Labels: map[string]string{"app": "routes"}, Where: "disk=ssd,generation in (g2,g3)", Work: time.Hour,
	}
	list := []struct {
		name string
		m    peer.Message
	}{
		{"heartbeat", &peer.Heartbeat{Sequence: 86400, SentAfter: 24 * time.Hour, Revision: 40000, Free: size(), Digest: 1 << 60}},
		{"heartbeatAck", &peer.HeartbeatAck{Sequence: 86400, Revision: 40000}},
		{"leaseRenewed", &peer.LeaseRenewed{SentAfter: 24 * time.Hour}},
		{"credit", &peer.Credit{Endpoint: "kardos-executor-1", Class: "pressing", Count: 4, ValidFor: 2 * time.Second}},
		{"creditReturn", &peer.CreditReturn{Endpoint: "kardos-executor-1", Class: "pressing", Count: 4}},
		{"reserveTask", &peer.ReserveTask{Reserve: job.Reserve{Run: run(1), ID: "entry-1-0123456789ab-4711", Size: size()}}},
		{"startTask", &peer.StartTask{Start: job.Start{Spec: spec, Incarnation: 1 << 60, ID: "entry-1-0123456789ab-4712"}}},
		{"taskReport", &peer.TaskReport{Report: job.Report{Worker: "riviere-worker-3", Run: run(1), Status: job.StatusFinished, Started: true, Progress: 1}}},
	}
	for _, n := range []int{1, 4, 16} {
		list = append(list, struct {
			name string
			m    peer.Message
		}{fmt.Sprint("demand/classes=", n), demand(n)})
	}
	for _, n := range []int{1, 12, 48} {
		list = append(list, []struct {
			name string
			m    peer.Message
		}{
			{fmt.Sprint("usage/tasks=", n), usage(n)},
			{fmt.Sprint("residents/tasks=", n), residents(n)},
			{fmt.Sprint("endpoints/endpoints=", n), endpoints(n)},
		}...)
	}
	for _, x := range list {
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

// BenchmarkRow reports the size of the rows that tasks and worker leases keep in the table.
func BenchmarkRow(b *testing.B) {
	record := job.Record{
		Job: "riviere-routesheet-20260304-1", State: job.StateRunning, SubmittedAt: at,
		Spec: oleandervalve.TaskSpec{Task: run(1).Task, Epoch: 2, Kind: "routeSheet", Team: "riviere-noire", Size: size(), Where: "disk=ssd"},
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
				row.Workers[oleandervalve.WorkerID(fmt.Sprint("riviere-worker-", i))] = lease.Renewal{At: at}
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
