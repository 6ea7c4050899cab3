package invoke

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/pool"
)

// eventTimeout is the longest pause between two events of a stream; after it the item is
// resumed elsewhere. Events arrive every 30 ms.
const eventTimeout = 2 * time.Second

// checkTimeout bounds a health check after a stream without framing.
const checkTimeout = 1500 * time.Millisecond

// maxRunBytes bounds the text of a run. The results of a job are read by the megabyte.
const maxRunBytes = 4 << 20

// Outcome is the outcome of one run.
type Outcome int

const (
	// Succeeded means that the text is complete.
	Succeeded Outcome = iota
	// Unprocessable means that the backend server can never run the item (status 422).
	Unprocessable
	// Failed means that the backend server ran the item and reported a failure.
	Failed
	// Interrupted means that the item has to be resumed later.
	Interrupted
	// Rejected means that the backend server had no capacity and did not run the item.
	Rejected
	// Unreserved means that the item was not sent: the backend server had no free slot to
	// reserve, or BeforeSend returned an error.
	Unreserved
	// BrokenOff means that the item has to be resumed later, since the backend server ended the
	// connection while it ran the item.
	BrokenOff
)

var errNoEvent = fmt.Errorf("%w: stream without framing ended before the first event", conns.ErrBrokenOff)

// Item is a batch item to run, from its last received event on.
type Item struct {
	// Host and Team are those of the item's job.
	Host, Team string
	Body       *sardinerock.BatchItem
	// Position is after the last received event. Run sets it.
	Position sardinerock.Position
	// UnprovenAfter is the last event of a stream without framing that ended with its connection, or empty.
	// Run sets it; the item is complete if a further run ends there, too.
	UnprovenAfter string
	// End is how the response of the last run ended. Run sets it; it is empty if there was no response, or the
	// run was cancelled.
	End conns.End
	// Proof is what showed whether that response was complete. Run sets it.
	Proof conns.Proof
	// OnEvent is called for each received event, in order, with the position after it.
	OnEvent func(after sardinerock.Position, data string)
	// Hold, if set, takes memory for the data of an event, in bytes, before OnEvent is called. After an error the run ends.
	Hold func(size int) error
	// BeforeSend is called right before the item is sent. If it returns an error, the item is not
	// sent.
	BeforeSend func(ctx context.Context) error
}

// Invoker runs batch items at backend servers.
type Invoker struct {
	Batch sardinerock.BatchDialect
	Table func() *sardinerock.RouteTable
	Pool  *pool.Pool
	Conns *conns.Conns
	// Events may be nil.
	Events *event.Logger
}

// Run reserves a slot, if the service supports reservations and the item needs no more than one
// slot's memory, and runs the item in it. Sent without a reservation to a backend server with
// no free slot, the item would queue there ahead of later online requests.
func (v *Invoker) Run(ctx context.Context, i *Item, choice *pool.Choice) (Outcome, error) {
	var reservation *conns.Reservation
	tokens := i.Body.Tokens
	if info := v.Table().Services[choice.Service]; info.ReservationTTL > 0 && info.FitsSlot(tokens) {
		var err error
		reservation, err = v.Conns.Reserve(ctx, &choice.BackendServer, tokens, info.ReservationTTL)
		switch {
		case err != nil:
			return Interrupted, err
		case reservation == nil:
			v.Pool.RecordFull(choice.ID, time.Now())
			return Unreserved, nil
		}
		v.Pool.RecordReserved(choice.ID)
	}
	if err := i.BeforeSend(ctx); err != nil {
		if reservation != nil {
			reservation.Close()
		}
		return Unreserved, err
	}
	return v.exchange(ctx, i, choice, reservation)
}

// exchange runs an item. A backend server that ends closes its connections as at the end of a stream without
// framing, so the same one is asked for more events then: one that has cut the stream continues it, and one that has
// completed it sends no event.
func (v *Invoker) exchange(ctx context.Context, i *Item, choice *pool.Choice, reservation *conns.Reservation) (Outcome, error) {
	i.End, i.Proof = "", conns.ProofNone
	defer func(parent context.Context) {
		if parent.Err() != nil {
			i.End = ""
		}
	}(ctx)
	// A backend server ends its work at the deadline that it is given.
	ctx, cancel := context.WithTimeout(ctx, v.Batch.ItemDeadline()+eventTimeout)
	defer cancel()
	before := i.Position.LastEvent
	outcome, err := v.send(ctx, i, choice, reservation)
	for errors.Is(err, conns.ErrUnproven) {
		switch {
		case i.Position.LastEvent == "":
			i.End = conns.EndNoEvent
			return BrokenOff, errNoEvent
		case i.Position.LastEvent == before && i.UnprovenAfter == before:
			return v.confirm(ctx, i, choice)
		}
		before, i.UnprovenAfter = i.Position.LastEvent, i.Position.LastEvent
		if v.Pool.Leaving(choice.ID) {
			// It accepts no requests. Another backend server is asked for more events.
			return i.unconfirmed(nil)
		}
		outcome, err = v.send(ctx, i, choice, nil)
		if i.Position.LastEvent == before && outcome != Succeeded && !errors.Is(err, conns.ErrUnproven) {
			return i.unconfirmed(err)
		}
	}
	return outcome, err
}

