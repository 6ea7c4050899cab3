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
	kindEnd      = "e"
	kindResult   = "r"
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
	// Step names the change that recorded the last part of Text; empty if nothing is recorded.
	Step string
}

// step is the record of what came after the steps before it.
type step struct {
	LastEvent string `cbor:"1,keyasint"`
	Text      string `cbor:"2,keyasint"`
	// After names the change that recorded the step before it.
	After string `cbor:"3,keyasint,omitempty"`
}

// outcome is the record of a result.
type outcome struct {
	Item      string `cbor:"1,keyasint"`
	Succeeded bool   `cbor:"2,keyasint"`
	// Text is what comes after the item's steps up to After.
	Text string `cbor:"3,keyasint"`
	// After names the change that recorded the last step before Text; empty if Text is all.
	After string `cbor:"4,keyasint,omitempty"`
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

// recordKey is a key taken apart. Keys of jobs are KIND/JOB/PART, those of items
// KIND/JOB/INDEX/CHANGE/PART: the store keeps the newest record of each key, and
// a change has a key of its own so that none takes the place of another's record,
// which would move it in the order.
type recordKey struct {
	kind string
	job  string
	// index is that of the item.
	index int
	// change names the change that the record was made for; a repeat has the same.
	change string
	// whole is the key without the number of its part.
	whole string
}

// ofItem says whether the record is about an item.
func (k *recordKey) ofItem() bool { return k.kind != kindJob && k.kind != kindEnd }

// keyParts is how many parts a key of each kind has.
var keyParts = map[string]int{kindJob: 3, kindEnd: 3, kindResult: 5, kindProgress: 5, kindFailure: 5}

func parseKey(key string) (recordKey, error) {
	parts := strings.Split(key, "/")
	if want, ok := keyParts[parts[0]]; !ok || len(parts) != want {
		return recordKey{}, fmt.Errorf("ledger: key %q isn't known", key)
	}
	k := recordKey{kind: parts[0], job: parts[1], whole: key[:strings.LastIndexByte(key, '/')]}
	if _, err := number(key, parts[len(parts)-1]); err != nil {
		return recordKey{}, err
	}
	if !k.ofItem() {
		return k, nil
	}
	var err error
	if k.index, err = number(key, parts[2]); err != nil {
		return recordKey{}, err
	}
	k.change = withoutRepeat(parts[3])
	return k, nil
}

// withoutRepeat returns the name that all repeats of a change share.
func withoutRepeat(change string) string {
	name, _, _ := strings.Cut(change, repeatMark)
	return name
}

func number(key, text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("ledger: key %q: %q isn't a number", key, text)
	}
	return n, nil
}

// repeatMark stands in a key between a change's name and the number of its repeat.
const repeatMark = "."

// ChangeName returns the name of a change in keys: a writer's own, how many
// changes it made before, and how often this one was appended before.
func ChangeName(writer string, number, repeats int) string {
	return writer + "-" + strconv.Itoa(number) + repeatMark + strconv.Itoa(repeats)
}

func jobKey(job string) string { return kindJob + "/" + job }

func endKey(job string) string { return kindEnd + "/" + job }

func itemKey(kind, job string, index int, change string) string {
	return fmt.Sprintf("%s/%s/%d/%s", kind, job, index, change)
}

// ValidID says whether a job's id can be part of a key.
func ValidID(id string) bool {
	const longest = 128
	return id != "" && len(id) <= longest && !strings.Contains(id, "/")
}
