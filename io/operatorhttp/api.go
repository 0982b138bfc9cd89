package operatorhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/operator"
)

const (
	// maxBodyBytes limits the size of a request body; the largest object is much smaller.
	maxBodyBytes      = 64 << 10
	defaultAuditLimit = 1000
	maxAuditLimit     = 100_000
	ndjsonContentType = "application/x-ndjson"
	maxDrainSeconds   = 3600
	drainPath         = "/v1/drain/"
)

// ExplainRequest names the object or decision to explain.
type ExplainRequest struct {
	// Subject is "class", "job", "worker" or "eviction".
	Subject string
	// Name is the name of the service (for a class) or the id of the job, worker or task.
	Name string
	// Detail is the name of the class if the subject is "class", else empty.
	Detail string
}

// Explainer explains decisions.
type Explainer interface {
	// Explain returns *oleandervalve.NotFoundError if the subject is not known.
	Explain(ctx context.Context, q ExplainRequest) (operator.Explanation, error)
}

// DrainRequest describes the planned stop of an instance, which is to end after Within.
type DrainRequest struct {
	Instance string        `json:"instance"`
	Reason   string        `json:"reason"`
	Within   time.Duration `json:"-"`
}

// Progress is the current state of an accepted action.
type Progress struct {
	State  string `json:"state"`
	Detail string `json:"detail,omitempty"`
}

// Actions performs the operations that do not change the configuration.
type Actions interface {
	// Drain begins the planned stop of an instance. A repeated call returns its progress.
	Drain(ctx context.Context, d DrainRequest, a operator.Actor) (Progress, error)
	// Cancel cancels a job. A repeated call returns its progress. The error is
	// *operator.ForbiddenError if the job belongs to another team than the actor.
	Cancel(ctx context.Context, j oleandervalve.JobID, a operator.Actor) (Progress, error)
}

// EntryStatus reports which revision of the configuration an entry and its agents have applied.
type EntryStatus struct {
	Entry    oleandervalve.EntryID  `json:"entry"`
	Revision oleandervalve.Revision `json:"revision"`
	Ready    bool                   `json:"ready"`
	// AgeMS is how long ago the entry last read the configuration from the table, in
	// milliseconds. Newer revisions may be in force elsewhere.
	AgeMS   int64                  `json:"ageMs"`
	Rollout operator.RolloutStatus `json:"spread"`
	// Evacuations lists the evacuations that the entry has applied.
	Evacuations []EvacuationStatus `json:"evacuations,omitempty"`
	// Entries holds the revisions of the other entries.
	Entries map[oleandervalve.EntryID]oleandervalve.Revision `json:"entries,omitempty"`
}

// EvacuationStatus reports what is left in an evacuated data centre.
type EvacuationStatus struct {
	operator.Evacuation
	// Workers and Endpoints are those of the data centre that the entry knows; both
	// are 0 for an unknown data centre.
	Workers   int `json:"workers"`
	Endpoints int `json:"endpoints"`
	// Tasks is the number of tasks that still run there, and LatencyCritical the
	// number of latency-critical ones among them, which are moved.
	Tasks           int `json:"tasks"`
	LatencyCritical int `json:"latencyCritical"`
	// InFlight is the number of this entry's requests in flight to the endpoints.
	InFlight int `json:"inFlight"`
}

// StatusSource reports the rollout of the configuration.
type StatusSource interface {
	Status(ctx context.Context) (EntryStatus, error)
}

// Options holds the dependencies of an API; all fields are required.
type Options struct {
	Store   *Store
	Watcher *Watcher
	Auth    *Authenticator
	Clock   oleandervalve.Clock
	Log     logrus.FieldLogger
	Status  StatusSource
	Explain Explainer
	Actions Actions
}

// API serves the administration API under /v1.
type API struct {
	store            *Store
	watcher          *Watcher
	auth             *Authenticator
	clock            oleandervalve.Clock
	log              logrus.FieldLogger
	status           StatusSource
	explain          Explainer
	actions          Actions
	callerLimits     *keyedLimiters
	wrongTokenLimits *keyedLimiters
}

// New returns an API.
func New(o Options) *API {
	return &API{
		store: o.Store, watcher: o.Watcher, auth: o.Auth, clock: o.Clock, log: o.Log,
		status: o.Status, explain: o.Explain, actions: o.Actions,
		callerLimits:     newKeyedLimiters(callerRate, callerBurst),
		wrongTokenLimits: newKeyedLimiters(wrongTokenRate, wrongTokenBurst),
	}
}

