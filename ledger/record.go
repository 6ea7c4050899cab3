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
	kindFailure  = "f"
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
	LastEvent string
	// Text is the data of all events so far, a line feed between two.
	Text string
	// Steps counts the records that it is made of.
	Steps int
}

// step is the record of what came after the steps before it.
type step struct {
	LastEvent string `cbor:"1,keyasint"`
	Text      string `cbor:"2,keyasint"`
}

// outcome is the record of a result.
type outcome struct {
	Item      string `cbor:"1,keyasint"`
	Succeeded bool   `cbor:"2,keyasint"`
	// Text is the whole text, or with Rest what comes after the item's steps.
	Text string `cbor:"3,keyasint"`
	Rest bool   `cbor:"4,keyasint,omitempty"`
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
	// step counts the records of an item's progress.
	step int
	// whole is the key without the number of its part.
	whole string
}

// keyNumbers is how many numbers follow the job in a key of each kind; the last is that of the part.
var keyNumbers = map[string]int{kindJob: 1, kindEnd: 1, kindResult: 2, kindProgress: 3, kindFailure: 3}

func parseKey(key string) (recordKey, error) {
	parts := strings.Split(key, "/")
	want, ok := keyNumbers[parts[0]]
	if !ok || len(parts) != 2+want {
		return recordKey{}, fmt.Errorf("ledger: key %q isn't known", key)
	}
	k := recordKey{kind: parts[0], job: parts[1], whole: key[:strings.LastIndexByte(key, '/')]}
	numbers := make([]int, want)
	for n, text := range parts[2:] {
		number, err := strconv.Atoi(text)
		if err != nil || number < 0 {
			return recordKey{}, fmt.Errorf("ledger: key %q: %q isn't a number", key, text)
		}
		numbers[n] = number
	}
	if want > 1 {
		k.place = numbers[0]
	}
	if want > 2 {
		k.step = numbers[1]
	}
	return k, nil
}

func jobKey(job string) string { return kindJob + "/" + job }

func endKey(job string) string { return kindEnd + "/" + job }

func resultKey(job string, place int) string { return fmt.Sprintf("%s/%s/%d", kindResult, job, place) }

func failureKey(job string, index, number int) string {
	return fmt.Sprintf("%s/%s/%d/%d", kindFailure, job, index, number)
}

func stepKey(job string, index, number int) string {
	return fmt.Sprintf("%s/%s/%d/%d", kindProgress, job, index, number)
}

// ValidID says whether a job's id can be part of a key.
func ValidID(id string) bool {
	const longest = 128
	return id != "" && len(id) <= longest && !strings.Contains(id, "/")
}
