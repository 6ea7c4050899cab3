package watch

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"

	"github.com/sardinerock/sardinerock"
)

// Member is the record in which an entry registers itself.
type Member struct {
	// Address is the host:port for datagrams to the entry.
	Address string
	// Zone is the availability zone of the entry.
	Zone string
	// CPUPercent is the CPU share of the entry in percent of a core; 0 if unknown.
	CPUPercent int
}

// Value returns the value of the member's record in the store, which ParseMember reads.
func (m Member) Value() []byte { return fmt.Appendf(nil, "%s %s %d", m.Address, m.Zone, m.CPUPercent) }

// ParseMember reads the value of a member's record. Missing fields stay empty.
func ParseMember(raw []byte) Member {
	var m Member
	parts := strings.Fields(string(raw))
	for n, part := range parts {
		switch n {
		case 0:
			m.Address = part
		case 1:
			m.Zone = part
		case 2:
			// A value that isn't a number is from another version; the share stays unknown.
			m.CPUPercent, _ = strconv.Atoi(part)
		}
	}
	return m
}

// Members keeps the entries by name, from the records in which they register themselves.
type Members struct {
	// Changed is called with all entries after each change.
	Changed func(members map[string]Member)

	mu      sync.Mutex
	members map[string]Member
}

// Apply is the Apply of the Follower of the members' topic.
func (m *Members) Apply(records []sardinerock.StoreRecord, reset bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.members == nil || reset {
		m.members = map[string]Member{}
	}
	for _, r := range records {
		if r.Value == nil {
			delete(m.members, r.Key)
		} else {
			m.members[r.Key] = ParseMember(r.Value)
		}
	}
	m.Changed(maps.Clone(m.members))
}
