package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/fakes"
)

// TestSilentConnectionHoldsOneCall guards against each call forwarded to a peer waiting on another connection that went silent.
func TestSilentConnectionHoldsOneCall(t *testing.T) {
	g := NewWithT(t)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		w.WriteHeader(http.StatusAccepted)
	}))
	t.Cleanup(peer.CloseClientConnections)
	f := &fakes.Forwarder{Target: strings.TrimPrefix(peer.URL, "http://")}
	g.Expect(f.Start()).To(Succeed())
	t.Cleanup(f.Stop)
	p := &Proxy{Client: NewClient()}
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := p.forwardTo(ctx, httptest.NewRequest(http.MethodGet, "/jobs/j", nil), f.Address(), nil)
		return err
	}
	var group sync.WaitGroup
	for range maxIdleConns {
		group.Go(func() { g.Expect(call()).To(Succeed()) })
	}
	group.Wait()
	f.Silence()
	g.Expect(call()).NotTo(Succeed())
	g.Expect(call()).To(Succeed())
}
