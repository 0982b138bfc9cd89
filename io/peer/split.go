package peer

import "oleandervalve"

const (
	// maxPartBytes limits the estimated size of the lists in a message that is split.
	maxPartBytes = MaxFrame / 2
	// runBytes is the largest encoded size of a list entry of a run without its texts.
	runBytes = 80
)

// InventoryPart carries the first entries of an inventory that is too large for one message.
// The ExecutorInventory that follows carries the rest.
type InventoryPart struct {
	Running []oleandervalve.RunningTask `cbor:"1,keyasint,omitempty"`
	Ended   []oleandervalve.EndedTask   `cbor:"2,keyasint,omitempty"`
}

const typeInventoryPart Type = "inventoryPart"

// Type returns "inventoryPart".
func (*InventoryPart) Type() Type { return typeInventoryPart }

// Append adds the entries of an earlier part before those of the inventory.
func (m *ExecutorInventory) Append(parts ...*InventoryPart) {
	var running []oleandervalve.RunningTask
	var ended []oleandervalve.EndedTask
	for _, p := range parts {
		running, ended = append(running, p.Running...), append(ended, p.Ended...)
	}
	m.Running, m.Ended = append(running, m.Running...), append(ended, m.Ended...)
}

// SplitInventory returns messages that fit into frames: the inventory, or, if it is too large,
// parts and the inventory with the rest of its entries. A leader of an earlier release knows no
// parts.
func SplitInventory(m ExecutorInventory) []Message {
	if runningSize(m.Running)+endsSize(m.Ended) <= maxPartBytes {
		return []Message{&m}
	}
	var out []Message
	for len(m.Running) > 0 {
		n := runningThatFit(m.Running)
		out = append(out, &InventoryPart{Running: m.Running[:n]})
		m.Running = m.Running[n:]
	}
	for n := EndsThatFit(m.Ended); n < len(m.Ended); n = EndsThatFit(m.Ended) {
		out = append(out, &InventoryPart{Ended: m.Ended[:n]})
		m.Ended = m.Ended[n:]
	}
	return append(out, &m)
}

// runningSize returns the largest encoded size of entries of running runs.
func runningSize(runs []oleandervalve.RunningTask) int {
	size := 0
	for _, r := range runs {
		size += runBytes + len(r.Task.Job) + len(r.Checkpoint)
	}
	return size
}

// endsSize returns the largest encoded size of entries of ended runs.
func endsSize(ends []oleandervalve.EndedTask) int {
	size := 0
	for _, e := range ends {
		size += runBytes + len(e.Task.Job) + len(e.Checkpoint) + len(e.How)
	}
	return size
}

func runningThatFit(runs []oleandervalve.RunningTask) int {
	size := 0
	for i := range runs {
		size += runningSize(runs[i : i+1])
		if size > maxPartBytes {
			return max(i, 1)
		}
	}
	return len(runs)
}

// EndsThatFit returns how many of the first ends fit into one message, which is at least one if
// there are any.
func EndsThatFit(ends []oleandervalve.EndedTask) int {
	size := 0
	for i := range ends {
		size += endsSize(ends[i : i+1])
		if size > maxPartBytes {
			return max(i, 1)
		}
	}
	return len(ends)
}