// confirm completes an item for which a backend server, asked for more events, sent none, if that instance still
// answers: the response without events of one that has ended since confirms nothing, whoever accepts its connections.
func (v *Invoker) confirm(ctx context.Context, i *Item, choice *pool.Choice) (Outcome, error) {
	err := v.Conns.CheckInstance(ctx, &choice.BackendServer, v.Table().Services[choice.Service].HealthPath, checkTimeout)
	switch {
	case err == nil:
		i.End, i.Proof = conns.EndConfirmed, conns.ProofInstance
		return Succeeded, nil
	case isGone(err):
		return i.unconfirmed(err)
	}
	// A busy backend server isn't at fault.
	return i.unconfirmed(nil)
}

// unconfirmed interrupts an item whose backend server, asked for more events or its health, has ended or gave no answer. A
// rejection or a status of failure is no error: the backend server works.
func (i *Item) unconfirmed(err error) (Outcome, error) {
	switch {
	case !isGone(err):
		i.End = conns.EndUnproven
		return Interrupted, err
	case errors.Is(err, conns.ErrOtherInstance):
		i.Proof = conns.ProofInstance
	case errors.Is(err, syscall.ECONNREFUSED):
		i.Proof = conns.ProofRefused
	default:
		i.Proof = conns.ProofClosed
	}
	i.End, i.UnprovenAfter = conns.EndServerGone, ""
	return BrokenOff, err
}

// isGone reports whether the error of a further request shows that the backend server has ended. A reset doesn't: one that
// works resets connections beyond its limit.
func isGone(err error) bool {
	return errors.Is(err, conns.ErrOtherInstance) || errors.Is(err, syscall.ECONNREFUSED) ||
		errors.Is(err, conns.ErrBrokenOff) && !errors.Is(err, syscall.ECONNRESET)
}

// send sends an item once and receives the events of the response.
func (v *Invoker) send(ctx context.Context, i *Item, choice *pool.Choice, reservation *conns.Reservation) (Outcome, error) {
	resp, err := v.Conns.Send(ctx, &choice.BackendServer, v.Batch.ItemCall(i.Host, i.Team, i.Body), sardinerock.Attempt{
		Instance: choice.Name, Remaining: v.Batch.ItemDeadline(), Position: i.Position, HeadTimeout: eventTimeout,
	}, reservation)
	if err != nil {
		switch {
		case errors.Is(err, conns.ErrMalformedRequest):
			// No backend server can run an item that an older build accepted with such a value.
			return Unprocessable, err
		case errors.Is(err, conns.ErrTooLarge):
			i.End = conns.EndTooLarge
		}
		return interruption(err), err
	}
	defer resp.Finish()
	switch {
	case resp.NotRun:
		return Rejected, nil
	case resp.StatusCode == http.StatusUnprocessableEntity:
		return Unprocessable, nil
	case resp.StatusCode >= http.StatusMultipleChoices:
		return Failed, nil
	case !resp.Signed:
		return Interrupted, errors.New("response has no signature")
	}
	return v.read(resp, i, choice.Origin())
}

// read passes the events of a response to the item. Events received before an error are kept:
// the next run resumes after them.
func (v *Invoker) read(resp *conns.Response, i *Item, o sardinerock.Origin) (Outcome, error) {
	began, events, size := time.Now(), 0, 0
	reader := &conns.EventReader{Response: resp, ReadDeadline: func() time.Time { return time.Now().Add(eventTimeout) }}
	for {
		e, err := reader.Next()
		switch {
		case errors.Is(err, io.EOF):
			i.End, i.Proof = conns.EndProven, resp.Framing().Proof()
			return Succeeded, nil
		case err != nil:
			i.End = endOf(err)
			if i.End != conns.EndBroken {
				v.Events.Warn(event.EndUnproven).Str("request", i.Body.ID).Str("server", resp.Server()).Str("framing", string(resp.Framing())).
					Str("end", string(i.End)).Str("proof", string(i.Proof)).Int("events", events).Str("last", i.Position.LastEvent).Dur("took", time.Since(began)).
					Msg("the end of a response doesn't prove that it is complete")
			}
			return interruption(err), err
		}
		if data, ok := e.Data(); ok {
			if !conns.IsNextEvent(i.Position.LastEvent, e.ID) {
				return Interrupted, errors.New("stream does not resume after the requested event")
			}
			if size += len(data); size > maxRunBytes {
				i.End = conns.EndTooLarge
				return Interrupted, fmt.Errorf("%w: %w: %d bytes of text", conns.ErrIncomplete, conns.ErrTooLarge, size)
			}
			if i.Hold != nil {
				if err := i.Hold(len(data)); err != nil {
					i.End = conns.EndTooLarge
					return Interrupted, fmt.Errorf("%w: %w", conns.ErrIncomplete, err)
				}
			}
			i.Position = sardinerock.Position{LastEvent: e.ID, Origin: o}
			i.OnEvent(i.Position, data)
			events++
		}
	}
}

// endOf returns how a response ended that returned an error other than io.EOF.
func endOf(err error) conns.End {
	switch {
	case errors.Is(err, conns.ErrUnproven):
		return conns.EndUnproven
	case errors.Is(err, conns.ErrInsideEvent):
		return conns.EndInsideEvent
	case errors.Is(err, conns.ErrTooLarge):
		return conns.EndTooLarge
	}
	return conns.EndBroken
}

// interruption returns the outcome of a run that ended with an error.
func interruption(err error) Outcome {
	if errors.Is(err, conns.ErrBrokenOff) {
		return BrokenOff
	}
	return Interrupted
}
