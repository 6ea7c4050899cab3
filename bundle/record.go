package bundle

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock"
)

// Streams of the log service that this package writes.
const (
	// Stream carries proposals and withdrawals, and nothing large, since every entry tails it.
	Stream = "config"
	// CheckpointStream is read only by a process that starts.
	CheckpointStream = "configCheckpoint"
)

// recordFormat is the version of the records' encoding.
const recordFormat = 1

// record is one record of either stream; exactly one of its parts is set.
type record struct {
	Format       int           `json:"format"`
	Proposal     *proposal     `json:"proposal,omitempty"`
	Withdrawal   *withdrawal   `json:"withdrawal,omitempty"`
	Checkpointed *checkpointed `json:"checkpointed,omitempty"`
	Part         *part         `json:"part,omitempty"`
}

// proposal asks for a new version; it carries only what differs from its base.
type proposal struct {
	// ID is the same in every copy of the record.
	ID       string                `json:"id"`
	Operator string                `json:"operator"`
	BasedOn  int64                 `json:"basedOn"`
	Digest   string                `json:"digest"`
	SignOffs []sardinerock.SignOff `json:"signOffs,omitempty"`
	change
}

// withdrawal makes a proposal void that comes after it.
type withdrawal struct {
	ID      string `json:"id"`
	BasedOn int64  `json:"basedOn"`
}

// checkpointed tells all entries that a whole checkpoint is in the other stream.
type checkpointed struct {
	ID   string `json:"id"`
	AsOf int64  `json:"asOf"`
}

// part is one piece of a checkpoint, which counts only once all pieces are there.
type part struct {
	ID    string `json:"id"`
	AsOf  int64  `json:"asOf"`
	Index int    `json:"index"`
	Count int    `json:"count"`
	Data  []byte `json:"data"`
}

func encodeRecord(r record) []byte {
	r.Format = recordFormat
	data, err := json.Marshal(r)
	if err != nil {
		// Plain structs of strings, numbers and lists always marshal.
		panic(err)
	}
	return data
}

func decodeRecord(data []byte) (*record, error) {
	r := &record{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, merry.Prepend(err, "configuration record")
	}
	if r.Format != recordFormat {
		return nil, merry.Errorf("configuration record has format %d, want %d", r.Format, recordFormat)
	}
	return r, nil
}

// image is a State on its way into a checkpoint or to a peer.
type image struct {
	Version  int64                 `json:"version"`
	Next     int64                 `json:"next"`
	Digest   string                `json:"digest"`
	Recent   []Accepted            `json:"recent"`
	Void     map[string]int64      `json:"void,omitempty"`
	SignOffs []sardinerock.SignOff `json:"signOffs,omitempty"`
	Sections []Section             `json:"sections"`
}

// maxImage bounds what a peer or a checkpoint may unpack to.
const maxImage = 256 << 20

// encodeState packs a state for a checkpoint or a peer.
func encodeState(s *State) []byte {
	var out bytes.Buffer
	// The fastest level: the hashes of the callers' keys are most of the text, and do not pack at any.
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant.
	}
	if _, err := w.Write(encodeImage(s)); err != nil {
		panic(err) // A buffer takes everything.
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// decodeState checks the hashes on the way: a damaged image is an error, never a configuration.
func decodeState(data []byte) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, merry.Prepend(err, "configuration image")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxImage))
	if err != nil {
		return nil, merry.Prepend(err, "configuration image")
	}
	return decodeImage(plain)
}

func encodeImage(s *State) []byte {
	m := image{Version: s.Version, Next: s.Next, Recent: s.Recent, Void: s.Void}
	if s.Content != nil {
		m.Digest, m.SignOffs = s.Content.Digest(), s.Content.SignOffs
		m.Sections = s.Content.sections()
		for i := range m.Sections {
			m.Sections[i].Digest = ""
		}
	}
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // Plain structs always marshal.
	}
	return data
}

func decodeImage(data []byte) (*State, error) {
	var m image
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, merry.Prepend(err, "configuration image")
	}
	s := &State{Version: m.Version, Next: m.Next, Recent: m.Recent, Void: m.Void}
	if m.Version == 0 {
		return s, nil
	}
	content, err := apply(&Content{}, change{Changed: m.Sections}, m.Digest, m.SignOffs)
	if err != nil {
		return nil, merry.Prepend(err, "configuration image")
	}
	s.Content = content
	return s, nil
}
