package watch

import (
	"maps"
	"sync"

	"github.com/sardinerock/sardinerock"
)

// Members keeps the addresses of the entries by name: each writes its own.
type Members struct {
	// Changed takes the addresses after each change.
	Changed func(addresses map[string]string)

	mu        sync.Mutex
	addresses map[string]string
}

// Apply implements the Apply of a Follower.
func (m *Members) Apply(records []sardinerock.StoreRecord, reset bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.addresses == nil || reset {
		m.addresses = map[string]string{}
	}
	for _, r := range records {
		if r.Value == nil {
			delete(m.addresses, r.Key)
		} else {
			m.addresses[r.Key] = string(r.Value)
		}
	}
	m.Changed(maps.Clone(m.addresses))
}
