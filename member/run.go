package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// maxListDelay limits the time between two readings of the list, however long it is.
const maxListDelay = 30 * time.Minute

// instanceOverhead is the size of an instance in the JSON form of the list without its string values, in bytes.
const instanceOverhead = 70

// Run reads the list and evaluates the watched instances until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(HeartbeatInterval / 2)
	defer ticker.Stop()
	next := time.Now()
	failed := false
	for {
		if now := time.Now(); !now.Before(next) {
			list, err := t.readList(ctx)
			if err != nil && !failed && ctx.Err() == nil {
				t.Events.Warn(event.ListChanged).Err(err).Msg("could not read the instance list; using the last one")
			}
			failed = err != nil
			if err == nil {
				t.SetList(time.Now(), list)
			}
			next = time.Now().Add(t.listDelay(list))
		}
		t.Evaluate(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (t *Tracker) readList(ctx context.Context) ([]sardinerock.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return t.List.Instances(ctx)
}

func (t *Tracker) listDelay(list []sardinerock.Instance) time.Duration {
	pause := ListDelay(list, orDefault(t.ListInterval, defaultListInterval), orDefault(t.ListBytesPerSecond, defaultListBytesPerSecond))
	return pause*3/4 + rand.N(pause/2+1)
}

// ListDelay returns the time until the next reading of the list, so that long lists cost no more than bytesPerSecond.
//
// The platform always sends the whole list: 3 KB at 21 instances, over a megabyte at
// 11,370. Read every two seconds, that would cost a node three hundred times its budget
// for control traffic. Nothing urgent depends on the list: heartbeats detect losses and
// a leaving instance announces it. Only new instances wait longer for work.
func ListDelay(list []sardinerock.Instance, floor time.Duration, bytesPerSecond int) time.Duration {
	bytes := 0
	for _, x := range list {
		bytes += ListBytes(x)
	}
	pause := time.Duration(bytes) * time.Second / time.Duration(bytesPerSecond)
	return min(max(pause, floor), maxListDelay)
}

// ListBytes estimates the size of one instance in the JSON form of the list.
func ListBytes(x sardinerock.Instance) int {
	return instanceOverhead + len(x.ID) + len(x.Role) + len(x.Region) + len(x.Zone) + len(x.Address) + len(x.Service)
}