// Register adds the API's routes to a router.
func (a *API) Register(r *mux.Router) {
	v, o := operator.RoleViewer, operator.RoleOperator
	const object = "/v1/objects/{kind}/{name}"
	r.HandleFunc("/v1/objects", a.guard(v, a.list)).Methods(http.MethodGet)
	r.HandleFunc(object, a.guard(v, a.get)).Methods(http.MethodGet)
	r.HandleFunc(object, a.guard(o, a.put)).Methods(http.MethodPut)
	r.HandleFunc(object, a.guard(o, a.delete)).Methods(http.MethodDelete)
	r.HandleFunc(object+"/labels", a.guard(o, a.patchLabels)).Methods(http.MethodPatch)
	r.HandleFunc("/v1/changes/{id}", a.guard(v, a.getChange)).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", a.guard(v, a.getStatus)).Methods(http.MethodGet)
	r.HandleFunc("/v1/audit", a.guard(v, a.audit)).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain/class/{name}/{detail}", a.guard(v, a.explainClass)).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain/{subject:job|worker|eviction}/{name:.+}", a.guard(v, a.explainOther)).Methods(http.MethodGet)
	r.HandleFunc(drainPath+"{name}", a.guard(o, a.drain)).Methods(http.MethodPost)
	r.HandleFunc("/v1/cancel/{name}", a.guard(o, a.cancel)).Methods(http.MethodPost)
}

// PutBody is the body of a request that creates or replaces an object.
type PutBody struct {
	ChangeID        operator.ChangeID      `json:"changeId"`
	ExpectedVersion *oleandervalve.Version `json:"expectedVersion"`
	Labels          map[string]string      `json:"labels,omitempty"`
	Spec            json.RawMessage        `json:"spec"`
}

// LabelBody is the body of a request that changes labels; a null value removes the label.
type LabelBody struct {
	ChangeID        operator.ChangeID      `json:"changeId"`
	ExpectedVersion *oleandervalve.Version `json:"expectedVersion,omitempty"`
	Labels          map[string]*string     `json:"labels"`
}

// ChangeResult is the response to a change.
type ChangeResult struct {
	ChangeID operator.ChangeID      `json:"changeId"`
	Revision oleandervalve.Revision `json:"revision"`
	Version  oleandervalve.Version  `json:"version"`
	// Unchanged means that the object already had the requested content.
	Unchanged bool `json:"unchanged,omitempty"`
	// Repeated means that an earlier request with this change id was accepted.
	Repeated bool                `json:"repeated,omitempty"`
	DryRun   bool                `json:"dryRun,omitempty"`
	Diff     []operator.DiffLine `json:"diff,omitempty"`
}

// ObjectList is the response to a list request.
type ObjectList struct {
	Revision oleandervalve.Revision `json:"revision"`
	Objects  []operator.Object      `json:"objects"`
}

func objectRef(r *http.Request) operator.Ref {
	v := mux.Vars(r)
	return operator.Ref{Kind: operator.Kind(v["kind"]), Name: v["name"]}
}

// attemptedChange derives a change for the audit trail from the method and path
// of a request, without its body, which may be unread or invalid.
func (a *API) attemptedChange(r *http.Request) operator.Change {
	c := operator.Change{Kind: objectRef(r).Kind, Name: objectRef(r).Name, Verb: operator.VerbPut}
	switch r.Method {
	case http.MethodDelete:
		c.Verb = operator.VerbDelete
	case http.MethodPatch:
		c.Verb = operator.VerbLabel
	case http.MethodPost:
		c.Verb, c.Kind = operator.VerbCancel, "job"
		if strings.HasPrefix(r.URL.Path, drainPath) {
			c.Verb, c.Kind = operator.VerbDrain, "instance"
		}
	}
	return c
}

// decode reads a body that holds exactly one JSON value without unknown fields.
// Errors do not quote the body, which may contain a secret.
func decode(r *http.Request, dst any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(dst)
	if err == nil {
		if _, err = d.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("more than one value")
	}
	var unavailable *oleandervalve.UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &APIError{
			Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge,
			Message: "the body is too large", Remedy: fmt.Sprintf("keep the body within %d bytes", tooLarge.Limit),
		}
	}
	return &APIError{
		Status: http.StatusBadRequest, Reason: ReasonInvalid, Message: "the body is not the expected JSON object",
		Remedy: "send one JSON object with the fields changeId, expectedVersion, labels and, for a put, spec",
	}
}

