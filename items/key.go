package items

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Key names an item of a job at an entry.
func Key(job string, index int) uint64 {
	return xxhash.Sum64String(job + "/" + strconv.Itoa(index))
}

// ShortKey is the same in what is told: taken for another one that runs
// elsewhere, an item waits for the end of that.
func ShortKey(key uint64) uint32 { return uint32(key) }
