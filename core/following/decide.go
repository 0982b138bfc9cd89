package following

import "time"

// minInquiryAge is the age from which on a proof of leadership makes an agent ask the table. It is
// longer than another entry usually takes to replace a leader.
const minInquiryAge = 3 * time.Second

// Inquiry tells how old the leader's last proof was when the agent last asked the table.
type Inquiry struct{ askedAt time.Duration }

// Ask reports whether to ask the table, given the present age of the last proof, and records
// that it is asked. During an outage of the table it is asked at a falling rate: each time that
// the age has doubled.
func (i *Inquiry) Ask(proofAge time.Duration) bool {
	if proofAge < minInquiryAge {
		i.askedAt = 0
		return false
	}
	if proofAge < 2*i.askedAt {
		return false
	}
	i.askedAt = proofAge
	return true
}
