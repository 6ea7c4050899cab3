package jobs

import (
	"context"
	"io"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/files"
)

// Put stores a file in the log, see files.Store.Put. It is rejected while the log takes no appends.
func (m *Manager) Put(ctx context.Context, caller, name string, content io.Reader) (sardinerock.FileInfo, error) {
	m.setUp()
	if refusal := m.logFailing(); refusal != nil {
		return sardinerock.FileInfo{}, refusal
	}
	return m.fileStore().Put(ctx, caller, name, content)
}

// Open opens a stored file, see files.Store.Open.
func (m *Manager) Open(ctx context.Context, caller, id string) (io.ReadCloser, sardinerock.FileInfo, error) {
	m.setUp()
	return m.fileStore().Open(ctx, caller, id)
}

func (m *Manager) fileStore() *files.Store {
	return &files.Store{Log: m.Log, Streams: m.Shards, Budget: m.shared.Budget, Now: m.Now}
}
