package sardinerock

import (
	"crypto/sha256"
)

// TeamInfo is a group of callers with its own keys and one quota over all entries.
type TeamInfo struct {
	// Name is sent to backend servers to identify the caller.
	Name string
	// PerSecond is the number of requests per second that the team may send; 0 means unlimited.
	PerSecond float64
	// Burst is the number of additional requests that the team may send at once.
	Burst float64
	// HasPriority is set if the team has a Priority, which overrides that of the route.
	HasPriority bool
	Priority    int
}

// Limited reports whether the team has a quota; false for nil.
func (t *TeamInfo) Limited() bool { return t != nil && t.PerSecond > 0 }

// KeyDigest is stored instead of a caller's key, so that a dump of the table discloses no key.
type KeyDigest [16]byte

// DigestKey returns the first 16 bytes of the SHA-256 hash of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:16])
}

// TeamTable looks up teams by the digests of their keys. It is immutable.
type TeamTable struct {
	byKey map[KeyDigest]*TeamInfo
	teams []*TeamInfo
}

// NewTeamTable returns a table of teams; keys maps the digests of all keys to their teams.
func NewTeamTable(teams []*TeamInfo, keys map[KeyDigest]*TeamInfo) *TeamTable {
	return &TeamTable{byKey: keys, teams: teams}
}

// Find returns the team that holds a key, or nil.
func (t *TeamTable) Find(key string) *TeamInfo { return t.byKey[DigestKey(key)] }

// Teams returns all teams, none for a nil table. Callers must not change the slice.
func (t *TeamTable) Teams() []*TeamInfo {
	if t == nil {
		return nil
	}
	return t.teams
}

// Len returns the number of teams, 0 for a nil table.
func (t *TeamTable) Len() int { return len(t.Teams()) }
