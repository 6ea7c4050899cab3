package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// callerShards is how many shards the jobs of one caller are spread over: one
// shard would bound a busy caller by one owner, all shards would make a list
// of a caller's jobs ask for every shard.
const callerShards = 4

const jobPrefix = "batch"

// place returns the shard and the id of the job of a caller's idempotency key.
// Every entry computes the same, so a resend meets the first copy in one stream.
func (m *Manager) place(caller, key string) (shard int, id string) {
	h := xxhash.Sum64String(key)
	shard = m.callerShard(caller, int(h%callerShards))
	low := xxhash.Sum64String(caller + "\x00" + key)
	high := xxhash.Sum64String(key + "\x00" + caller)
	return shard, fmt.Sprintf("%s_%d_%016x%016x", jobPrefix, shard, low, high)
}

func (m *Manager) callerShard(caller string, i int) int {
	return int((xxhash.Sum64String(caller) + uint64(i)) % uint64(m.Shards))
}

// shardOf returns the shard that a job's id names.
func (m *Manager) shardOf(id string) (int, bool) {
	parts := strings.Split(id, "_")
	if len(parts) != 3 || parts[0] != jobPrefix {
		return 0, false
	}
	shard, err := strconv.Atoi(parts[1])
	return shard, err == nil && shard >= 0 && shard < m.Shards
}
