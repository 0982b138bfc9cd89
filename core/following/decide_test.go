package following

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against agents that load the table during an outage of it, or ask it while their leader
// is sound.
func TestTableIsAskedAtFallingRate(t *testing.T) {
	is := is.New(t)
	var d Inquiry
	askedAt := func(from, to time.Duration) []time.Duration {
		var out []time.Duration
		for age := from; age <= to; age += 500 * time.Millisecond {
			if d.Ask(age) {
				out = append(out, age)
			}
		}
		return out
	}
	is.Equal(len(askedAt(0, 2500*time.Millisecond)), 0)
	outage := []time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second, 24 * time.Second}
	is.Equal(askedAt(0, 30*time.Second), outage)
	is.Equal(askedAt(0, 30*time.Second), outage) // a proof in between
}
