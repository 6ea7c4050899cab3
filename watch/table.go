package watch

import (
	"sync"
	"sync/atomic"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// Table keeps the route table with the highest version.
type Table struct {
	// Key is the key of the record with the configuration.
	Key string
	// Parse decodes the configuration.
	Parse func(raw []byte) (*sardinerock.RouteTable, error)
	// Changed, if set, is called with each new table before it takes effect.
	Changed func(t *sardinerock.RouteTable)
	Events  *event.Logger

	mu       sync.Mutex
	current  atomic.Pointer[sardinerock.RouteTable]
	document []byte
}

// Current returns the route table in force, or nil before the first one is read.
func (t *Table) Current() *sardinerock.RouteTable { return t.current.Load() }

// Document returns the route table in force and the document that it was parsed from.
func (t *Table) Document() (*sardinerock.RouteTable, []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current.Load(), t.document
}

// Apply is the Apply of the Follower of the configuration's topic.
func (t *Table) Apply(records []sardinerock.StoreRecord, _ bool) {
	for _, r := range records {
		if r.Key != t.Key || r.Value == nil {
			continue
		}
		if err := t.Update(r.Value); err != nil {
			t.Events.Warn(event.BundleRejected).Err(err).Int64("offset", r.Offset).Msg("configuration can't be parsed; the previous one stays in force")
		}
	}
}

// Update puts a document in force if its version is higher than that of the current one; an older record that is
// read again has no effect. It returns the error of Parse.
func (t *Table) Update(document []byte) error {
	table, err := t.Parse(document)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.current.Load(); old != nil && old.Version >= table.Version {
		return nil
	}
	if t.Changed != nil {
		t.Changed(table)
	}
	t.current.Store(table)
	t.document = document
	t.Events.Info(event.BundleInForce).Int64("version", table.Version).
		Int("routes", len(table.Routes)).Int("teams", table.Teams.Len()).Msg("configuration in force")
	return nil
}
