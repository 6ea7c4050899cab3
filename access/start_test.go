package access

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// waitDialect sets the caller's wait of every request and leaves the rest of the call empty.
type waitDialect struct {
	sardinerock.Dialect
	wait time.Duration
}

func (d waitDialect) ReadCall(*http.Request) sardinerock.Call {
	return sardinerock.Call{Timeout: d.wait}
}

// All entries failed and are starting again, which takes longer the more there are. A request
// that arrives meanwhile must be held until the start is complete, but not if the store
// can't be read, and not for so long that its caller gives up.
func TestRequestIsHeldDuringStartup(t *testing.T) {
	const start = 600 * time.Millisecond
	for name, c := range map[string]struct {
		wait time.Duration
		// lostAt is when the store is found to be unreachable; 0 is never.
		lostAt      time.Duration
		least, most time.Duration
	}{
		"the caller waits long enough":  {wait: 5 * time.Second, least: start, most: start + 300*time.Millisecond},
		"the caller waits briefly":      {wait: 400 * time.Millisecond, least: 200 * time.Millisecond, most: 500 * time.Millisecond},
		"the store is unreachable":      {wait: 5 * time.Second, lostAt: 1, most: 300 * time.Millisecond},
		"the store becomes unreachable": {wait: 5 * time.Second, lostAt: 200 * time.Millisecond, least: 200 * time.Millisecond, most: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			started := make(chan struct{})
			// The timers start after the time from which the wait is measured.
			begin := time.Now()
			time.AfterFunc(start, func() { close(started) })
			var lost atomic.Bool
			if c.lostAt > 0 {
				time.AfterFunc(c.lostAt, func() { lost.Store(true) })
			}
			a := &Access{
				Dialect: waitDialect{wait: c.wait}, Started: started, StoreLost: lost.Load, Events: &event.Logger{},
				Table: func() *sardinerock.RouteTable { return nil },
			}
			a.waitForStartup(httptest.NewRequest(http.MethodGet, "/", http.NoBody))
			g.Expect(time.Since(begin)).To(And(BeNumerically(">=", c.least), BeNumerically("<", c.most)))
		})
	}
}
