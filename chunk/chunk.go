package chunk

import (
	"strconv"

	"github.com/sardinerock/sardinerock"
)

// keyOverheadBytes is reserved in each record for its key and the first byte of its value.
const keyOverheadBytes = 300

// The first byte of a record's value: whether another part of the value follows.
const (
	lastPart byte = 0
	morePart byte = 1
)

// Records splits a value into records of at most recordBytes with the keys KEY/0, KEY/1
// and so on. An empty value is one record. recordBytes must be above keyOverheadBytes.
func Records(key string, raw []byte, recordBytes int) []sardinerock.StoreRecord {
	maxPartBytes := recordBytes - keyOverheadBytes
	var records []sardinerock.StoreRecord
	for part := 0; ; part++ {
		n := min(len(raw), maxPartBytes)
		marker := lastPart
		if n < len(raw) {
			marker = morePart
		}
		content := append([]byte{marker}, raw[:n]...)
		records = append(records, sardinerock.StoreRecord{Key: PartKey(key, part), Value: content})
		if raw = raw[n:]; len(raw) == 0 {
			return records
		}
	}
}

// PartKey returns the key of a part, counted from 0, of the value with the given key.
func PartKey(key string, part int) string { return key + "/" + strconv.Itoa(part) }

// Part returns the part of a value that a record contains, and whether it is the last part. A
// record without a value counts as an empty last part.
func Part(r *sardinerock.StoreRecord) (raw []byte, last bool) {
	if len(r.Value) == 0 {
		return nil, true
	}
	return r.Value[1:], r.Value[0] == lastPart
}
