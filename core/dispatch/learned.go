package dispatch

import (
	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// LearnedKey is the row with what the leader has learned of images and run
// times, so that a new leader does not disturb serving tasks to learn it again.
const LearnedKey oleandervalve.Key = "learned/main/model"

// learned is the value of the row.
type learned struct {
	Contention []contention.Learned         `cbor:"1,keyasint,omitempty"`
	Durations  map[work.QueueName]durations `cbor:"2,keyasint,omitempty"`
}

// Learned returns the value of the row, or nil if nothing has been learned.
// Serving images that don't fit into a row are left out.
func (d *Dispatcher) Learned() []byte {
	l := learned{Contention: d.contention.Snapshot(), Durations: map[work.QueueName]durations{}}
	for q, e := range d.durations {
		l.Durations[q] = *e
	}
	if len(l.Contention) == 0 && len(l.Durations) == 0 {
		return nil
	}
	value := work.Encode(l)
	for len(value) > maxLearned && len(l.Contention) > 0 {
		l.Contention = l.Contention[:len(l.Contention)-1]
		value = work.Encode(l)
	}
	if len(value) > maxLearned {
		return nil
	}
	return value
}

// maxLearned bounds the value of the row in bytes, below the table's limit of 64 KiB a row.
const maxLearned = 56 << 10

// Recall takes what an earlier leader has learned.
func (d *Dispatcher) Recall(row oleandervalve.Row) error {
	var l learned
	if err := work.Decode(row, &l); err != nil {
		return err
	}
	d.contention.Restore(l.Contention)
	for q, e := range l.Durations {
		d.durations[q] = &e
	}
	d.note("recalled", "", map[string]any{"servingImages": len(l.Contention), "queues": len(l.Durations), "rowVersion": row.Version})
	return nil
}
