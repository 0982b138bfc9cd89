package operator

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"oleandervalve"
)

// maxContentBytes limits the uncompressed content of one part of a delta.
const maxContentBytes = 64 << 10

// wireDelta is the wire format of a delta. Its content is compressed, because
// specs repeat their field names: 50 changed policies shrink to about a tenth.
type wireDelta struct {
	From       oleandervalve.Revision `cbor:"from"`
	To         oleandervalve.Revision `cbor:"to"`
	Full       bool                   `cbor:"full,omitempty"`
	Part       int                    `cbor:"part,omitempty"`
	Parts      int                    `cbor:"parts"`
	Digest     uint64                 `cbor:"digest"`
	Compressed []byte                 `cbor:"packed,omitempty"`
}

// wireContent is the compressed part of a wireDelta.
type wireContent struct {
	Objects []Object `cbor:"o,omitempty"`
	Removed []Ref    `cbor:"r,omitempty"`
}

// contentDecMode limits how much memory a malformed delta can allocate.
var contentDecMode = newContentDecMode()

func newContentDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 8192, MaxMapPairs: 8192,
		IndefLength: cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return m
}

// Size returns the encoded size in bytes.
func (d Delta) Size() int {
	if d.encoded == nil {
		return len(d.encode(&compressor{}))
	}
	return len(d.encoded)
}

// MarshalCBOR encodes the delta in its wire format.
func (d Delta) MarshalCBOR() ([]byte, error) {
	if d.encoded != nil {
		return d.encoded, nil
	}
	return d.encode(&compressor{}), nil
}

func (d Delta) encode(c *compressor) []byte {
	w := wireDelta{From: d.From, To: d.To, Full: d.Full, Part: d.Part, Parts: d.Parts, Digest: d.Digest}
	if len(d.Objects)+len(d.Removed) > 0 {
		w.Compressed = c.compress(mustCBOR(wireContent{d.Objects, d.Removed}))
	}
	return mustCBOR(w)
}

// UnmarshalCBOR decodes a delta and returns an error if it is malformed or too large.
func (d *Delta) UnmarshalCBOR(b []byte) error {
	var w wireDelta
	if err := contentDecMode.Unmarshal(b, &w); err != nil {
		return err
	}
	if w.Parts < 1 || w.Part < 0 || w.Part >= w.Parts || !w.Full && w.From > w.To {
		return errors.Newf("delta has part %d of %d from revision %d to %d: check that both processes run the same release",
			w.Part, w.Parts, w.From, w.To)
	}
	*d = Delta{From: w.From, To: w.To, Full: w.Full, Part: w.Part, Parts: w.Parts, Digest: w.Digest}
	if len(w.Compressed) == 0 {
		return nil
	}
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(w.Compressed)), maxContentBytes+1))
	if err != nil || len(content) > maxContentBytes {
		return errors.Newf("delta content can't be decompressed or exceeds %d bytes: check that both processes run the same release", maxContentBytes)
	}
	var c wireContent
	if err := contentDecMode.Unmarshal(content, &c); err != nil {
		return err
	}
	d.Objects, d.Removed = c.Objects, c.Removed
	return nil
}

// compressor compresses the contents of deltas. It reuses its writer, because a
// new writer allocates much memory.
type compressor struct {
	writer *flate.Writer
}

func (c *compressor) compress(content []byte) []byte {
	var b bytes.Buffer
	if c.writer == nil {
		w, err := flate.NewWriter(&b, flate.DefaultCompression)
		if err != nil {
			panic(err) // The level is constant.
		}
		c.writer = w
	}
	c.writer.Reset(&b)
	_, _ = c.writer.Write(content) // A bytes.Buffer never fails.
	_ = c.writer.Close()
	return b.Bytes()
}

func mustCBOR(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // All callers pass types of this module that can always be encoded.
	}
	return b
}
