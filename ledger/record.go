package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/chunk"
)

// The kinds of records. The kind is the first part of a key.
const (
	kindJob     = "j"
	kindEnd     = "e"
	kindResult  = "r"
	kindFailure = "f"
	kindClaim   = "o"
	kindStart   = "s"
)

// Accepted is the record of an accepted job. It holds what all entries need to know; the bodies
// of the items are stored separately.
type Accepted struct {
	ID    string `cbor:"1,keyasint"`
	Route string `cbor:"2,keyasint"`
	Host  string `cbor:"3,keyasint"`
	// CreatedAt is when the job arrived, in Unix milliseconds by the clock of the entry that
	// accepted it.
	CreatedAt int64 `cbor:"4,keyasint"`
	// Digest is a hash of the job, by which a retry of the same submission is recognized.
	Digest uint64 `cbor:"5,keyasint"`
	// Tokens holds the tokens of each item. They count against the quota until the item is
	// finished.
	Tokens []int64 `cbor:"6,keyasint"`
	// Bodies is where the items are stored.
	Bodies sardinerock.ContentRef `cbor:"7,keyasint"`
	// Team is the team that the job belongs to. It is empty if callers need no keys, and in
	// records written by versions without teams.
	Team string `cbor:"8,keyasint,omitempty"`
	// Owner is the entry that runs the job's items until another one claims it. It is empty in
	// records written by versions without recorded owners.
	Owner string `cbor:"9,keyasint,omitempty"`
	// OwnerStart identifies the process of the owner at the time of acceptance; see
	// digest.Message. It is 0 if it isn't known, and in records written by versions without it.
	OwnerStart int64 `cbor:"10,keyasint,omitempty"`
	// Config is the version of the configuration under which the job was accepted. It is 0 in records written
	// by versions without it.
	Config int64 `cbor:"11,keyasint,omitempty"`
}

// quotaKey returns the key of the quota against which the job's tokens count: each team has a
// separate bound on each route.
func (a *Accepted) quotaKey() QuotaKey { return QuotaKey{Route: a.Route, Team: a.Team} }

// QuotaKey is the key by which waiting tokens are counted.
type QuotaKey struct{ Route, Team string }

// AccessibleBy reports whether a team may access the job. A job without a recorded team is
// accessible to all callers.
func (a *Accepted) AccessibleBy(team string) bool { return a.Team == "" || a.Team == team }

// Outcome is the record of an item's result.
type Outcome struct {
	Item      string `cbor:"1,keyasint"`
	Succeeded bool   `cbor:"2,keyasint"`
	// Text is where the text of the result is stored.
	Text sardinerock.ContentRef `cbor:"3,keyasint"`
}

// start is the record of a run that the owner of an epoch is about to make. It is valid only if the
// epoch is the job's current one and fewer than Limit runs are recorded, the first one included.
type start struct {
	Epoch int `cbor:"1,keyasint"`
	Limit int `cbor:"2,keyasint"`
}

// records encodes a value as one record, or as several if it exceeds the size limit of a record.
func records(key string, value any, recordBytes int) ([]sardinerock.StoreRecord, error) {
	raw, err := cbor.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("ledger: %s: %w", key, err)
	}
	return chunk.Records(key, raw, recordBytes), nil
}

// recordKey is a parsed key. Keys of records about jobs are KIND/JOB/PART, those of records about
// items KIND/JOB/INDEX/CHANGE/PART. The store keeps only the newest record of each key. The name
// of the change makes keys unique, since a record that replaced that of another change would move
// it in the order. The key of a claim has the epoch in place of the index.
type recordKey struct {
	kind string
	job  string
	// index is the index of the item, or the epoch of a claim.
	index int
	// change is the name of the change that the record belongs to, without the number of the
	// retry.
	change string
	// valueKey is the key without the number of the part.
	valueKey string
}

// aboutItems reports whether the record belongs to the topic of items: results, failures, starts
// and claims.
func (k *recordKey) aboutItems() bool { return k.kind != kindJob && k.kind != kindEnd }

// keyParts is the number of parts of a key of each kind.
var keyParts = map[string]int{kindJob: 3, kindEnd: 3, kindResult: 5, kindFailure: 5, kindClaim: 5, kindStart: 5}

func parseKey(key string) (recordKey, error) {
	parts := strings.Split(key, "/")
	if want, ok := keyParts[parts[0]]; !ok || len(parts) != want {
		return recordKey{}, fmt.Errorf("ledger: key %q: unknown kind or wrong number of parts", key)
	}
	k := recordKey{kind: parts[0], job: parts[1], valueKey: key[:strings.LastIndexByte(key, '/')]}
	if _, err := parseNumber(key, parts[len(parts)-1]); err != nil {
		return recordKey{}, err
	}
	if !k.aboutItems() {
		return k, nil
	}
	var err error
	if k.index, err = parseNumber(key, parts[2]); err != nil {
		return recordKey{}, err
	}
	k.change = trimRetry(parts[3])
	return k, nil
}

// trimRetry returns the name that all retries of a change share.
func trimRetry(change string) string {
	name, _, _ := strings.Cut(change, retrySeparator)
	return name
}

func parseNumber(key, text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("ledger: key %q: %q is not a non-negative integer", key, text)
	}
	return n, nil
}

// retrySeparator separates the name of a change from the number of the retry in a key.
const retrySeparator = "."

// ChangeName returns the name of a change in keys: the writer's unique name, the sequence number
// of the change, and the number of the retry. Each retry has a key of its own.
func ChangeName(writer string, sequence, retries int) string {
	return writer + "-" + strconv.Itoa(sequence) + retrySeparator + strconv.Itoa(retries)
}

func jobKey(job string) string { return kindJob + "/" + job }

func endKey(job string) string { return kindEnd + "/" + job }

func itemKey(kind, job string, index int, change string) string {
	return fmt.Sprintf("%s/%s/%d/%s", kind, job, index, change)
}
