package fakes

import "net/http"

// Outage is how a fake fails during an outage.
type Outage string

// The kinds of outages.
const (
	// OutageNone means that there is no outage.
	OutageNone Outage = ""
	// OutageRefuse rejects each call at once, without effect.
	OutageRefuse Outage = "refuse"
	// OutageHang accepts calls and never responds.
	OutageHang Outage = "hang"
)

// dropConnection closes the connection without a response, so the client can't know whether the call took effect.
func dropConnection(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}