func (a *API) list(w http.ResponseWriter, r *http.Request, actor operator.Actor) error {
	var out ObjectList
	var ready bool
	a.watcher.WithReplica(func(c *operator.Replica) {
		ready = c.Ready()
		out.Revision, out.Objects = c.Revision(), c.List(operator.Kind(r.URL.Query().Get("kind")))
	})
	if !ready {
		return &APIError{
			Status: http.StatusServiceUnavailable, Reason: ReasonNotReady, Message: "the entry has no configuration yet",
			Remedy: "send the request again; another entry may answer it", RetryAfterMS: 1000,
		}
	}
	visible := []operator.Object{}
	for _, o := range out.Objects {
		if a.canRead(actor, o.Kind) {
			visible = append(visible, o.Redacted())
		}
	}
	out.Objects = visible
	writeJSON(w, http.StatusOK, out)
	return nil
}

// canRead reports whether an actor may read objects of a kind. Only the admin
// team may read tokens.
func (a *API) canRead(actor operator.Actor, k operator.Kind) bool {
	return k != operator.KindToken || actor.Team == a.store.admin
}

func (a *API) get(w http.ResponseWriter, r *http.Request, actor operator.Actor) error {
	id := objectRef(r)
	if !a.canRead(actor, id.Kind) {
		return &operator.ForbiddenError{
			Actor: actor.Name, Action: "read " + id.String(),
			Remedy: fmt.Sprintf("ask an operator of team %q", string(a.store.admin)),
		}
	}
	o, err := a.store.Get(r.Context(), id)
	var unavailable *oleandervalve.UnavailableError
	if errors.As(err, &unavailable) {
		// During an outage of the table the replica serves reads. It may be stale, but
		// a change based on an old version is refused by the version check.
		var found bool
		a.watcher.WithReplica(func(c *operator.Replica) { o, found = c.Get(id) })
		if found {
			err = nil
		}
	}
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, o.Redacted())
	return nil
}

func (a *API) put(w http.ResponseWriter, r *http.Request, actor operator.Actor) error {
	var b PutBody
	if err := a.decodeBody(r, &b, actor); err != nil {
		return err
	}
	id := objectRef(r)
	return a.change(w, r, actor, operator.Change{
		ID: b.ChangeID, Verb: operator.VerbPut, Kind: id.Kind, Name: id.Name, Expected: b.ExpectedVersion,
		Object: &operator.Object{Kind: id.Kind, Name: id.Name, Labels: b.Labels, Spec: b.Spec},
	})
}

func (a *API) patchLabels(w http.ResponseWriter, r *http.Request, actor operator.Actor) error {
	var b LabelBody
	if err := a.decodeBody(r, &b, actor); err != nil {
		return err
	}
	id := objectRef(r)
	return a.change(w, r, actor, operator.Change{
		ID: b.ChangeID, Verb: operator.VerbLabel, Kind: id.Kind, Name: id.Name, Expected: b.ExpectedVersion, Labels: b.Labels,
	})
}

func (a *API) delete(w http.ResponseWriter, r *http.Request, actor operator.Actor) error {
	q := r.URL.Query()
	c := operator.Change{ID: operator.ChangeID(q.Get("changeId")), Verb: operator.VerbDelete, Kind: objectRef(r).Kind, Name: objectRef(r).Name}
	if n, err := strconv.ParseUint(q.Get("expectedVersion"), 10, 64); err == nil {
		v := oleandervalve.Version(n)
		c.Expected = &v
	}
	return a.change(w, r, actor, c)
}

// decodeBody decodes the request body and records a refused attempt if it is invalid.
func (a *API) decodeBody(r *http.Request, dst any, actor operator.Actor) error {
	err := decode(r, dst)
	if err != nil {
		a.store.RecordRefused(r.Context(), a.attemptedChange(r), actor, toAPIError(err).Reason, err.Error())
	}
	return err
}

func (a *API) change(w http.ResponseWriter, r *http.Request, actor operator.Actor, c operator.Change) error {
	dryRun := r.URL.Query().Get("dryRun") == "true"
	p, err := a.store.Change(r.Context(), c, actor, dryRun)
	if err != nil {
		return err
	}
	out := ChangeResult{
		ChangeID: c.ID, Revision: p.Head.Revision, Version: p.Version(),
		Unchanged: p.Unchanged, Repeated: p.Accepted != nil, DryRun: dryRun, Diff: p.Diff,
	}
	if p.Accepted != nil {
		out.Revision = p.Accepted.Revision
	}
	writeJSON(w, http.StatusOK, out)
	return nil
}

func (a *API) getChange(w http.ResponseWriter, r *http.Request, _ operator.Actor) error {
	rec, err := a.store.Resolve(r.Context(), operator.ChangeID(mux.Vars(r)["id"]))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, rec.Redacted())
	return nil
}

func (a *API) getStatus(w http.ResponseWriter, r *http.Request, _ operator.Actor) error {
	s, err := a.status.Status(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, s)
	return nil
}

