package jobs

import (
	"time"

	"github.com/sardinerock/sardinerock/stream"
)

// checkpointsPerRetention leaves several tries at a checkpoint before the log drops what it stands for.
const checkpointsPerRetention = 8

// keeper knows when the shard's checkpoint is due.
type keeper struct {
	// entries counts the log records folded since the last checkpoint.
	entries int
	lastAt  time.Time
}

func (k *keeper) loaded(c *stream.Checkpoint) {
	k.entries = 0
	if c != nil {
		k.lastAt = time.UnixMilli(c.AtMs)
	}
}

func (p *part) keepUp() {}
