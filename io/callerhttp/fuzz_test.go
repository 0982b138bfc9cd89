package callerhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"oleandervalve"
)

// recorder is a dispatcher that records the call that the handler parsed.
type recorder struct{ call Call }

func (r *recorder) Dispatch(_ context.Context, c Call, w http.ResponseWriter) error {
	r.call = c
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// Guards against a request that crashes the parser, is dispatched with a relative
// path or a timeout out of range, or forwards a hop-by-hop header.
func FuzzCall(f *testing.F) {
	f.Add("POST", "/call/formaro/a%2Fb?x=1", "500", "true", "body")
	f.Add("GET", "/call/s//..//x", "0", "maybe", "")
	f.Add("PUT", "/call/s", "600001", "false", strings.Repeat("x", MaxInlineBody+1))
	f.Fuzz(func(t *testing.T, method, target, timeout, idempotent, body string) {
		q, err := http.NewRequest(method, "http://h"+target, strings.NewReader(body))
		if err != nil || q.URL.Path == "" {
			return
		}
		q.RequestURI = q.URL.RequestURI()
		q.Header.Set(HeaderTimeout, timeout)
		q.Header.Set(HeaderIdempotent, idempotent)
		q.Header.Set("Connection", "close")
		r := &recorder{}
		w := httptest.NewRecorder()
		Handler(r, TrustedHeaders{}).ServeHTTP(w, q)
		if w.Code != http.StatusNoContent {
			if w.Code == http.StatusBadRequest && w.Header().Get(HeaderOutcome) != string(oleandervalve.OutcomeNotRun) {
				t.Fatalf("refused with outcome %q", w.Header().Get(HeaderOutcome))
			}
			return
		}
		c := r.call
		switch {
		case !strings.HasPrefix(c.Path, "/"):
			t.Fatalf("path %q is not absolute", c.Path)
		case c.Timeout <= 0 || c.Timeout > maxTimeout:
			t.Fatalf("timeout %s is out of range", c.Timeout)
		case c.Header.Get("Connection") != "" || c.Header.Get(HeaderTimeout) != "":
			t.Fatal("a hop-by-hop header is forwarded")
		case len(c.Inline) > MaxInlineBody+1 || c.Rest == nil && string(c.Inline) != body:
			t.Fatalf("body of %d bytes became %d", len(body), len(c.Inline))
		}
	})
}