func (a *API) audit(w http.ResponseWriter, r *http.Request, _ operator.Actor) error {
	f, limit, err := auditQuery(r)
	if err != nil {
		return err
	}
	e := json.NewEncoder(w)
	started := false
	err = a.store.Audit(r.Context(), f, func(rec operator.Record) bool {
		if !started {
			w.Header().Set("Content-Type", ndjsonContentType)
			started = true
		}
		limit--
		return e.Encode(rec) == nil && limit > 0
	})
	if err != nil && started {
		// The status code has been sent, so the error goes into the last line.
		return e.Encode(map[string]any{"error": toAPIError(err)})
	}
	if err == nil && !started {
		w.Header().Set("Content-Type", ndjsonContentType)
	}
	return err
}

func auditQuery(r *http.Request) (operator.AuditFilter, int, error) {
	q := r.URL.Query()
	f := operator.AuditFilter{
		Actor: q.Get("actor"), Kind: operator.Kind(q.Get("kind")), Name: q.Get("name"), Result: operator.Result(q.Get("result")),
	}
	for _, x := range []struct {
		field string
		into  *time.Time
	}{{"from", &f.From}, {"to", &f.To}} {
		v := q.Get(x.field)
		if v == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339, v)
		if err != nil {
			return f, 0, &oleandervalve.InvalidError{Field: x.field, Value: fmt.Sprintf("%.64s", v), Remedy: "use a time such as 2026-01-31T08:00:00Z"}
		}
		*x.into = t
	}
	limit := defaultAuditLimit
	if v := q.Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxAuditLimit {
			return f, 0, &oleandervalve.InvalidError{Field: "limit", Value: fmt.Sprintf("%.64s", v), Remedy: fmt.Sprintf("use a number from 1 to %d", maxAuditLimit)}
		}
		limit = n
	}
	return f, limit, nil
}

func (a *API) explainClass(w http.ResponseWriter, r *http.Request, _ operator.Actor) error {
	return a.serveExplanation(w, r, ExplainRequest{Subject: "class", Name: mux.Vars(r)["name"], Detail: mux.Vars(r)["detail"]})
}

func (a *API) explainOther(w http.ResponseWriter, r *http.Request, _ operator.Actor) error {
	return a.serveExplanation(w, r, ExplainRequest{Subject: mux.Vars(r)["subject"], Name: mux.Vars(r)["name"]})
}

func (a *API) serveExplanation(w http.ResponseWriter, r *http.Request, q ExplainRequest) error {
	e, err := a.explain.Explain(r.Context(), q)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, e)
	return nil
}

// DrainBody is the body of a drain request.
type DrainBody struct {
	Reason        string `json:"reason"`
	WithinSeconds int    `json:"withinSeconds"`
}

func (a *API) drain(w http.ResponseWriter, r *http.Request, actor operator.Actor) error {
	if actor.Team != a.store.admin {
		err := &operator.ForbiddenError{
			Actor: actor.Name, Action: "drain an instance",
			Remedy: fmt.Sprintf("ask an operator of team %q; instances are shared by all teams", string(a.store.admin)),
		}
		a.store.RecordRefused(r.Context(), a.attemptedChange(r), actor, ReasonForbidden, err.Error())
		return err
	}
	var b DrainBody
	if err := a.decodeBody(r, &b, actor); err != nil {
		return err
	}
	if b.WithinSeconds < 1 || b.WithinSeconds > maxDrainSeconds {
		return &oleandervalve.InvalidError{
			Field: "withinSeconds", Value: strconv.Itoa(b.WithinSeconds), Remedy: fmt.Sprintf("use a number from 1 to %d", maxDrainSeconds),
		}
	}
	p, err := a.actions.Drain(r.Context(), DrainRequest{
		Instance: mux.Vars(r)["name"], Reason: fmt.Sprintf("%.200s", b.Reason), Within: time.Duration(b.WithinSeconds) * time.Second,
	}, actor)
	if err != nil {
		a.store.RecordRefused(r.Context(), a.attemptedChange(r), actor, toAPIError(err).Reason, err.Error())
		return err
	}
	a.store.RecordAccepted(r.Context(), a.attemptedChange(r), actor, p.State)
	writeJSON(w, http.StatusAccepted, p)
	return nil
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request, actor operator.Actor) error {
	p, err := a.actions.Cancel(r.Context(), oleandervalve.JobID(mux.Vars(r)["name"]), actor)
	if err != nil {
		a.store.RecordRefused(r.Context(), a.attemptedChange(r), actor, toAPIError(err).Reason, err.Error())
		return err
	}
	a.store.RecordAccepted(r.Context(), a.attemptedChange(r), actor, p.State)
	writeJSON(w, http.StatusAccepted, p)
	return nil
}
