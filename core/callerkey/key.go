package callerkey

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

const (
	// Header is the name of the header that carries a key.
	Header = "Idempotency-Key"
	// MaxKeyLength is the longest accepted key in bytes.
	MaxKeyLength = 128
	// minRandomLength makes collisions unlikely between the keys of requests that
	// start in the same millisecond.
	minRandomLength = 8
	// timestampDigits is the number of digits of a Unix time in milliseconds between
	// 2001 and 2286.
	timestampDigits = 13
)

// Scope separates the keys of different callers and services.
type Scope struct {
	Caller  oleandervalve.CallerID
	Service oleandervalve.ServiceName
}

// Key is a parsed idempotency key.
type Key struct {
	Text string
	// Timestamp is zero if the key has none.
	Timestamp time.Time
}

// ParseKey reads a key; keys of the form "<unix ms>-<random>" have a timestamp,
// and every other accepted key has none. It returns a *oleandervalve.InvalidError.
func ParseKey(text string) (Key, error) {
	if text == "" || len(text) > MaxKeyLength {
		return Key{}, invalidKey(text, fmt.Sprintf("send 1 to %d characters", MaxKeyLength))
	}
	digits := 0
	for i := range len(text) {
		c := text[i]
		switch {
		case c >= '0' && c <= '9':
			if digits == i {
				digits++
			}
		case c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.' || c == '~' || c == ':':
		default:
			return Key{}, invalidKey(text, "use only ASCII letters, digits and - _ . ~ :")
		}
	}
	k := Key{Text: text}
	if digits != timestampDigits || len(text) == digits || text[digits] != '-' {
		return k, nil
	}
	if len(text)-digits-1 < minRandomLength {
		return Key{}, invalidKey(text, fmt.Sprintf("put at least %d random characters after the timestamp", minRandomLength))
	}
	ms, err := strconv.ParseInt(text[:digits], 10, 64)
	if err != nil {
		return Key{}, invalidKey(text, "start the key with a unix time in milliseconds")
	}
	k.Timestamp = time.UnixMilli(ms)
	return k, nil
}

func invalidKey(text, remedy string) error {
	return &oleandervalve.InvalidError{Field: Header, Value: text[:min(len(text), MaxKeyLength)], Remedy: remedy}
}

// CheckTimestamp refuses a timestamp so far in the future that no owner can have
// admitted the key.
//
// The owner applies MaxTimestampAhead by its own clock. An entry that applied the
// same limit by its clock could report "not run" for a key that has run through
// another entry with a faster clock, so it adds MaxClockSkew to the limit.
func (k Key) CheckTimestamp(now time.Time) error {
	if k.Timestamp.Sub(now) > keyrange.MaxTimestampAhead+keyrange.MaxClockSkew {
		return &oleandervalve.NotRunError{Reason: ReasonTimestampAhead, Remedy: remedies[ReasonTimestampAhead]}
	}
	return nil
}

// Range returns the range of a key in its scope.
func (s Scope) Range(key string) keyrange.ID { return keyrange.Of(s.Caller, s.Service, key) }

// Digest identifies the content of a request, to detect reuse of a key for a
// different request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request's method, path and body.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	var n [8]byte
	for _, p := range [...]string{method, path} {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	h.Write(body)
	return Digest(h.Sum(nil))
}
