package assign

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CallerShards is the number of shards that the jobs of one caller are spread over. With one shard a busy caller would be
// limited by one owner; with all shards a list of a caller's jobs would need every shard.
const CallerShards = 4

const jobPrefix = "batch"

// Place returns the shard and the id of the job with a caller's idempotency key. Both are the same at every entry, so a
// retry finds the existing job in the same stream.
func Place(caller, key string, shards int) (shard int, id string) {
	h := xxhash.Sum64String(key)
	shard = CallerShard(caller, int(h%CallerShards), shards)
	low := xxhash.Sum64String(caller + "\x00" + key)
	high := xxhash.Sum64String(key + "\x00" + caller)
	return shard, fmt.Sprintf("%s_%d_%016x%016x", jobPrefix, shard, low, high)
}

// CallerShard returns the i-th of a caller's shards, with i from 0 to CallerShards-1.
func CallerShard(caller string, i, shards int) int {
	return int((xxhash.Sum64String(caller) + uint64(i)) % uint64(shards))
}

// ShardOf returns the shard in a job's id, or false if the id is invalid.
func ShardOf(id string, shards int) (int, bool) {
	parts := strings.Split(id, "_")
	if len(parts) != 3 || parts[0] != jobPrefix {
		return 0, false
	}
	shard, err := strconv.Atoi(parts[1])
	return shard, err == nil && shard >= 0 && shard < shards
}
