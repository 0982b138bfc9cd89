package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"oleandervalve"
	"oleandervalve/io/leader"
)

// cases are the cases by name.
var cases = map[string]func(*deployment) error{
	"late-leave":    lateLeave,
	"slow-pool":     slowPool,
	"lost-together": lostTogether,
	"held":          heldExecutor,
	"bad-spec":      badSpec,
	"lost-side":     lostSide,
}

const testJob = "5c0e7a21d94b36f8"

// submit hands in a job at a queue and fails unless it is accepted.
func (d *deployment) submit(queue, job, steps string) error {
	status, body := d.call(http.MethodPost, queue+job, []byte(`{"spec":"text","steps":[`+steps+`]}`))
	d.rec.logf("POST %s: %d %s", job, status, body)
	if status != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %d %s", status, body)
	}
	return nil
}

// await asks for the job until it has the state.
func (d *deployment) await(job, state string, timeout time.Duration) bool {
	last := ""
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, body := d.call(http.MethodGet, urgent+job, nil)
		if answer := fmt.Sprint(status, " ", body); answer != last {
			last = answer
			d.rec.logf("GET %s: %s", job, answer)
		}
		if status == http.StatusOK && body == `{"state":"`+state+`"}` {
			return true
		}
	}
	return false
}

// lateLeave plays the planned restart of an executor under its id. The path to its agent is cut for
// three seconds as it says that it leaves, so that this call arrives after the next life has
// registered and works.
func lateLeave(d *deployment) error {
	const (
		cut = 3200 * time.Millisecond
		// retransmission is when TCP repeats for the fifth time what was sent as the cut began.
		retransmission = 6200 * time.Millisecond
		runTime        = 9 * time.Second
	)
	if err := d.start(3, func(string) time.Duration { return runTime }); err != nil {
		return err
	}
	x := d.executors[0]
	x.drain(2500 * time.Millisecond)
	if d.trouble {
		x.path.cut(cut, retransmission)
		d.rec.logf("the path from %s to its agent is cut", x.id)
	}
	began := time.Now()
	status, err := x.post(context.Background(), "/Instances.Deregister/"+x.id, nil)
	d.rec.logf("%s life 1 says that it leaves: %d %v", x.id, status, err)
	x.end("planned")
	time.Sleep(1500 * time.Millisecond)
	if err := x.begin(); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(4500 * time.Millisecond)))
	if err := d.submit(urgent, testJob, `{"count":9,"cpu":2000,"memMb":64,"estimateMs":9000}`); err != nil {
		return err
	}
	if !d.await(testJob, "completed", 40*time.Second) {
		d.rec.logf("the job has not been completed")
	}
	return nil
}

// poolLabels gives the first three executors a kind of their own, in a rack of their own.
func poolLabels(i int) []string {
	if i < poolSize {
		return []string{poolKind, "r1"}
	}
	return []string{"a", fmt.Sprintf("r%d", 1+i/3)}
}

const (
	// executors is the number of executors of the smallest deployment in force.
	executors = 11
	poolSize  = 3
	poolKind  = "b"
)

