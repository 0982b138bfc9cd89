package callerhttp_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/callerkey"
	"oleandervalve/io/callerhttp"
)

// Guards against a status that makes a caller repeat a request that may have run,
// or give up a request that is safe to repeat.
func TestWriteErrorOfKeyedCall(t *testing.T) {
	for _, c := range []struct {
		outcome oleandervalve.Outcome
		reason  oleandervalve.Reason
		status  int
	}{
		{oleandervalve.OutcomeUnknown, callerkey.ReasonKeyPending, http.StatusConflict},
		{oleandervalve.OutcomeUnknown, callerkey.ReasonKeyIndeterminate, http.StatusBadGateway},
		{oleandervalve.OutcomeUnknown, callerkey.ReasonOwnerUnreachable, http.StatusBadGateway},
		{oleandervalve.OutcomeUnknown, callerkey.ReasonOwnerNoReply, http.StatusGatewayTimeout},
		{oleandervalve.OutcomeUnknown, callerkey.ReasonAnswerTooLarge, http.StatusConflict},
		{oleandervalve.OutcomeNotRun, callerkey.ReasonBodyMismatch, http.StatusUnprocessableEntity},
		{oleandervalve.OutcomeNotRun, callerkey.ReasonTimestampAhead, http.StatusBadRequest},
		{oleandervalve.OutcomeNotRun, callerkey.ReasonKeysFull, http.StatusServiceUnavailable},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			is := is.New(t)
			r := callerkey.Result{Execution: callerkey.Execution{Outcome: c.outcome, Reason: c.reason}}
			w := httptest.NewRecorder()
			callerhttp.WriteError(w, &callerhttp.KeyError{
				Outcome: c.outcome, Reason: c.reason, RetryAfter: 50 * time.Millisecond, Status: r.ResponseStatus(),
			})
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get(callerhttp.HeaderOutcome), string(c.outcome))
			is.Equal(w.Header().Get(callerhttp.HeaderReason), string(c.reason))
			is.Equal(w.Header().Get("Retry-After"), "1")
		})
	}
	is := is.New(t)
	w := httptest.NewRecorder()
	callerhttp.WriteError(w, &oleandervalve.NotRunError{Reason: callerkey.ReasonTimestampAhead}) // refused by the entry itself
	is.Equal(w.Code, http.StatusBadRequest)
}
