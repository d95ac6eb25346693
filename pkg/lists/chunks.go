package lists

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

const (
	// MaxStoredChunkBytes is the size limit of a stored chunk.
	MaxStoredChunkBytes = 256 << 10
	// maxRawChunkBytes is the size limit of a chunk before compression. It leaves
	// a margin for the overhead of deflate on incompressible data.
	maxRawChunkBytes = 240 << 10
	// minRawChunkBytes is the minimum size of every chunk but the last.
	minRawChunkBytes = 32 << 10
	// chunkBoundaryMask ends a chunk after one record in 256 on average.
	chunkBoundaryMask = 1<<8 - 1
	// MaxDocumentBytes is the size limit of both documents together, encoded but
	// not compressed.
	MaxDocumentBytes = 16 << 20
)

// ErrTooLarge indicates that the documents exceed MaxDocumentBytes.
var ErrTooLarge = errors.New("lists are too large")

// chunk is a part of the encoded documents.
type chunk struct {
	// sum is the SHA-256 digest of raw in hexadecimal.
	sum string
	raw []byte
}

// record is one line of the encoded documents. Exactly one field is set. Encoding
// by records limits the effect of an edit to the chunks around it.
type record struct {
	Plan      *Plan      `json:"plan,omitempty"`
	Policy    *Policy    `json:"policy,omitempty"`
	Model     *Model     `json:"model,omitempty"`
	Adapter   *Adapter   `json:"adapter,omitempty"`
	Service   *Service   `json:"service,omitempty"`
	Allowance *Allowance `json:"allowance,omitempty"`
}

// split encodes both documents and cuts them into chunks. A boundary depends only on
// the records of its own chunk, so equal parts of two revisions yield equal chunks.
func split(plans Plans, allowances Allowances) ([]chunk, error) {
	var splitter splitter
	for _, item := range records(plans, allowances) {
		line, err := json.Marshal(item)
		if err != nil {
			return nil, fmt.Errorf("lists: encode: %w", err)
		}
		splitter.add(append(line, '\n'))
	}
	splitter.flush()
	if splitter.total > MaxDocumentBytes {
		return nil, fmt.Errorf("lists: %d bytes, at most %d: %w", splitter.total, MaxDocumentBytes, ErrTooLarge)
	}
	return splitter.chunks, nil
}

// records returns the records of both documents in a fixed order.
func records(plans Plans, allowances Allowances) []record {
	out := []record{{Policy: &allowances.Policy}}
	for i := range plans.Plans {
		out = append(out, record{Plan: &plans.Plans[i]})
	}
	for i := range allowances.Models {
		out = append(out, record{Model: &allowances.Models[i]})
	}
	for i := range allowances.Adapters {
		out = append(out, record{Adapter: &allowances.Adapters[i]})
	}
	for i := range allowances.Services {
		out = append(out, record{Service: &allowances.Services[i]})
	}
	for i := range allowances.Allowances {
		out = append(out, record{Allowance: &allowances.Allowances[i]})
	}
	return out
}

type splitter struct {
	chunks  []chunk
	pending []byte
	total   int
}

func (s *splitter) add(line []byte) {
	s.total += len(line)
	s.pending = append(s.pending, line...)
	for len(s.pending) >= maxRawChunkBytes {
		s.cut(maxRawChunkBytes)
	}
	isBoundary := xxhash.Sum64(line)&chunkBoundaryMask == 0
	if isBoundary && len(s.pending) >= minRawChunkBytes {
		s.flush()
	}
}

func (s *splitter) flush() {
	if len(s.pending) > 0 {
		s.cut(len(s.pending))
	}
}

func (s *splitter) cut(size int) {
	raw := bytes.Clone(s.pending[:size])
	s.pending = s.pending[size:]
	s.chunks = append(s.chunks, chunk{sum: sumOf(raw), raw: raw})
}

func sumOf(raw []byte) string {
	digest := sha256.Sum256(raw)
	return hex.EncodeToString(digest[:])
}

// join decodes the concatenated chunks.
func join(raw []byte) (Plans, Allowances, error) {
	var plans Plans
	var allowances Allowances
	for len(raw) > 0 {
		line, rest, found := bytes.Cut(raw, []byte("\n"))
		if !found {
			return Plans{}, Allowances{}, errors.New("last record is cut")
		}
		raw = rest
		var item record
		if err := schema.Decode(line, &item); err != nil {
			return Plans{}, Allowances{}, fmt.Errorf("record: %w", err)
		}
		item.addTo(&plans, &allowances)
	}
	return plans, allowances, nil
}

func (r *record) addTo(plans *Plans, allowances *Allowances) {
	switch {
	case r.Plan != nil:
		plans.Plans = append(plans.Plans, *r.Plan)
	case r.Policy != nil:
		allowances.Policy = *r.Policy
	case r.Model != nil:
		allowances.Models = append(allowances.Models, *r.Model)
	case r.Adapter != nil:
		allowances.Adapters = append(allowances.Adapters, *r.Adapter)
	case r.Service != nil:
		allowances.Services = append(allowances.Services, *r.Service)
	case r.Allowance != nil:
		allowances.Allowances = append(allowances.Allowances, *r.Allowance)
	}
}

// deflate compresses data.
func deflate(data []byte) ([]byte, error) {
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// inflate decompresses data to at most limit bytes.
func inflate(data []byte, limit int) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(data))
	defer reader.Close()
	out, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("inflate: %w", err)
	}
	if len(out) > limit {
		return nil, fmt.Errorf("inflate: over %d bytes: %w", limit, ErrTooLarge)
	}
	return out, nil
}
