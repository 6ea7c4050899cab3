package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardinerock/sardinerock"
)

// The kinds of records, each the first part of a key.
const (
	kindJob      = "j"
	kindResult   = "r"
	kindEnd      = "e"
	kindProgress = "p"
)

// Accepted is the record of a job that was accepted.
type Accepted struct {
	ID    string `cbor:"1,keyasint"`
	Route string `cbor:"2,keyasint"`
	Host  string `cbor:"3,keyasint"`
	// CreatedAt is when the job came, in milliseconds of the clock of the entry that took it.
	CreatedAt int64 `cbor:"4,keyasint"`
	// Digest is the same for each copy of the job.
	Digest uint64                  `cbor:"5,keyasint"`
	Items  []sardinerock.BatchItem `cbor:"6,keyasint"`
}

// Progress is how far an item has come.
type Progress struct {
	// LastEvent is the id of the last event whose data is in Text.
	LastEvent string `cbor:"1,keyasint"`
	Text      string `cbor:"2,keyasint"`
}

// keyRoom is the part of a record's bound that its key and head may take.
const keyRoom = 300

// The first byte of a record's value says whether more of the same value follows.
const (
	lastPart byte = 0
	morePart byte = 1
)

// split writes a value as one record, or as several if it is too large for one.
func split(key string, value any, recordBytes int) ([]sardinerock.StoreRecord, error) {
	raw, err := cbor.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("ledger: %s: %w", key, err)
	}
	room := recordBytes - keyRoom
	var records []sardinerock.StoreRecord
	for part := 0; ; part++ {
		n := min(len(raw), room)
		head := lastPart
		if n < len(raw) {
			head = morePart
		}
		content := append([]byte{head}, raw[:n]...)
		records = append(records, sardinerock.StoreRecord{Key: key + "/" + strconv.Itoa(part), Value: content})
		if raw = raw[n:]; len(raw) == 0 {
			return records, nil
		}
	}
}

// recordKey is a key taken apart.
type recordKey struct {
	kind string
	job  string
	// place is the position of a result or the index of an item.
	place int
	// whole is the key without the number of its part.
	whole string
	part  int
}

func parseKey(key string) (recordKey, error) {
	parts := strings.Split(key, "/")
	k := recordKey{kind: parts[0]}
	want := 3
	if k.kind == kindResult || k.kind == kindProgress {
		want = 4
	}
	if len(parts) != want {
		return k, fmt.Errorf("ledger: key %q has %d parts, not %d", key, len(parts), want)
	}
	k.job = parts[1]
	k.whole = key[:strings.LastIndexByte(key, '/')]
	var err error
	if k.part, err = strconv.Atoi(parts[want-1]); err != nil {
		return k, fmt.Errorf("ledger: key %q: %w", key, err)
	}
	if want == 4 {
		if k.place, err = strconv.Atoi(parts[2]); err != nil {
			return k, fmt.Errorf("ledger: key %q: %w", key, err)
		}
	}
	return k, nil
}

// ValidID says whether a job's id can be part of a key.
func ValidID(id string) bool {
	const longest = 128
	return id != "" && len(id) <= longest && !strings.Contains(id, "/")
}
