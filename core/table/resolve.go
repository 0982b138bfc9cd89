package table

import (
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
)

// Resolution says what became of a transaction.
type Resolution string

const (
	// Applied means that the transaction took effect.
	Applied Resolution = "applied"
	// NotApplied means that the transaction has had no effect. As the answer of
	// Resolve it holds only so far: a delayed request may still apply it until
	// one of its rows is written again. As the result of an Attempt it is proven.
	NotApplied Resolution = "notApplied"
	// Overtaken means that a condition no longer holds: the transaction can't
	// take effect any more, and what it wrote, if anything, has been replaced.
	Overtaken Resolution = "overtaken"
)

// Result is the final answer to a transaction.
type Result struct {
	Resolution Resolution
	// Versions holds the versions of the rows put, in their order, if applied.
	Versions []oleandervalve.Version
	// At is the table's commit time if applied.
	At time.Time
	// Rows holds the current rows if the transaction was overtaken.
	Rows []oleandervalve.Row
}

// Resolve compares rows read after a lost answer with the transaction. The
// rows must cover every key that the transaction puts or sets a condition on.
func Resolve(t oleandervalve.Transaction, rows []oleandervalve.Row) Result {
	byKey := make(map[oleandervalve.Key]oleandervalve.Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	// One put that carries the id proves the whole transaction, since it is
	// atomic. The other rows may have been written again since.
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
			return Result{Resolution: Overtaken, Rows: rows}
		}
	}
	return Result{Resolution: NotApplied, Rows: rows}
}

// versionAfter returns the version that a put row had right after the commit.
func versionAfter(t oleandervalve.Transaction, k oleandervalve.Key) oleandervalve.Version {
	for _, c := range t.Conditions {
		if c.Key == k {
			return c.Version + 1
		}
	}
	return 0
}

// StepKind says what an attempt needs next.
type StepKind string

const (
	// StepCommit sends the transaction.
	StepCommit StepKind = "commit"
	// StepRead reads the keys of the step.
	StepRead StepKind = "read"
	// StepDone ends the attempt with the result of the step.
	StepDone StepKind = "done"
)

// Step is the next thing to do for an attempt, after the given delay.
type Step struct {
	Kind   StepKind
	Delay  time.Duration
	Keys   []oleandervalve.Key
	Result Result
}

// Delays between repeated requests while the table does not answer.
const (
	minDelay = 100 * time.Millisecond
	maxDelay = 5 * time.Second
)

// Attempt takes one transaction to a definite result. After a lost answer it
// reads back and, if the transaction has not been applied, sends the same one
// again: only an answer to the repetition, or a newer version of a row, proves
// that the first request can't take effect later.
type Attempt struct {
	transaction oleandervalve.Transaction
	// uncertain is set once an answer was lost.
	uncertain bool
	// refused is set once the table has reported a conflict, after which the
	// same request can't commit any more.
	refused bool
	delay   time.Duration
}

// NewAttempt returns an attempt and its first step.
func NewAttempt(t oleandervalve.Transaction) (*Attempt, Step) {
	return &Attempt{transaction: t, delay: minDelay}, Step{Kind: StepCommit}
}

// Transaction returns the transaction of the attempt.
func (a *Attempt) Transaction() oleandervalve.Transaction { return a.transaction }

// Answered takes the answer of Commit and returns the next step.
func (a *Attempt) Answered(c oleandervalve.Committed, err error) Step {
	var unavailable *oleandervalve.UnavailableError
	var conflict *oleandervalve.ConflictError
	switch {
	case err == nil:
		return Step{Kind: StepDone, Result: Result{Resolution: Applied, Versions: c.Versions, At: c.At}}
	case errors.As(err, &unavailable) && !a.uncertain:
		return Step{Kind: StepDone, Result: Result{Resolution: NotApplied}}
	case errors.As(err, &unavailable):
		return Step{Kind: StepRead, Delay: a.wait(), Keys: a.keys()}
	case errors.As(err, &conflict):
		// The conflict may be with this transaction's own first delivery, so the
		// rows are read before it counts as refused.
		a.refused = true
	default:
		a.uncertain = true
	}
	return Step{Kind: StepRead, Keys: a.keys()}
}

// ReadBack takes the answer of the read and returns the next step.
func (a *Attempt) ReadBack(rows []oleandervalve.Row, err error) Step {
	if err != nil {
		return Step{Kind: StepRead, Delay: a.wait(), Keys: a.keys()}
	}
	r := Resolve(a.transaction, rows)
	switch {
	case r.Resolution != NotApplied:
		return Step{Kind: StepDone, Result: r}
	case a.refused && a.uncertain:
		// Every version still matches, so the refusal came from UnwrittenFor, which
		// the delayed first request may yet satisfy.
		a.refused = false
		return Step{Kind: StepCommit, Delay: a.wait()}
	case a.refused:
		r.Resolution = Overtaken
		return Step{Kind: StepDone, Result: r}
	}
	return Step{Kind: StepCommit, Delay: a.wait()}
}

// wait returns the delay before the next request, which doubles each time.
func (a *Attempt) wait() time.Duration {
	d := a.delay
	a.delay = min(2*a.delay, maxDelay)
	return d
}

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
