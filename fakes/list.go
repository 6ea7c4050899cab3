package fakes

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/params"
)

// ErrListDown is the error of Instances during an outage that rejects requests.
var ErrListDown = errors.New("instance list: out of service")

// InstancesKnobs are the faults of the instance list.
type InstancesKnobs struct {
	Outage Outage `json:"outage"`
	// LagMs is the age of the list that readers get.
	LagMs int `json:"lagMs"`
}

// Instances is a fake of the platform's instance list, which shows changes late.
type Instances struct {
	Knobs InstancesKnobs

	mux params.Router
	mu  sync.Mutex
	// history has the list after each change, the oldest first.
	history []listVersion
}

type listVersion struct {
	at        time.Time
	instances []sardinerock.Instance
}

// InstancesReply is the response to GET /instances, and the format of the file that presets the list.
type InstancesReply struct {
	Instances []sardinerock.Instance `json:"instances"`
}

// Put adds an instance, or replaces the one with the same id.
func (l *Instances) Put(i sardinerock.Instance) {
	l.change(i.ID, func(list []sardinerock.Instance) []sardinerock.Instance {
		return append(list, i)
	})
}

// Remove removes an instance from the list, if it is there.
func (l *Instances) Remove(id string) {
	l.change(id, func(list []sardinerock.Instance) []sardinerock.Instance { return list })
}

// change removes the instance with that id from the latest list, applies add, and adds the result to the history.
func (l *Instances) change(id string, add func([]sardinerock.Instance) []sardinerock.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []sardinerock.Instance
	if n := len(l.history); n > 0 {
		list = slices.Clone(l.history[n-1].instances)
	}
	list = slices.DeleteFunc(list, func(i sardinerock.Instance) bool { return i.ID == id })
	l.history = append(l.history, listVersion{at: time.Now(), instances: add(list)})
	l.pruneHistory()
}

// Instances implements sardinerock.InstanceList.
func (l *Instances) Instances(ctx context.Context) ([]sardinerock.Instance, error) {
	l.mu.Lock()
	outage := l.Knobs.Outage
	l.mu.Unlock()
	if err := simulateFaults(ctx, outage, 0, ErrListDown); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneHistory()
	if len(l.history) == 0 || l.history[0].at.After(l.visibleUntil()) {
		return nil, nil
	}
	return slices.Clone(l.history[0].instances), nil
}

// visibleUntil returns the time of the latest change that readers see.
func (l *Instances) visibleUntil() time.Time {
	return time.Now().Add(-params.Milliseconds(l.Knobs.LagMs))
}

// pruneHistory drops all versions that are older than the one that readers see.
func (l *Instances) pruneHistory() {
	visibleUntil := l.visibleUntil()
	for len(l.history) > 1 && !l.history[1].at.After(visibleUntil) {
		l.history = l.history[1:]
	}
}

// ServeHTTP implements http.Handler.
func (l *Instances) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.Once.Do(func() { l.routes(&l.mux) })
	l.mux.ServeHTTP(w, r)
}

func (l *Instances) routes(mux *params.Router) {
	mux.HandleFunc("GET /instances", l.serveList)
	mux.HandleFunc("PUT /instances/{id}", l.servePut)
	mux.HandleFunc("DELETE /instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/knobs", func(w http.ResponseWriter, r *http.Request) {
		params.Serve(w, r, &l.mu, &l.Knobs, func() {})
	})
}

func (l *Instances) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := l.Instances(r.Context())
	if err != nil {
		params.Fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	params.Reply(w, http.StatusOK, InstancesReply{Instances: list})
}

func (l *Instances) servePut(w http.ResponseWriter, r *http.Request) {
	var i sardinerock.Instance
	if err := params.Decode(r.Body, &i); err != nil {
		params.Fail(w, http.StatusBadRequest, "instance: "+err.Error())
		return
	}
	if i.ID != r.PathValue("id") {
		params.Fail(w, http.StatusBadRequest, "instance: id differs from the one in the path")
		return
	}
	l.Put(i)
	w.WriteHeader(http.StatusNoContent)
}
