package share

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/memkv"
)

// closingStore counts the calls of CloseIdle.
type closingStore struct {
	sardinerock.Store
	closed atomic.Int64
}

func (s *closingStore) CloseIdle() { s.closed.Add(1) }

// TestSilentReaderMakesTheStoreBeReadAnew guards against an entry whose connections to its reader and to the store have gone silent
// together waiting for both in turn.
func TestSilentReaderMakesTheStoreBeReadAnew(t *testing.T) {
	for name, tt := range map[string]struct {
		reader http.HandlerFunc
		closed int64
	}{
		"silent":  {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 1},
		"refuses": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			reader := httptest.NewServer(tt.reader)
			defer reader.Close()
			store := &closingStore{Store: &memkv.Store{}}
			s := &Source{
				Store: store, Readers: func() []string { return []string{reader.Listener.Addr().String()} }, Serving: func() bool { return false },
				MaxAge: time.Second, Client: http.DefaultClient, Events: &event.Logger{}, Metrics: metrics.NewRegistry(),
			}
			_, err := s.Read(t.Context(), topic, 0, 0)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(store.closed.Load()).To(Equal(tt.closed))
		})
	}
}
