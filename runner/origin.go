package runner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/items"
)

// maxRoomWait is how long an item with a text waits for a free slot at the version that wrote it while others have
// one, before it starts over. A text takes a few seconds.
const maxRoomWait = 3 * time.Second

// The values of the field why of event.ItemStartedOver.
const (
	originLeft   = "left"
	originNoRoom = "noRoom"
)

// chooseService chooses the service of an item's next run. One with a text goes on at its origin, and starts over if
// that no longer serves, or has no room: nothing of the text has been listed yet.
func (r *Runner) chooseService(c *candidate, j *loadedJob) {
	position, noRoom := r.positionOf(c)
	o, why := position.Origin, ""
	switch {
	case position == sardinerock.Position{}:
	case !c.route.Serves(o.Service) || !r.Pool.Serves(o):
		why = originLeft
	case noRoom:
		why = originNoRoom
	default:
		c.service, c.origin = o.Service, o
		return
	}
	if why != "" {
		r.startOver(c, j, position, why)
	}
	c.service = c.route.Service(r.Pace.Random.Float64())
}

// positionOf returns where an item goes on, and whether it has waited there for long enough.
func (r *Runner) positionOf(c *candidate) (position sardinerock.Position, noRoom bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.items[c.key]
	if i == nil || len(c.progress.Text) > len(i.text) {
		position = c.progress.Position
	} else {
		position = i.position
	}
	return position, i != nil && i.noRoom
}

// recordNoRoom records that no backend server of the version that wrote an item's text has a free slot. Only while
// others have one, the item would be done sooner if it started over.
func (r *Runner) recordNoRoom(c *candidate, reserve int, now time.Time) {
	if !c.origin.Known() {
		return
	}
	elsewhere := r.Pool.FreeSlots(c.service, reserve, now) > 0
	r.mu.Lock()
	defer r.mu.Unlock()
	switch i := r.itemOf(c); {
	case !elsewhere:
		i.noRoomSince = time.Time{}
	case i.noRoomSince.IsZero():
		i.noRoomSince = now
	default:
		i.noRoom = now.Sub(i.noRoomSince) >= maxRoomWait
	}
}

// startOver discards an item's text. Its saved progress is replaced once the new text is saved.
func (r *Runner) startOver(c *candidate, j *loadedJob, position sardinerock.Position, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.itemOf(c)
	metrics.GetOrRegisterCounter("batch.startedOver", r.Metrics).Inc(1)
	r.Events.Info(event.ItemStartedOver).Str("job", c.Job).Str("item", c.body.ID).Str("service", position.Origin.Service).Str("version", position.Origin.Version).
		Int("events", items.EventNumber(position.LastEvent)).Str("why", why).Msg("item starts over; the version that wrote its text has left, or has no room")
	i.position, i.text, i.savedBytes, i.unprovenAfter = sardinerock.Position{}, nil, 0, ""
	i.noRoomSince, i.noRoom = time.Time{}, false
	// Giving back doesn't fail.
	_ = i.room.Set(0)
	delete(j.progress, c.Index)
	c.progress = blobs.Progress{}
}
