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

// SplitInventory returns messages that fit into frames: parts, if needed, and the inventory
// with the rest of its entries.
func SplitInventory(m ExecutorInventory) []Message {
	var out []Message
	for len(m.Running) > 0 {
		n := runningThatFit(m.Running)
		if n == len(m.Running) && len(m.Ended) == 0 {
			break
		}
		out = append(out, &InventoryPart{Running: m.Running[:n]})
		m.Running = m.Running[n:]
	}
	for n := EndsThatFit(m.Ended); n < len(m.Ended); n = EndsThatFit(m.Ended) {
		out = append(out, &InventoryPart{Ended: m.Ended[:n]})
		m.Ended = m.Ended[n:]
	}
	return append(out, &m)
}

func runningThatFit(runs []oleandervalve.RunningTask) int {
	size := 0
	for i, r := range runs {
		size += runBytes + len(r.Task.Job) + len(r.Checkpoint)
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
	for i, e := range ends {
		size += runBytes + len(e.Task.Job) + len(e.Checkpoint) + len(e.How)
		if size > maxPartBytes {
			return max(i, 1)
		}
	}
	return len(ends)
}
