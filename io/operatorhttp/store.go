package operatorhttp

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"oleandervalve"
	"oleandervalve/core/operator"
)

const (
	// maxConflicts limits the attempts of a change whose commits conflict on the
	// head row; each conflict means that another change was accepted.
	maxConflicts = 64
	// maxUnknownOutcomes limits the attempts of a change for which the table's
	// answers are lost.
	maxUnknownOutcomes = 4
	// Refused attempts per second that one entry records in the audit trail. Further
	// ones are only logged, so that they don't use up the table's write budget.
	refusalRate  = 5
	refusalBurst = 50
)

// Store changes the configuration in the table and reads its audit trail.
type Store struct {
	table    oleandervalve.Table
	clock    oleandervalve.Clock
	log      logrus.FieldLogger
	admin    oleandervalve.TeamID
	refusals *rate.Limiter
}

// NewStore returns a store; operators of the admin team may change all objects.
func NewStore(t oleandervalve.Table, c oleandervalve.Clock, log logrus.FieldLogger, admin oleandervalve.TeamID) *Store {
	return &Store{table: t, clock: c, log: log, admin: admin, refusals: rate.NewLimiter(refusalRate, refusalBurst)}
}

// Change applies a change, or only plans it if dryRun is set. The change id makes
// retries idempotent. Errors are those of operator.BuildPlan and
// operator.Authorize, *oleandervalve.UnavailableError (not applied) and
// *oleandervalve.UnknownOutcomeError (send it again with the same change id).
func (s *Store) Change(ctx context.Context, c operator.Change, a operator.Actor, dryRun bool) (operator.Plan, error) {
	p, err := s.change(ctx, c, a, dryRun)
	if err == nil || dryRun {
		return p, err
	}
	var unknown *oleandervalve.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		s.RecordRefused(ctx, c, a, toAPIError(err).Reason, err.Error())
	}
	return p, err
}

func (s *Store) change(ctx context.Context, c operator.Change, a operator.Actor, dryRun bool) (operator.Plan, error) {
	if err := c.Check(); err != nil {
		return operator.Plan{}, err
	}
	var lastUnknown error
	for conflicts, unknowns := 0, 0; conflicts < maxConflicts && unknowns < maxUnknownOutcomes; {
		rows, err := s.table.Get(ctx, operator.ReadKeys(c)...)
		if err != nil {
			return operator.Plan{}, s.changeError(c, lastUnknown, err)
		}
		p, err := operator.BuildPlan(c, a, rows, s.clock.Now().UTC())
		if err != nil || p.Accepted != nil {
			return p, err
		}
		if err := operator.Authorize(a, s.admin, c.Ref(), p.Before, p.After); err != nil {
			return operator.Plan{}, err
		}
		if dryRun || p.Unchanged {
			return p, nil
		}
		_, err = s.table.Commit(ctx, p.Transaction)
		var conflict *oleandervalve.ConflictError
		var unknown *oleandervalve.UnknownOutcomeError
		switch {
		case err == nil:
			return p, nil
		case errors.As(err, &conflict):
			conflicts++
		case errors.As(err, &unknown):
			// If the commit took effect, the next read finds the change id. If it takes
			// effect after that read, the condition on the change id fails the retry.
			lastUnknown = err
			unknowns++
		default:
			return operator.Plan{}, s.changeError(c, lastUnknown, err)
		}
	}
	if lastUnknown != nil {
		return operator.Plan{}, s.changeError(c, lastUnknown, lastUnknown)
	}
	return operator.Plan{}, &oleandervalve.UnavailableError{
		Service: "configuration", RetryAfter: time.Second,
		Remedy: "too many operators change the configuration at the same time; send the change again",
	}
}

// changeError converts a table error to the error of the change. After any commit
// with an unknown outcome the outcome of the change is unknown too: only the
// change id shows whether it was accepted.
func (s *Store) changeError(c operator.Change, lastUnknown, err error) error {
	if lastUnknown != nil {
		return &oleandervalve.UnknownOutcomeError{
			Operation: fmt.Sprintf("change %q", string(c.ID)),
			Remedy:    "send the change again with the same change id; it is applied at most once",
			Cause:     err,
		}
	}
	var unavailable *oleandervalve.UnavailableError
	if errors.As(err, &unavailable) {
		return err
	}
	// A failed read or a cancelled context before any commit had no effect.
	return &oleandervalve.UnavailableError{Service: "table", Remedy: "send the change again", RetryAfter: time.Second, Cause: err}
}

// RecordRefused adds a refused attempt to the audit trail. A failure to do so is
// only logged.
func (s *Store) RecordRefused(ctx context.Context, c operator.Change, a operator.Actor, reason oleandervalve.Reason, detail string) {
	now := s.clock.Now().UTC()
	entry := s.log.WithFields(logrus.Fields{
		"actor": a.Name, "verb": c.Verb, "object": fmt.Sprintf("%.80s", c.Ref().String()), "reason": reason,
	})
	if !s.refusals.AllowN(now, 1) {
		entry.Warn("change refused; not recorded in the audit trail: too many refused attempts")
		return
	}
	if _, err := s.table.Commit(ctx, operator.AttemptTransaction(c, a, now, operator.ResultRefused, reason, detail)); err != nil {
		entry.WithError(err).Warn("change refused; its audit record may be missing")
		return
	}
	entry.Info("change refused")
}

// RecordAccepted adds an accepted action that changes no object to the audit
// trail. A failure to do so is only logged.
func (s *Store) RecordAccepted(ctx context.Context, c operator.Change, a operator.Actor, detail string) {
	if _, err := s.table.Commit(ctx, operator.AttemptTransaction(c, a, s.clock.Now().UTC(), operator.ResultAccepted, "", detail)); err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"actor": a.Name, "verb": c.Verb, "object": c.Ref().String()}).
			Warn("action accepted; its audit record may be missing")
	}
}

// Resolve returns the log record of an accepted change, or *oleandervalve.NotFoundError.
func (s *Store) Resolve(ctx context.Context, id operator.ChangeID) (operator.Record, error) {
	notFound := &oleandervalve.NotFoundError{
		Kind: "accepted change", Name: fmt.Sprintf("%.80s", string(id)),
		Remedy: "send the change again with the same change id; it is applied at most once",
	}
	rows, err := s.table.Get(ctx, operator.ChangeKey(id))
	if err != nil {
		return operator.Record{}, err
	}
	accepted, err := operator.DecodeAcceptedChange(rows[0])
	if err != nil {
		return operator.Record{}, err
	}
	if accepted == nil {
		return operator.Record{}, notFound
	}
	if rows, err = s.table.Get(ctx, operator.LogKey(accepted.Revision)); err != nil {
		return operator.Record{}, err
	}
	return operator.DecodeRecord(rows[0])
}

// Get returns an object from the table, or *oleandervalve.NotFoundError.
func (s *Store) Get(ctx context.Context, ref operator.Ref) (operator.Object, error) {
	rows, err := s.table.Get(ctx, operator.ObjectKey(ref))
	if err != nil {
		return operator.Object{}, err
	}
	if rows[0].Version == 0 {
		return operator.Object{}, &oleandervalve.NotFoundError{
			Kind: string(ref.Kind), Name: ref.Name, Remedy: "list the objects of this kind, or create it with expected version 0",
		}
	}
	return operator.DecodeObject(rows[0])
}
