package params

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxControlBytes is the maximum size of the bodies of parameters, orders and other small requests.
const maxControlBytes = 1 << 20

// Serve handles /knobs: GET returns the parameters, and POST changes the fields in its
// body. After a change it calls onChange, while it holds mu.
func Serve[T any](w http.ResponseWriter, r *http.Request, mu *sync.Mutex, params *T, onChange func()) {
	mu.Lock()
	defer mu.Unlock()
	if r.Method == http.MethodPost {
		next := *params
		if err := Decode(r.Body, &next); err != nil {
			Fail(w, http.StatusBadRequest, "knobs: "+err.Error())
			return
		}
		*params = next
		onChange()
	}
	Reply(w, http.StatusOK, *params)
}

// Router is a stand-in's router. Its routes are added under Once, at the first request.
type Router struct {
	http.ServeMux
	Once sync.Once
}

// Decode decodes a JSON body of at most 1 MiB. An unknown field is an error.
func Decode(body io.Reader, into any) error {
	d := json.NewDecoder(io.LimitReader(body, maxControlBytes))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// Reply writes a response with value as JSON.
func Reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected; nothing else can be done.
	_ = json.NewEncoder(w).Encode(value)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
}

// Fail writes an error response in the JSON form {"error":{"message":...}}.
func Fail(w http.ResponseWriter, status int, message string) {
	Reply(w, status, errorBody{Error: errorDetail{Message: message}})
}

// Milliseconds converts a parameter in milliseconds to a duration.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
