package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

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

// maxControlBytes bounds the bodies of knobs, orders and other small calls.
const maxControlBytes = 1 << 20

// serveKnobs shows the knobs on GET and changes the fields that a POST names.
func serveKnobs[T any](w http.ResponseWriter, r *http.Request, mu *sync.Mutex, knobs *T, changed func()) {
	mu.Lock()
	defer mu.Unlock()
	if r.Method == http.MethodPost {
		next := *knobs
		if err := decodeStrict(r.Body, &next); err != nil {
			replyError(w, http.StatusBadRequest, "knobs: "+err.Error())
			return
		}
		*knobs = next
		changed()
	}
	replyJSON(w, http.StatusOK, *knobs)
}

// router builds a stand-in's routes once, at its first request.
type router struct {
	http.ServeMux
	once sync.Once
}

func decodeStrict(body io.Reader, into any) error {
	d := json.NewDecoder(io.LimitReader(body, maxControlBytes))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

func replyJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have hung up; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
}

func replyError(w http.ResponseWriter, status int, message string) {
	replyJSON(w, status, errorBody{Error: errorDetail{Message: message}})
}

// dropConnection ends the connection without an answer, so that the caller can't know what happened.
func dropConnection(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
