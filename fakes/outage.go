package fakes

import "net/http"

// Outage says how a stand-in fails while it is down.
type Outage string

// The ways of being down.
const (
	// OutageNone is the ordinary state.
	OutageNone Outage = ""
	// OutageRefuse answers at once that nothing was done.
	OutageRefuse Outage = "refuse"
	// OutageHang accepts calls and never answers.
	OutageHang Outage = "hang"
)

// dropConnection ends the connection without an answer, so that the caller can't know what happened.
func dropConnection(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}
