package entry

import (
	"crypto/sha256"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"oleandervalve"
	"oleandervalve/core/operator"
	"oleandervalve/io/callerhttp"
)

// maxTokenBytes is the largest token that is hashed; longer ones are refused.
const maxTokenBytes = 512

// holder is the configured identity of the holder of a token: its actor and the
// callers of its team.
type holder struct {
	actor   operator.Actor
	callers []oleandervalve.CallerID
}

// Authenticator maps bearer tokens to teams and callers.
type Authenticator struct {
	configuration *Configuration

	mu       sync.Mutex
	revision oleandervalve.Revision
	// holders caches valid tokens by hash for one revision. Invalid tokens are
	// not cached, so the number of configured tokens bounds the cache.
	holders map[[sha256.Size]byte]holder
}

// Authenticator returns an authenticator of callers and teams.
func (c *Configuration) Authenticator() *Authenticator {
	return &Authenticator{configuration: c, holders: map[[sha256.Size]byte]holder{}}
}

// Authenticate returns the identity of the request's token. The header
// Oleandervalve-Caller selects one of the team's callers; without it, the name
// of the token is the caller. Errors are *callerhttp.UnauthorizedError and
// *oleandervalve.NotRunError.
func (a *Authenticator) Authenticate(r *http.Request) (callerhttp.Identity, error) {
	if a.configuration.NotReadyReason() != "" {
		return callerhttp.Identity{}, &oleandervalve.NotRunError{
			Reason: "notReady", Remedy: "send the request again; another entry takes it", RetryAfter: time.Second,
		}
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" || len(token) > maxTokenBytes {
		return callerhttp.Identity{}, &callerhttp.UnauthorizedError{}
	}
	h, ok := a.lookup(token)
	if !ok {
		return callerhttp.Identity{}, &callerhttp.UnauthorizedError{}
	}
	if !h.actor.HasRole(operator.RoleCaller) {
		return callerhttp.Identity{}, &oleandervalve.NotRunError{Reason: "forbidden", Remedy: "use a token with the role caller"}
	}
	id := callerhttp.Identity{Team: h.actor.Team, Caller: oleandervalve.CallerID(h.actor.Name)}
	if c := oleandervalve.CallerID(r.Header.Get(callerhttp.HeaderCaller)); c != "" {
		if !slices.Contains(h.callers, c) {
			return callerhttp.Identity{}, &oleandervalve.NotRunError{Reason: "forbidden", Remedy: "name a caller that the team's configuration lists"}
		}
		id.Caller = c
	}
	return id, nil
}

func (a *Authenticator) lookup(token string) (holder, bool) {
	hash := sha256.Sum256([]byte(token))
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.configuration.Revision(); now != a.revision {
		a.revision = now
		clear(a.holders)
	}
	if h, ok := a.holders[hash]; ok {
		return h, true
	}
	var h holder
	var found bool
	a.configuration.watcher.WithReplica(func(r *operator.Replica) {
		h.actor, found = r.Authenticate(token)
		if t, ok := r.Team(h.actor.Team); found && ok {
			h.callers = t.Callers
		}
	})
	if found {
		a.holders[hash] = h
	}
	return h, found
}
