package following

import "time"

// minDoubtAge is the age from which on a proof of leadership raises doubts. It is longer than
// another entry usually takes to replace a leader.
const minDoubtAge = 3 * time.Second

// Doubts tells how old the leader's last proof was when the agent last asked the table.
type Doubts struct{ askedAt time.Duration }

// Ask reports whether to ask the table, given the present age of the last proof, and records
// that it is asked. During an outage of the table it is asked at a falling rate: each time that
// the age has doubled.
func (d *Doubts) Ask(proofAge time.Duration) bool {
	if proofAge < minDoubtAge {
		d.askedAt = 0
		return false
	}
	if proofAge < 2*d.askedAt {
		return false
	}
	d.askedAt = proofAge
	return true
}
