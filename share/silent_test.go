package share

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/memkv"
)

// closingStore counts the calls of CloseIdle, and records the wait of the latest read.
type closingStore struct {
	sardinerock.Store
	closed atomic.Int64
	wait   time.Duration
}

func (s *closingStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (sardinerock.StorePage, error) {
	s.wait = wait
	return s.Store.Read(ctx, topic, from, wait)
}

func (s *closingStore) CloseIdle() { s.closed.Add(1) }

// TestSilentReaderMakesTheStoreBeReadAnew guards against an entry waiting for its reader and for the store in turn if connections to
// both, or those of the reader and of this entry to the store, went silent together, and against a read of the store with the
// timeouts of large pages (a wait of 0), which double each time.
func TestSilentReaderMakesTheStoreBeReadAnew(t *testing.T) {
	for name, tt := range map[string]struct {
		reader http.HandlerFunc
		closed int64
	}{
		"silent": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 1},
		"answers with an old page": {func(w http.ResponseWriter, _ *http.Request) {
			raw, err := encode(&sardinerock.StorePage{})
			if err != nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
			w.Header().Set(headerAge, strconv.FormatInt(int64(2*time.Second), 10))
			_, _ = w.Write(raw)
		}, 1},
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
			g.Expect(store.wait).To(And(BeNumerically(">", 0), BeNumerically("<", 100*time.Millisecond)))
		})
	}
}

// TestCancelledReadKeepsItsReader guards against a reader being skipped for seconds because a read of it was no longer needed.
func TestCancelledReadKeepsItsReader(t *testing.T) {
	g := NewWithT(t)
	reached := make(chan struct{})
	reader := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
	}))
	defer reader.Close()
	store := &closingStore{Store: &memkv.Store{}}
	s := &Source{
		Store: store, Readers: func() []string { return []string{reader.Listener.Addr().String()} }, Serving: func() bool { return false },
		MaxAge: time.Second, Client: http.DefaultClient, Events: &event.Logger{}, Metrics: metrics.NewRegistry(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reached
		cancel()
	}()
	_, err := s.Read(ctx, topic, 0, time.Second)
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.cooldowns).To(BeEmpty())
	g.Expect(store.closed.Load()).To(BeZero())
}
