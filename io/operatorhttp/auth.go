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
	// Requests per second of one token. An operator's script at this rate makes
	// the day's 1,400 changes in a few minutes.
	callerRate  = 10
	callerBurst = 100
	// Attempts per second with a wrong token from one address that are recorded.
	wrongTokenRate  = 1
	wrongTokenBurst = 10
	// maxLimiters bounds the memory for limiters of addresses that come and go.
	maxLimiters = 4096
	maxToken    = 512
)

// limiters holds a rate limiter for each caller or address.
type limiters struct {
	mu    sync.Mutex
	limit rate.Limit
	burst int
	by    map[string]*rate.Limiter
}

func newLimiters(l rate.Limit, burst int) *limiters {
	return &limiters{limit: l, burst: burst, by: map[string]*rate.Limiter{}}
}

func (l *limiters) allow(key string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.by[key]
	if x == nil {
		if len(l.by) >= maxLimiters {
			clear(l.by)
		}
		x = rate.NewLimiter(l.limit, l.burst)
		l.by[key] = x
	}
	return x.AllowN(now, 1)
}

// Authenticator finds the holder of the bearer token of a request.
type Authenticator struct {
	watcher *Watcher
	// bootstrap is the hash of a token from the settings, which makes the first
	// tokens; it is nil if there is none.
	bootstrap []byte
	admin     oleandervalve.TeamID
}

// NewAuthenticator returns an authenticator; bootstrapHash, if not empty, is
// the hash of a token that is an operator of the admin team. An error is
// *oleandervalve.InvalidError.
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
	if !ok || token == "" || len(token) > maxToken {
		return operator.Actor{}, unauthorized("the request has no bearer token")
	}
	h := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(h[:], a.bootstrap) == 1 {
		return operator.Actor{Name: "bootstrap", Team: a.admin, Roles: []operator.Role{operator.RoleOperator}}, nil
	}
	var actor operator.Actor
	var found, ready bool
	a.watcher.Do(func(r *operator.Replica) {
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

// anonymous is the actor of attempts without a known token.
var anonymous = operator.Actor{Name: "(unauthenticated)"}

// guard authenticates a request, limits its rate and checks the role.
func (a *API) guard(role operator.Role, f func(http.ResponseWriter, *http.Request, operator.Actor) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		actor, err := a.auth.Authenticate(r)
		if err != nil {
			a.refuseAnonymous(r, describe(err))
			a.fail(w, r, err)
			return
		}
		if !a.callers.allow(actor.Name, a.clock.Now()) {
			a.fail(w, r, &APIError{
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
				a.store.Refuse(r.Context(), a.attempted(r), actor, ReasonForbidden, err.Error())
			}
			a.fail(w, r, err)
			return
		}
		if err := f(w, r, actor); err != nil {
			a.fail(w, r, err)
		}
	}
}

// refuseAnonymous records changes that were attempted without a known token.
// The limiter never delays valid tokens that come from the same address.
func (a *API) refuseAnonymous(r *http.Request, e *APIError) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if r.Method == http.MethodGet || e.Reason != ReasonUnauthorized || !a.wrongTokens.allow(host, a.clock.Now()) {
		return
	}
	a.store.Refuse(r.Context(), a.attempted(r), anonymous, e.Reason, e.Message)
}
