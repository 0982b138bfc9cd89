package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that use up all their retries during an outage of the
// table. A caller whose first attempt comes when the outage is detected must make
// its fifth attempt after more than ten seconds, and its first retry after one.
func TestRetriesOutlastOutage(t *testing.T) {
	is := is.New(t)
	elapsed := refuseSubmissionsAfter
	is.Equal(retryAfterOutage(elapsed), time.Second)
	for range 4 {
		// The HTTP interface reports whole seconds, rounded up.
		elapsed += (retryAfterOutage(elapsed) + time.Second - 1).Truncate(time.Second)
	}
	is.True(elapsed > 10*time.Second)
}
