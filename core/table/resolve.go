package table

import (
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
)

// Resolution is the outcome of a transaction.
type Resolution string

const (
	// Applied means that the transaction took effect.
	Applied Resolution = "applied"
	// NotApplied means that the transaction has had no effect. Returned by
	// Resolve, it is provisional: a delayed request may still apply the
	// transaction until one of its rows is written again. As the result of an
	// Attempt, it is final.
	NotApplied Resolution = "notApplied"
	// Superseded means that a condition does not hold. The transaction can't
	// take effect any more, and any rows it wrote have been overwritten.
	Superseded Resolution = "overtaken"
)

// Result is the outcome of a transaction with its details.
type Result struct {
	Resolution Resolution
	// Versions holds the versions of the rows put, in the order of the puts, if
	// the transaction was applied.
	Versions []oleandervalve.Version
	// At is the table's commit time if the transaction was applied.
	At time.Time
	// Rows holds the rows that were read to determine the outcome, if any.
	Rows []oleandervalve.Row
}

// Resolve determines the outcome of a transaction from rows that were read after
// its response was lost. The rows must cover every key that the transaction puts
// or sets a condition on.
func Resolve(t oleandervalve.Transaction, rows []oleandervalve.Row) Result {
	byKey := make(map[oleandervalve.Key]oleandervalve.Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	// Transactions are atomic, so one row with the mutation ID proves that the
	// whole transaction was applied. Its other rows may have been written again.
	for _, p := range t.Puts {
		if byKey[p.Key].MutationID != t.ID {
			continue
		}
		versions := make([]oleandervalve.Version, len(t.Puts))
		at := time.Time{}
		for i, q := range t.Puts {
			versions[i] = versionAfter(t, q.Key)
			if r := byKey[q.Key]; r.MutationID == t.ID {
				versions[i], at = r.Version, r.WrittenAt
			}
		}
		return Result{Resolution: Applied, Versions: versions, At: at, Rows: rows}
	}
	for _, c := range t.Conditions {
		if byKey[c.Key].Version != c.Version {
			return Result{Resolution: Superseded, Rows: rows}
		}
	}
	return Result{Resolution: NotApplied, Rows: rows}
}

// versionAfter returns the version that a put row had right after the commit, or
// 0 if the transaction has no condition on the row.
func versionAfter(t oleandervalve.Transaction, k oleandervalve.Key) oleandervalve.Version {
	for _, c := range t.Conditions {
		if c.Key == k {
			return c.Version + 1
		}
	}
	return 0
}

// StepKind is the kind of the next step of an attempt.
type StepKind string

const (
	// StepCommit sends the transaction.
	StepCommit StepKind = "commit"
	// StepRead reads the rows of the step's keys.
	StepRead StepKind = "read"
	// StepDone ends the attempt with the result of the step.
	StepDone StepKind = "done"
)

// Step is the next step of an attempt, to be executed after Delay.
type Step struct {
	Kind   StepKind
	Delay  time.Duration
	Keys   []oleandervalve.Key
	Result Result
}

// Bounds of the delay between repeated requests while the table does not respond.
const (
	minDelay = 100 * time.Millisecond
	maxDelay = 5 * time.Second
)

// Attempt sends and resends one transaction until its result is definite. After a
// lost response it reads the rows back and, if the transaction has not been
// applied, sends the identical transaction again. Only a response to the repeated
// request or a newer version of a row proves that the first request can't take
// effect later.
type Attempt struct {
	transaction oleandervalve.Transaction
	// outcomeUnknown is set once a response was lost.
	outcomeUnknown bool
	// conflicted is set after the response to a commit was a conflict, until the
	// transaction is sent again.
	conflicted bool
	delay      time.Duration
}

// NewAttempt returns an attempt and its first step.
func NewAttempt(t oleandervalve.Transaction) (*Attempt, Step) {
	return &Attempt{transaction: t, delay: minDelay}, Step{Kind: StepCommit}
}

// Transaction returns the transaction of the attempt.
func (a *Attempt) Transaction() oleandervalve.Transaction { return a.transaction }

// HandleCommit handles the response to StepCommit and returns the next step.
func (a *Attempt) HandleCommit(c oleandervalve.Committed, err error) Step {
	var unavailable *oleandervalve.UnavailableError
	var conflict *oleandervalve.ConflictError
	switch {
	case err == nil:
		return Step{Kind: StepDone, Result: Result{Resolution: Applied, Versions: c.Versions, At: c.At}}
	case errors.As(err, &unavailable) && !a.outcomeUnknown:
		return Step{Kind: StepDone, Result: Result{Resolution: NotApplied}}
	case errors.As(err, &unavailable):
		return Step{Kind: StepRead, Delay: a.nextDelay(), Keys: a.keys()}
	case errors.As(err, &conflict):
		// The conflict may be with an earlier delivery of the same transaction, so the
		// rows are read before the transaction counts as refused.
		a.conflicted = true
	default:
		a.outcomeUnknown = true
	}
	return Step{Kind: StepRead, Keys: a.keys()}
}

// HandleRead handles the response to StepRead and returns the next step.
func (a *Attempt) HandleRead(rows []oleandervalve.Row, err error) Step {
	if err != nil {
		return Step{Kind: StepRead, Delay: a.nextDelay(), Keys: a.keys()}
	}
	r := Resolve(a.transaction, rows)
	switch {
	case r.Resolution != NotApplied:
		return Step{Kind: StepDone, Result: r}
	case a.conflicted && a.outcomeUnknown:
		// Every version still matches, so the conflict was caused by UnwrittenFor. The
		// delayed first request may still satisfy that condition later.
		a.conflicted = false
		return Step{Kind: StepCommit, Delay: a.nextDelay()}
	case a.conflicted:
		r.Resolution = Superseded
		return Step{Kind: StepDone, Result: r}
	}
	return Step{Kind: StepCommit, Delay: a.nextDelay()}
}

// nextDelay returns the delay before the next request and doubles it for the
// request after that, up to maxDelay.
func (a *Attempt) nextDelay() time.Duration {
	d := a.delay
	a.delay = min(2*a.delay, maxDelay)
	return d
}

// keys returns the keys of all rows that the transaction has a condition on or puts.
func (a *Attempt) keys() []oleandervalve.Key {
	var keys []oleandervalve.Key
	seen := map[oleandervalve.Key]bool{}
	add := func(k oleandervalve.Key) {
		if !seen[k] {
			seen[k] = true
			keys = append(keys, k)
		}
	}
	for _, c := range a.transaction.Conditions {
		add(c.Key)
	}
	for _, p := range a.transaction.Puts {
		add(p.Key)
	}
	return keys
}