// slowPool plays jobs that run six times as long as declared on the executors of one kind. A
// long-running job is handed in that needs this kind, for which there is capacity.
func slowPool(d *deployment) error {
	const (
		declared = 4300 * time.Millisecond
		factor   = 6
		usual    = 1700 * time.Millisecond
		traffic  = 30 * time.Second
	)
	d.labels = poolLabels
	if err := d.start(executors, func(task string) time.Duration {
		switch {
		case task[0] == 'a' && d.trouble:
			return factor * declared
		case task[0] == 'a':
			return declared
		case task[0] == 'c':
			return time.Hour
		}
		return usual
	}); err != nil {
		return err
	}
	began := time.Now()
	done := make(chan struct{})
	defer func() { <-done }()
	go func() {
		defer close(done)
		for i := 0; time.Since(began) < traffic; i++ {
			_ = d.submit(urgent, fmt.Sprintf("b%015x", i), `{"count":2,"cpu":960,"memMb":1900,"estimateMs":1700,"requirements":"a"}`) // the answer is recorded
			time.Sleep(200 * time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	// Two of these fit on an executor beside the long-running task.
	for i := range 2 * poolSize {
		if err := d.submit(urgent, fmt.Sprintf("a%015x", i), `{"count":1,"cpu":2000,"memMb":24000,"estimateMs":4300,"requirements":"b"}`); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	const job = "c000000000000000"
	if err := d.submit(urgent, job, `{"count":1,"cpu":1000,"memMb":1000,"estimateMs":1000,"requirements":"b","longRunning":true,"image":"w"}`); err != nil {
		return err
	}
	d.watchIdle(job, lastingGrace, began.Add(traffic))
	return nil
}

const (
	// idleLimit is how long a job may have nothing running although there is capacity.
	idleLimit = 3 * time.Second
	// lastingGrace is how long after its last run a task that lasts may wait before that.
	lastingGrace = 6 * time.Second
)

// watchIdle checks until a time that a job that has not ended doesn't have nothing running for longer
// than idleLimit, which counts from now on and from the grace after its last run.
func (d *deployment) watchIdle(job string, grace time.Duration, until time.Time) {
	began := time.Now()
	since := began.Add(grace)
	state := ""
	for time.Now().Before(until) {
		time.Sleep(100 * time.Millisecond)
		status, body := d.call(http.MethodGet, urgent+job, nil)
		if body != state {
			state = body
			d.rec.logf("GET %s: %d %s", job, status, body)
		}
		if status == http.StatusOK && body != `{"state":"pending"}` && body != `{"state":"running"}` {
			return
		}
		last := d.rec.lastRunning(job)
		if last.Before(began) {
			last = began
		}
		if from := last.Add(grace); from.After(since) {
			since = from
		}
		if idle := time.Since(since); idle > idleLimit {
			d.rec.fail("LOST: job %s has had nothing running for %.1f s, and the executors of its kind run%s tasks", job, time.Since(last).Seconds(), d.poolUse())
			return
		}
	}
}

// poolUse tells how many tasks the executors of the pool run.
func (d *deployment) poolUse() string {
	use := ""
	for _, x := range d.executors {
		if x.labels[0] == poolKind {
			use += fmt.Sprintf(" %d", x.count())
		}
	}
	return use
}

// waitingAge is how long after its acceptance a job that has not begun must be counted as waiting.
const waitingAge = 5 * time.Second

// lostSide plays the loss of an instance with an executor while jobs arrive. Callers ask how many
// jobs wait.
func lostSide(d *deployment) error {
	const (
		runTime  = 4 * time.Second
		interval = 50 * time.Millisecond
		traffic  = 4 * time.Second
	)
	if err := d.start(executors, func(string) time.Duration { return runTime }); err != nil {
		return err
	}
	var accepted sync.Map
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; time.Since(began) < traffic; i++ {
			job := fmt.Sprintf("b%015x", i)
			if d.submit(urgent, job, `{"count":1,"cpu":500,"memMb":500,"estimateMs":4000}`) == nil {
				accepted.Store(job, time.Now())
			}
			time.Sleep(interval)
		}
	}()
	time.Sleep(10 * interval)
	if d.trouble {
		// Without power nothing of the instance answers any more.
		d.agents[0].signal(syscall.SIGSTOP)
		d.executors[0].end("no power")
	}
	for time.Since(began) < traffic+2*waitingAge {
		time.Sleep(100 * time.Millisecond)
		asked := time.Now()
		status, body := d.call(http.MethodGet, urgent, nil)
		var answer struct {
			Waiting int `json:"waiting"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
			d.rec.logf("GET of the queue: %d %s", status, body)
			continue
		}
		waiting := 0
		accepted.Range(func(job, at any) bool {
			if asked.Sub(at.(time.Time)) > waitingAge && !d.rec.begun(job.(string)) { //nolint:forcetypeassert // the types stored above
				waiting++
			}
			return true
		})
		if waiting > 0 {
			d.rec.logf("GET of the queue: %d %s; %d jobs of over %s have not begun", status, body, waiting, waitingAge)
		}
		if 2*answer.Waiting < waiting {
			d.rec.fail("MIXED: %d jobs are given as waiting, and %d that were accepted over %s before have not begun", answer.Waiting, waiting, waitingAge)
		}
	}
	<-done
	return nil
}

// finishTime is when after the end of the traffic jobs are asked for.
const finishTime = 14 * time.Second

// badSpec plays a job that can never be done: the executors refuse its starts as invalid. Others that
// need executors of the same kind are handed in after it.
func badSpec(d *deployment) error {
	const (
		runTime = time.Second
		usual   = 20
		good    = 5
	)
	d.labels = poolLabels
	if err := d.start(executors, func(string) time.Duration { return runTime }); err != nil {
		return err
	}
	const bad = "a000000000000000"
	if d.trouble {
		for _, x := range d.executors {
			x.refuse(bad)
		}
	}
	if err := d.submitUsual(6, "b0"); err != nil {
		return err
	}
	if err := d.submit(urgent, bad, `{"count":24,"cpu":960,"memMb":1900,"estimateMs":1000,"requirements":"b"}`); err != nil {
		return err
	}
	if err := d.submitUsual(usual/2, "b1"); err != nil {
		return err
	}
	if err := d.checkFinish(good, `{"count":2,"cpu":2000,"memMb":1900,"estimateMs":1000,"requirements":"b"}`); err != nil {
		return err
	}
	refused := 0
	for _, x := range d.executors {
		refused += x.refusals()
	}
	d.rec.logf("starts refused with 400: %d", refused)
	return nil
}

// submitUsual hands in jobs that need executors of kind a. Their names begin with the prefix.
func (d *deployment) submitUsual(n int, prefix string) error {
	const interval = 150 * time.Millisecond
	for i := range n {
		if err := d.submit(urgent, fmt.Sprintf("%s%014x", prefix, i), `{"count":6,"cpu":960,"memMb":1900,"estimateMs":1000,"requirements":"a"}`); err != nil {
			return err
		}
		time.Sleep(interval)
	}
	return nil
}

// checkFinish hands in the last jobs of the traffic, and checks at its end that none of them has
// nothing running.
func (d *deployment) checkFinish(n int, steps string) error {
	for i := range n {
		if err := d.submit(batch, fmt.Sprintf("c%015x", i), steps); err != nil {
			return err
		}
	}
	d.rec.logf("the traffic ends")
	time.Sleep(finishTime)
	var watches sync.WaitGroup
	for i := range n {
		watches.Add(1)
		go func() {
			defer watches.Done()
			d.watchIdle(fmt.Sprintf("c%015x", i), 0, time.Now().Add(10*time.Second))
		}()
	}
	watches.Wait()
	return nil
}

// heldExecutor plays a job that runs six times as long as declared on the only executor of a kind. A
// long-running job that does not fit beside it waits for this executor, and small ones that do.
func heldExecutor(d *deployment) error {
	const (
		declared = 4300 * time.Millisecond
		factor   = 6
		usual    = 20
		small    = 3
	)
	d.labels = func(i int) []string {
		if i == 0 {
			return []string{poolKind, "r1"}
		}
		return []string{"a", fmt.Sprintf("r%d", 1+i/3)}
	}
	if err := d.start(executors, func(task string) time.Duration {
		switch {
		case task[0] == 'a' && d.trouble:
			return factor * declared
		case task[0] == 'a':
			return declared
		case task[0] == 'd':
			return time.Hour
		}
		return time.Second
	}); err != nil {
		return err
	}
	if err := d.submitUsual(usual, "b0"); err != nil {
		return err
	}
	if err := d.submit(batch, "a000000000000000", `{"count":1,"cpu":3500,"memMb":1900,"estimateMs":4300,"requirements":"b"}`); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if err := d.submit(urgent, "d000000000000000", `{"count":1,"cpu":5000,"memMb":1900,"estimateMs":1000,"requirements":"b","longRunning":true,"image":"w"}`); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return d.checkFinish(small, `{"count":2,"cpu":500,"memMb":1900,"estimateMs":1000,"requirements":"b"}`)
}

// lostTogether plays the loss of an instance with an executor, and right after it of the leading
// entry's. A long-running job has a task on each executor, and there is room for others.
func lostTogether(d *deployment) error {
	const (
		job     = "c000000000000000"
		between = 600 * time.Millisecond
	)
	if err := d.start(executors, func(string) time.Duration { return time.Hour }); err != nil {
		return err
	}
	if err := d.submit(urgent, job, fmt.Sprintf(`{"count":%d,"cpu":1000,"memMb":1000,"estimateMs":400,"longRunning":true,"image":"w"}`, 2*executors)); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	if d.trouble {
		d.agents[0].signal(syscall.SIGSTOP)
		d.executors[0].end("no power")
		time.Sleep(between)
		row, err := leader.DecodeRow(oleandervalve.Row{Version: 1, Value: d.table.Value("leader", "main", "leader")})
		if err != nil {
			return err
		}
		for i, h := range d.entries {
			if h.name == string(row.Entry) {
				h.signal(syscall.SIGSTOP)
				d.fronts = append(d.fronts[:i:i], d.fronts[i+1:]...)
			}
		}
		d.rec.logf("%s, which leads, loses power, as side-1 did", row.Entry)
	}
	d.watchTasks(job, 2*executors, time.Now().Add(14*time.Second))
	return nil
}

// watchTasks checks until a time that each task of a long-running job runs again within lastingGrace
// and idleLimit after its last run.
func (d *deployment) watchTasks(job string, n int, until time.Time) {
	broken := map[string]bool{}
	for time.Now().Before(until) {
		time.Sleep(100 * time.Millisecond)
		for i := range n {
			task := fmt.Sprintf("%s.0.0.%d", job, i)
			if idle := time.Since(d.rec.lastRunOf(task)); idle > lastingGrace+idleLimit && !broken[task] {
				broken[task] = true
				d.rec.fail("LOST: task %s has not run for %.1f s, and ten executors have 6 of 8 cores free", task, idle.Seconds())
			}
		}
	}
}
