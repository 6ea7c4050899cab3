package items

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an item of a job within an entry, by a hash.
func Key(job string, index int) uint64 {
	return xxhash.Sum64String(job + "/" + strconv.Itoa(index))
}

// ShortKey shortens a key for messages to other entries. If it collides with the key of an item
// that runs elsewhere, the item waits until that run ends.
func ShortKey(key uint64) uint32 { return uint32(key) }
