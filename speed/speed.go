package speed

import "time"

// Estimate is what is known of a backend server's speed.
type Estimate struct {
	// EventTime is the time between two events of a response; 0 if unknown.
	EventTime time.Duration
	// FirstByte is the time until a response starts in a free slot; 0 if unknown.
	FirstByte time.Duration
	// Factor is EventTime relative to the usual one of the service: 2 is half as fast. It is 1 if
	// unknown, or if the speeds of the service's backend servers differ by less than a factor of 1.5.
	// While a backend server without an estimate warms up, it is 2, if not all of the service do.
	Factor float64
}

// Unknown is the estimate of a backend server of which nothing is known.
var Unknown = Estimate{Factor: 1}

// Sample is what one response shows of a backend server's speed.
type Sample struct {
	// Events is the number of events, and Span the time from the first to the last of them,
	// without the time during which the reader of the response held it up.
	Events int
	Span   time.Duration
	// FirstByte is the time from sending the request to the first event; 0 if the request may
	// have waited for a slot.
	FirstByte time.Duration
	// Load is the share of the backend server's slots that were in use when the request was sent.
	Load float64
}
