package dispatch

import (
	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// LearnedKey is the key of the row that holds the learned interference and run times. It
// lets a new leader avoid interference with latency-critical tasks without having to
// observe it first.
const LearnedKey oleandervalve.Key = "learned/main/model"

// learned is the value of the row with LearnedKey.
type learned struct {
	Contention []contention.RegressionState    `cbor:"1,keyasint,omitempty"`
	RunTimes   map[work.QueueName]runTimeModel `cbor:"2,keyasint,omitempty"`
}

// LearnedRow returns the value of the row with LearnedKey, or nil if nothing has been learned.
// Latency-critical images that don't fit into the row are left out.
func (d *Dispatcher) LearnedRow() []byte {
	l := learned{Contention: d.contention.Snapshot(), RunTimes: map[work.QueueName]runTimeModel{}}
	for q, m := range d.runTimeModels {
		l.RunTimes[q] = *m
	}
	if len(l.Contention) == 0 && len(l.RunTimes) == 0 {
		return nil
	}
	value := work.Encode(l)
	for len(value) > maxLearnedBytes && len(l.Contention) > 0 {
		l.Contention = l.Contention[:len(l.Contention)-1]
		value = work.Encode(l)
	}
	if len(value) > maxLearnedBytes {
		return nil
	}
	return value
}

// maxLearnedBytes limits the size of that value; the table accepts 64 KiB per row.
const maxLearnedBytes = 56 << 10

// RestoreLearned restores the state stored by a previous leader.
func (d *Dispatcher) RestoreLearned(row oleandervalve.Row) error {
	var l learned
	if err := work.Decode(row, &l); err != nil {
		return err
	}
	d.contention.Restore(l.Contention)
	for q, m := range l.RunTimes {
		d.runTimeModels[q] = &m
	}
	d.note("recalled", "", map[string]any{"servingImages": len(l.Contention), "queues": len(l.RunTimes), "rowVersion": row.Version})
	return nil
}
