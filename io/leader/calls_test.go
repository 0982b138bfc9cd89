package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that spend all their retries within an outage of the
// table: five attempts of a caller that comes when the outage is noticed must
// reach beyond ten seconds, and the first retry must come soon.
func TestRetriesReachBeyondAnOutage(t *testing.T) {
	is := is.New(t)
	at := refuseAfter
	is.Equal(comeBack(at), time.Second)
	for range 4 {
		// The interface tells whole seconds, rounded up.
		at += (comeBack(at) + time.Second - 1).Truncate(time.Second)
	}
	is.True(at > 10*time.Second)
}
