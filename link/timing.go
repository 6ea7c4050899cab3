package link

import (
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// Timing holds the intervals of a link's heartbeats and timeouts.
type Timing struct {
	// Tick is the interval in which the other fields are counted.
	Tick time.Duration
	// HeartbeatTicks is the maximum number of ticks between heartbeats, even if other frames are sent.
	HeartbeatTicks int
	// ProbeTicks is the number of ticks without a received frame after which a link
	// with attempts in flight sends a heartbeat.
	ProbeTicks int
	// TimeoutTicks is the number of ticks that a heartbeat may stay unanswered; at the next one the link times out.
	TimeoutTicks int
}

// heartbeatSpacing is the mean time between heartbeats over all links of an entry.
// With 40 ms the traffic stays near a node's budget of 2 KB/s for control traffic,
// independent of the number of links.
const heartbeatSpacing = 40 * time.Millisecond

// TimingFor returns the timing of an entry with that many links.
//
// A link with attempts in flight that receives no frame for 300 ms sends a heartbeat
// and times out if that is not answered within 900 ms: callers expect the first token
// within 0.95 s and must not wait long for a connection whose state was lost on the
// way. While tokens arrive, no such heartbeat is needed. On an idle link no request
// waits, so a failure only has to be found before the link is used.
func TimingFor(links int) Timing {
	const tick = 100 * time.Millisecond
	idle := max(5, int(heartbeatSpacing*time.Duration(links)/tick))
	return Timing{Tick: tick, HeartbeatTicks: idle, ProbeTicks: 3, TimeoutTicks: 9}
}

// maxFrame limits the size of one frame; the largest frames carry a caller's whole request.
const maxFrame = 64 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxFrame},
		Stream: drpcstream.Options{ManualFlush: true},
	}
}

type rawFlusher interface {
	RawFlush() error
}

type drpcStream interface {
	GetStream() drpc.Stream
}

// flusher returns the function that sends a stream's buffered frames; drpc's stream interface doesn't include it.
func flusher(stream drpcStream) func() error {
	if f, ok := stream.GetStream().(rawFlusher); ok {
		return f.RawFlush
	}
	return func() error { return nil }
}
