package operator

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"oleandervalve"
)

// maxUnpacked bounds the uncompressed content of one part of a delta.
const maxUnpacked = 64 << 10

// wireDelta is a delta as sent. Its content is compressed: specs repeat their
// field names, and 50 changed policies shrink to about a tenth.
type wireDelta struct {
	From   oleandervalve.Revision `cbor:"from"`
	To     oleandervalve.Revision `cbor:"to"`
	Full   bool                   `cbor:"full,omitempty"`
	Part   int                    `cbor:"part,omitempty"`
	Parts  int                    `cbor:"parts"`
	Digest uint64                 `cbor:"digest"`
	Packed []byte                 `cbor:"packed,omitempty"`
}

type wireContent struct {
	Objects []Object `cbor:"o,omitempty"`
	Removed []Ref    `cbor:"r,omitempty"`
}

// contentDecoding limits what a malformed delta can allocate.
var contentDecoding = mustDecoding()

func mustDecoding() cbor.DecMode {
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
		return len(d.encode(&packer{}))
	}
	return len(d.encoded)
}

// MarshalCBOR encodes the delta.
func (d Delta) MarshalCBOR() ([]byte, error) {
	if d.encoded != nil {
		return d.encoded, nil
	}
	return d.encode(&packer{}), nil
}

func (d Delta) encode(p *packer) []byte {
	w := wireDelta{From: d.From, To: d.To, Full: d.Full, Part: d.Part, Parts: d.Parts, Digest: d.Digest}
	if len(d.Objects)+len(d.Removed) > 0 {
		w.Packed = p.pack(mustCBOR(wireContent{d.Objects, d.Removed}))
	}
	return mustCBOR(w)
}

// UnmarshalCBOR decodes a delta and refuses one that is malformed or too large.
func (d *Delta) UnmarshalCBOR(b []byte) error {
	var w wireDelta
	if err := contentDecoding.Unmarshal(b, &w); err != nil {
		return err
	}
	if w.Parts < 1 || w.Part < 0 || w.Part >= w.Parts || !w.Full && w.From > w.To {
		return errors.Newf("delta has part %d of %d from revision %d to %d: check that both processes run the same release",
			w.Part, w.Parts, w.From, w.To)
	}
	*d = Delta{From: w.From, To: w.To, Full: w.Full, Part: w.Part, Parts: w.Parts, Digest: w.Digest}
	if len(w.Packed) == 0 {
		return nil
	}
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(w.Packed)), maxUnpacked+1))
	if err != nil || len(content) > maxUnpacked {
		return errors.Newf("delta content can't be unpacked or exceeds %d bytes: check that both processes run the same release", maxUnpacked)
	}
	var c wireContent
	if err := contentDecoding.Unmarshal(content, &c); err != nil {
		return err
	}
	d.Objects, d.Removed = c.Objects, c.Removed
	return nil
}

// packer compresses contents; it keeps the compressor, which allocates much at its start.
type packer struct {
	writer *flate.Writer
}

func (p *packer) pack(content []byte) []byte {
	var b bytes.Buffer
	if p.writer == nil {
		w, err := flate.NewWriter(&b, flate.DefaultCompression)
		if err != nil {
			panic(err) // The level is constant.
		}
		p.writer = w
	}
	p.writer.Reset(&b)
	_, _ = p.writer.Write(content) // A bytes.Buffer never fails.
	_ = p.writer.Close()
	return b.Bytes()
}

func mustCBOR(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // Only values of our own types get here, and all of them encode.
	}
	return b
}
