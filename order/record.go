package order

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
)

// Names of the streams that hold records of this package.
const (
	// Stream holds proposals, withdrawals and checkpoint markers. Its records are small, since every
	// entry tails it.
	Stream = "config"
	// CheckpointStream holds the parts of checkpoints. A process reads it only when it starts or after
	// a gap in Stream.
	CheckpointStream = "configCheckpoint"
)

// recordFormat is the version of the record encoding.
const recordFormat = 1

// Record is one record of Stream or CheckpointStream; exactly one of its pointers is set.
type Record struct {
	Format           int               `json:"format"`
	Proposal         *Proposal         `json:"proposal,omitempty"`
	Withdrawal       *Withdrawal       `json:"withdrawal,omitempty"`
	CheckpointMarker *CheckpointMarker `json:"checkpointed,omitempty"`
	CheckpointPart   *CheckpointPart   `json:"part,omitempty"`
}

// Proposal proposes a new version; it holds only the difference from its base.
type Proposal struct {
	// ID is the same in every copy of the record, so that retries are recognized.
	ID       string                `json:"id"`
	Operator string                `json:"operator"`
	BasedOn  int64                 `json:"basedOn"`
	Digest   string                `json:"digest"`
	SignOffs []sardinerock.SignOff `json:"signOffs,omitempty"`
	bundle.Change
}

// Withdrawal voids the proposal with the same ID if the proposal comes after it in the log.
type Withdrawal struct {
	ID      string `json:"id"`
	BasedOn int64  `json:"basedOn"`
}

// CheckpointMarker notifies all entries that a complete checkpoint is in CheckpointStream.
type CheckpointMarker struct {
	ID   string `json:"id"`
	AsOf int64  `json:"asOf"`
}

// CheckpointPart is one part of a checkpoint. A checkpoint is valid only if all Count parts are present.
type CheckpointPart struct {
	ID    string `json:"id"`
	AsOf  int64  `json:"asOf"`
	Index int    `json:"index"`
	Count int    `json:"count"`
	Data  []byte `json:"data"`
}

// EncodeRecord returns the JSON encoding of a record, with the format version set.
func EncodeRecord(r Record) []byte {
	r.Format = recordFormat
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // Structs of strings, numbers and lists can always be encoded.
	}
	return data
}

// DecodeRecord decodes a record of the log; it fails if the format version is not the one of this process.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, merry.Prepend(err, "decoding configuration record")
	}
	if r.Format != recordFormat {
		return nil, merry.Errorf("configuration record has format %d, want %d", r.Format, recordFormat)
	}
	return r, nil
}

// stateImage is the JSON form of a State in a checkpoint or in a message to a peer.
type stateImage struct {
	Version  int64                 `json:"version"`
	Next     int64                 `json:"next"`
	Digest   string                `json:"digest"`
	Recent   []Accepted            `json:"recent"`
	Void     map[string]int64      `json:"void,omitempty"`
	SignOffs []sardinerock.SignOff `json:"signOffs,omitempty"`
	Sections []bundle.Section      `json:"sections"`
}

// maxStateBytes bounds the uncompressed size of a state from a peer or a checkpoint.
const maxStateBytes = 256 << 20

// EncodeState returns the compressed encoding of a state, for a checkpoint or a peer.
func EncodeState(s *State) []byte {
	var out bytes.Buffer
	// The fastest level suffices: most of the text is hashes of the callers' keys, which no level
	// compresses.
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant.
	}
	if _, err := w.Write(marshalState(s)); err != nil {
		panic(err) // A write to a bytes.Buffer can't fail.
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// DecodeState decodes a state that EncodeState returned. It checks the digest, so a corrupt state is an
// error and never takes effect.
func DecodeState(data []byte) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, merry.Prepend(err, "decompressing configuration state")
	}
	uncompressed, err := io.ReadAll(io.LimitReader(r, maxStateBytes))
	if err != nil {
		return nil, merry.Prepend(err, "decompressing configuration state")
	}
	return unmarshalState(uncompressed)
}

func marshalState(s *State) []byte {
	m := stateImage{Version: s.Version, Next: s.Next, Recent: s.Recent, Void: s.Voided}
	if s.Content != nil {
		m.Digest, m.SignOffs = s.Content.Digest(), s.Content.SignOffs
		m.Sections = s.Content.Sections()
		for i := range m.Sections {
			m.Sections[i].Digest = ""
		}
	}
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // Structs of strings, numbers and lists can always be encoded.
	}
	return data
}

func unmarshalState(data []byte) (*State, error) {
	var m stateImage
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, merry.Prepend(err, "decoding configuration state")
	}
	s := &State{Version: m.Version, Next: m.Next, Recent: m.Recent, Voided: m.Void}
	if m.Version == 0 {
		return s, nil
	}
	content, err := bundle.Apply(&bundle.Content{}, bundle.Change{Changed: m.Sections}, m.Digest, m.SignOffs)
	if err != nil {
		return nil, merry.Prepend(err, "applying sections of configuration state")
	}
	s.Content = content
	return s, nil
}
