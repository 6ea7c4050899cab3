package ticker

import (
	"context"
	"time"
)

// Every calls f at once and then once per interval until ctx is done. Calls do not
// overlap; ticks during a long call are dropped.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
