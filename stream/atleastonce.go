package stream

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock"
)

// AppendAtLeastOnce appends data until the log acknowledges it and returns the
// offset of that copy. It is for idempotent records. It fails only when ctx is done.
func AppendAtLeastOnce(ctx context.Context, log sardinerock.Log, budget *Budget, name string, data []byte) (int64, error) {
	pause := minBackoff
	for {
		if err := budget.Wait(ctx); err != nil {
			return 0, err
		}
		offset, err := appendOnce(ctx, log, name, data)
		if err == nil {
			return offset, nil
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return 0, err
		case <-t.C:
		}
		pause = min(2*pause, maxBackoff)
	}
}

func appendOnce(ctx context.Context, log sardinerock.Log, name string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return log.Append(ctx, name, data)
}
