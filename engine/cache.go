package engine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/params"
)

// maxCacheEvents is the least number of recent events kept for readers; up to twice as many are.
const maxCacheEvents = 4096

type timedEvent struct {
	sardinerock.CacheEvent
	at time.Time
}

// newCache replaces the prefix cache by an empty one, or by none if CacheBlocks is 0. The caller holds e.mu.
func (e *Fake) newCache() {
	e.cache = nil
	if e.Knobs.CacheBlocks <= 0 {
		return
	}
	cache, err := lru.NewWithEvict(e.Knobs.CacheBlocks, func(prefix uint64, _ struct{}) {
		e.addCacheEvent(prefix, true)
	})
	if err == nil {
		e.cache = cache
	}
}

// cachedBlocks returns how many leading blocks of a prompt are in the cache.
func (e *Fake) cachedBlocks(prefixes []uint64) int {
	if e.cache == nil {
		return 0
	}
	for i, prefix := range prefixes {
		if _, ok := e.cache.Get(prefix); !ok {
			return i
		}
	}
	return len(prefixes)
}

// storeBlocks adds the blocks to the cache, the longest prefix first, so that LRU eviction removes a prompt from its end.
func (e *Fake) storeBlocks(prefixes []uint64) {
	if e.cache == nil {
		return
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		if _, ok := e.cache.Get(prefixes[i]); ok {
			continue
		}
		e.cache.Add(prefixes[i], struct{}{})
		e.addCacheEvent(prefixes[i], false)
	}
}

// addCacheEvent records that a block was stored or dropped, but omits every CacheEventGap-th event.
func (e *Fake) addCacheEvent(prefix uint64, dropped bool) {
	e.sequence++
	if gap := int64(e.Knobs.CacheEventGap); gap > 0 && e.sequence%gap == 0 {
		return
	}
	event := sardinerock.CacheEvent{Sequence: e.sequence, Prefix: prefix, Dropped: dropped}
	e.events = append(e.events, timedEvent{event, time.Now()})
	if len(e.events) > 2*maxCacheEvents {
		e.events = append([]timedEvent(nil), e.events[maxCacheEvents:]...)
	}
}

// eventsAfter returns the events with a higher sequence number than after that are at least CacheEventLagMs old.
func (e *Fake) eventsAfter(after int64) []sardinerock.CacheEvent {
	visibleUntil := time.Now().Add(-params.Milliseconds(e.Knobs.CacheEventLagMs))
	events := []sardinerock.CacheEvent{}
	for _, event := range e.events {
		if event.Sequence > after && !event.at.After(visibleUntil) {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}

// sampleReport takes a load report if the latest is ReportLagMs old. Readers get
// the report before the latest, so what they see lags.
func (e *Fake) sampleReport(now time.Time) {
	lag := params.Milliseconds(e.Knobs.ReportLagMs)
	if now.Sub(e.latestReport.MeasuredAt) < lag {
		return
	}
	current := sardinerock.EngineReport{
		Running: len(e.running), Waiting: len(e.waiting), MeasuredAt: now, CacheSequence: e.sequence,
	}
	if e.cache != nil {
		current.CacheUsed = float64(e.cache.Len()) / float64(e.Knobs.CacheBlocks)
	}
	e.visibleReport = e.latestReport
	if lag == 0 || e.visibleReport.MeasuredAt.IsZero() {
		e.visibleReport = current
	}
	e.latestReport = current
}
