package operatorhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"oleandervalve"
	"oleandervalve/core/operator"
)

const (
	// Requests per second that one token holder may send. At this rate a script
	// makes the 1,400 changes of a day in a few minutes.
	callerRate  = 10
	callerBurst = 100
	// Attempts per second with an invalid token that are recorded for one address.
	wrongTokenRate  = 1
	wrongTokenBurst = 10
	// maxLimiters bounds the memory for limiters, because the number of client
	// addresses is not bounded.
	maxLimiters   = 4096
	maxTokenBytes = 512
)

// keyedLimiters holds a rate limiter for each token holder or address.
type keyedLimiters struct {
	mu    sync.Mutex
	limit rate.Limit
	burst int
	byKey map[string]*rate.Limiter
}

func newKeyedLimiters(l rate.Limit, burst int) *keyedLimiters {
	return &keyedLimiters{limit: l, burst: burst, byKey: map[string]*rate.Limiter{}}
}

func (l *keyedLimiters) allow(key string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.byKey[key]
	if limiter == nil {
		if len(l.byKey) >= maxLimiters {
			clear(l.byKey)
		}
		limiter = rate.NewLimiter(l.limit, l.burst)
		l.byKey[key] = limiter
	}
	return limiter.AllowN(now, 1)
}

// Authenticator maps the bearer token of a request to its holder.
type Authenticator struct {
	watcher *Watcher
	// bootstrap is the hash of the token from the settings with which the first
	// tokens are created, or empty if none is set.
	bootstrap []byte
	admin     oleandervalve.TeamID
}

// NewAuthenticator returns an authenticator. If bootstrapHash is not empty, the
// token with this hash has the operator role in the admin team. Errors are of
// type *oleandervalve.InvalidError.
func NewAuthenticator(w *Watcher, bootstrapHash string, admin oleandervalve.TeamID) (*Authenticator, error) {
	b, err := hex.DecodeString(bootstrapHash)
	if err != nil || len(b) != 0 && len(b) != sha256.Size {
		return nil, &oleandervalve.InvalidError{
			Field: "bootstrapTokenHash", Value: "(redacted)",
			Remedy: "give the SHA-256 hash of the token as 64 hexadecimal digits, never the token",
		}
	}
	return &Authenticator{watcher: w, bootstrap: b, admin: admin}, nil
}

// Authenticate returns the holder of the request's token, or *APIError.
func (a *Authenticator) Authenticate(r *http.Request) (operator.Actor, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" || len(token) > maxTokenBytes {
		return operator.Actor{}, unauthorized("the request has no bearer token")
	}
	h := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(h[:], a.bootstrap) == 1 {
		return operator.Actor{Name: "bootstrap", Team: a.admin, Roles: []operator.Role{operator.RoleOperator}}, nil
	}
	var actor operator.Actor
	var found, ready bool
	a.watcher.WithReplica(func(r *operator.Replica) {
		ready = r.Ready()
		actor, found = r.Authenticate(token)
	})
	switch {
	case !ready:
		return operator.Actor{}, &APIError{
			Status: http.StatusServiceUnavailable, Reason: ReasonNotReady, Message: "the entry has no configuration yet",
			Remedy: "send the request again; another entry may answer it", RetryAfterMS: 1000,
		}
	case !found:
		return operator.Actor{}, unauthorized("the bearer token is not known")
	}
	return actor, nil
}

func unauthorized(message string) *APIError {
	return &APIError{
		Status: http.StatusUnauthorized, Reason: ReasonUnauthorized, Message: message,
		Remedy: "send the header Authorization: Bearer with a token whose hash an operator has configured",
	}
}

// unauthenticated is the actor in audit records of requests without a valid token.
var unauthenticated = operator.Actor{Name: "(unauthenticated)"}

// guard returns a handler that authenticates the request, applies the rate limit
// and checks the role before it calls the given handler.
func (a *API) guard(role operator.Role, handler func(http.ResponseWriter, *http.Request, operator.Actor) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		actor, err := a.auth.Authenticate(r)
		if err != nil {
			a.recordUnauthenticated(r, toAPIError(err))
			a.writeError(w, r, err)
			return
		}
		if !a.callerLimits.allow(actor.Name, a.clock.Now()) {
			a.writeError(w, r, &APIError{
				Status: http.StatusTooManyRequests, Reason: ReasonRateLimited, Message: "too many requests with this token",
				Remedy: "send at most 10 requests per second", RetryAfterMS: 1000,
			})
			return
		}
		if !actor.HasRole(role) {
			err := &operator.ForbiddenError{
				Actor: actor.Name, Action: r.Method + " " + r.URL.Path,
				Remedy: "use a token with the role " + string(role),
			}
			if r.Method != http.MethodGet {
				a.store.RecordRefused(r.Context(), a.attemptedChange(r), actor, ReasonForbidden, err.Error())
			}
			a.writeError(w, r, err)
			return
		}
		if err := handler(w, r, actor); err != nil {
			a.writeError(w, r, err)
		}
	}
}

// recordUnauthenticated adds a change that was attempted without a valid token to
// the audit trail, at a limited rate for each address. The limit does not affect
// requests with valid tokens from the same address.
func (a *API) recordUnauthenticated(r *http.Request, e *APIError) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if r.Method == http.MethodGet || e.Reason != ReasonUnauthorized || !a.wrongTokenLimits.allow(host, a.clock.Now()) {
		return
	}
	a.store.RecordRefused(r.Context(), a.attemptedChange(r), unauthenticated, e.Reason, e.Message)
}
