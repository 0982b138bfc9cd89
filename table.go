package oleandervalve

import (
	"context"
	"time"
)

// Key is the key of a table row.
type Key string

// Version is the version of a row, counted from 1. Version 0 stands for an absent row.
type Version uint64

// Row is a row of the table with the id of the transaction that last wrote it.
type Row struct {
	Key        Key        `json:"key" cbor:"key"`
	Value      []byte     `json:"value" cbor:"value"`
	Version    Version    `json:"version" cbor:"version"`
	MutationID MutationID `json:"mutationId" cbor:"mutationId"`
	// WrittenAt is the time of the last write by the table's clock.
	WrittenAt time.Time `json:"writtenAt" cbor:"writtenAt"`
}

// Condition requires a row to be at the given version when a transaction commits.
type Condition struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	// UnwrittenFor, if positive, also requires that the row was last written at
	// least this long ago by the table's clock.
	UnwrittenFor time.Duration `json:"unwrittenForNs,omitempty"`
}

// Put writes one row.
type Put struct {
	Key   Key    `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is a set of writes that is applied atomically if all conditions hold.
type Transaction struct {
	ID         MutationID  `json:"id"`
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []Key       `json:"deletes,omitempty"`
}

// Committed reports a committed transaction.
type Committed struct {
	// Versions holds the new versions of the written rows, in the order of Transaction.Puts.
	Versions []Version `json:"versions"`
	// At is the time of the commit by the table's clock.
	At time.Time `json:"at"`
}

// Page is one page of a scan. Next is empty on the last page.
type Page struct {
	Rows []Row `json:"rows"`
	Next Key   `json:"next,omitempty"`
	// At is the time of the read by the table's clock.
	At time.Time `json:"at"`
	// Version is the highest version in the table, or 0 if the table does not report it.
	Version Version `json:"version,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the rows with the given keys, in the same order. Absent rows have version 0.
	Get(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns up to limit rows whose keys start with prefix and are greater than after.
	Scan(ctx context.Context, prefix, after Key, limit int) (Page, error)
	// Commit applies a transaction. It returns *ConflictError or *UnavailableError if
	// the transaction had no effect. After *UnknownOutcomeError the caller must read
	// the rows and compare their mutation ids.
	Commit(ctx context.Context, t Transaction) (Committed, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Create stores a new object. It returns *ExistsError if the name is in use.
	Create(ctx context.Context, name string, body []byte) error
	// Get returns the content of an object. It returns *NotFoundError if the object
	// does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object. Removing an absent object is not an error.
	Delete(ctx context.Context, name string) error
}

// Change is a change of a row. A deleted row has no value.
type Change struct {
	Row
	Deleted bool
}

// Changes is a batch of changes that a feed returns.
type Changes struct {
	Rows []Change
	// Next is the version after which the next call to Watch continues.
	Next Version
}

// Feed reports the changes of rows in the order of their versions.
type Feed interface {
	// Watch waits for changes to rows whose keys start with prefix and returns those
	// after the given version. It returns *HistoryLostError if these changes are no
	// longer available; the caller must then scan the rows.
	Watch(ctx context.Context, prefix Key, after Version, wait time.Duration) (Changes, error)
}

// HistoryLostError reports that a feed no longer has the requested changes.
type HistoryLostError struct{ After Version }

func (e *HistoryLostError) Error() string {
	return "the table no longer keeps the requested changes: scan the rows and continue from the scan"
}
