package dispatch

import (
	"oleandervalve"
	"oleandervalve/core/work"
)

const (
	// jobMemory, stepMemory and taskMemory are the bytes that a job, each occurrence of a step and
	// each task take in memory, and dependencyMemory those of an entry of a step's dependencies.
	jobMemory        = 2 << 10
	stepMemory       = 512
	taskMemory       = 64
	dependencyMemory = 16
	// usualJobMemory is more than a usual job takes. Larger jobs leave the share of 1/usualShare of
	// the memory to usual ones.
	usualJobMemory = 16 << 10
	usualShare     = 2
	// queueShare is the share of Options.MaxActive, one part in so many, that queues may have
	// together beyond it.
	queueShare = 4
)

// memoryOf returns the memory that a job takes. The load that it answers is many jobs of the
// largest allowed size, of which each takes a hundred times the memory of a usual one.
func memoryOf(s work.Spec, state work.State) oleandervalve.Bytes {
	n := jobMemory + len(s.Payload) + len(s.Steps)*s.Occurrences()*stepMemory
	for _, st := range s.Steps {
		n += len(st.Label) + len(st.DataRack) + len(st.Image) + len(st.After)*dependencyMemory
	}
	if state != work.Completed {
		n += s.TaskCount() * taskMemory
	}
	return oleandervalve.Bytes(n)
}

// countMemory updates the memory that a known job counts for.
func (d *Dispatcher) countMemory(j *job) {
	n := memoryOf(j.spec, j.rec.State)
	d.jobMemory += n - j.memory
	j.memory = n
}

// memoryFull reports whether there is no memory for another job. A single job always has room.
func (d *Dispatcher) memoryFull(s work.Spec) bool {
	n, limit := memoryOf(s, work.Pending), d.options.MaxMemory
	if n > usualJobMemory {
		limit -= limit / usualShare
	}
	return d.options.MaxMemory > 0 && d.jobMemory > 0 && d.jobMemory+n > limit
}

// countActive changes the number of open jobs, of all queues and of the job's queue.
func (d *Dispatcher) countActive(j *job, by int) {
	d.activeJobs += by
	q := j.rec.Queue.Name
	d.activeByQueue[q] += by
	if d.activeByQueue[q] == 0 {
		delete(d.activeByQueue, q)
	}
}

// activeFull reports whether a queue may have no further open job. When one queue fills Options.MaxActive,
// jobs of the others are still accepted, each with the same share of a part beyond it.
func (d *Dispatcher) activeFull(q work.QueueName) bool {
	limit := d.options.MaxActive
	if limit == 0 || d.activeJobs < limit {
		return false
	}
	extra, queues := limit/queueShare, len(d.activeByQueue)
	if d.activeByQueue[q] == 0 {
		queues++
	}
	return d.activeJobs >= limit+extra || d.activeByQueue[q] >= extra/queues
}
