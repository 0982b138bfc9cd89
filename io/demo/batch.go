package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/standin"
	"oleandervalve/io/taskowner"
)

const (
	mib = oleandervalve.Bytes(1) << 20
	// submitRetry is the delay before a submission with an unknown outcome is retried.
	submitRetry = 500 * time.Millisecond
)

// behaviours returns the actual behaviour of each kind of task on the platform's stand-in.
func behaviours() map[oleandervalve.KindName]standin.Behaviour {
	return map[oleandervalve.KindName]standin.Behaviour{
		"routeSheet": {Interference: 0.02},
		"nesting":    {Interference: 0.05},
		"noisy":      {Interference: 0.4},
	}
}

func kindSlug(k oleandervalve.KindName) string {
	if k == "routeSheet" {
		return "route-sheet"
	}
	return string(k)
}

// batchResult summarizes the batch tasks of a run.
type batchResult struct {
	Submitted int `json:"submitted"`
	Refused   int `json:"refused"`
	Finished  int `json:"finished"`
	Other     int `json:"other"`
	Evictions int `json:"evictions"`
	// Waiting counts unfinished tasks by state and reason.
	Waiting  map[string]int         `json:"waiting,omitempty"`
	Platform standin.PlatformCounts `json:"platform"`
}

// batch submits jobs and polls their status.
type batch struct {
	client   *http.Client
	balancer *balancer
	mu       sync.Mutex
	jobs     []taskowner.JobSpec
	result   batchResult
}

func newBatch(lb *balancer) *batch {
	return &batch{balancer: lb, client: &http.Client{Timeout: 10 * time.Second}}
}

// submit retries a submission until it is known whether the job was accepted. A
// conflict after an attempt with an unknown outcome shows that the earlier
// attempt was accepted.
func (b *batch) submit(ctx context.Context, s taskowner.JobSpec) {
	body, _ := json.Marshal(s)
	accepted := false
	for unknown := false; ctx.Err() == nil; unknown = true {
		p, err := b.client.Post(b.balancer.pick()+"/v1/jobs", "application/json", bytes.NewReader(body))
		if err == nil {
			p.Body.Close()
			accepted = p.StatusCode == http.StatusCreated || unknown && p.StatusCode == http.StatusConflict
			if accepted || p.StatusCode != http.StatusGatewayTimeout && p.StatusCode != http.StatusBadGateway {
				break
			}
		}
		time.Sleep(submitRetry)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !accepted {
		b.result.Refused += s.Tasks
		return
	}
	b.result.Submitted += s.Tasks
	b.jobs = append(b.jobs, s)
}

func (b *batch) status(j taskowner.JobSpec) (taskowner.JobStatus, error) {
	var s taskowner.JobStatus
	q, err := http.NewRequest(http.MethodGet, b.balancer.pick()+"/v1/jobs/"+string(j.Job), nil)
	if err != nil {
		return s, err
	}
	q.Header.Set(callerhttp.HeaderTeam, string(j.Team))
	p, err := b.client.Do(q)
	if err != nil {
		return s, err
	}
	defer p.Body.Close()
	return s, json.NewDecoder(p.Body).Decode(&s)
}

// wait polls the accepted jobs until all tasks have finished or the context ends.
func (b *batch) wait(ctx context.Context) {
	for {
		finished, other, evictions := 0, 0, 0
		waiting := map[string]int{}
		for _, j := range b.jobs {
			s, err := b.status(j)
			if err != nil {
				other += j.Tasks
				continue
			}
			for _, t := range s.Tasks {
				evictions += t.Evictions
				if t.State == job.StateFinished {
					finished++
				} else {
					other++
					waiting[fmt.Sprintf("%s: %s %s", j.Job, t.State, t.Reason)]++
				}
			}
		}
		b.result.Finished, b.result.Other, b.result.Evictions = finished, other, evictions
		b.result.Waiting = waiting
		if other == 0 || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(250 * time.Millisecond):
		}
	}
}
