package engine

import (
	"context"
	"net/http"
	"sort"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/params"
)

// orderState is the engine's loaded models and the fencing token of the last order that it executed.
type orderState struct {
	loaded map[sardinerock.LoadedModel]bool
	fence  int64
	// highestFence is the highest fencing token of all orders executed. An engine
	// that doesn't check tokens may since have executed an order with a lower one.
	highestFence int64
	// loading has a channel for each model being loaded, closed when the load ends.
	loading map[sardinerock.LoadedModel]chan struct{}
}

func (s *orderState) state(checksFence bool) sardinerock.EngineState {
	state := sardinerock.EngineState{Loaded: []sardinerock.LoadedModel{}, Fence: s.fence, ChecksFence: checksFence}
	for m := range s.loaded {
		state.Loaded = append(state.Loaded, m)
	}
	sort.Slice(state.Loaded, func(i, j int) bool {
		a, c := state.Loaded[i], state.Loaded[j]
		return a.Model+"\x00"+a.Version+"\x00"+a.Adapter < c.Model+"\x00"+c.Version+"\x00"+c.Adapter
	})
	return state
}

// serveOrder answers once the order is executed. A load continues if its client disconnects.
func (e *Fake) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order sardinerock.EngineOrder
	if err := params.Decode(r.Body, &order); err != nil {
		params.Fail(w, http.StatusBadRequest, "order: "+err.Error())
		return
	}
	e.mu.Lock()
	if e.Knobs.ChecksFence && order.Fence < e.orders.highestFence {
		e.mu.Unlock()
		params.Fail(w, http.StatusConflict, sardinerock.ErrFenced.Error())
		return
	}
	e.orders.fence = order.Fence
	e.orders.highestFence = max(e.orders.highestFence, order.Fence)
	done := e.execute(order)
	e.mu.Unlock()
	select {
	case <-done:
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done():
	}
}

// execute starts the order and returns a channel that is closed when it has ended. The caller holds e.mu.
func (e *Fake) execute(order sardinerock.EngineOrder) <-chan struct{} {
	state, done := &e.orders, make(chan struct{})
	if order.Action == sardinerock.OrderUnload {
		delete(state.loaded, order.Target)
		close(done)
		return done
	}
	if state.loaded[order.Target] || e.Weights == nil {
		state.loaded[order.Target] = true
		close(done)
		return done
	}
	if loading, ok := state.loading[order.Target]; ok {
		return loading
	}
	if state.loading == nil {
		state.loading = make(map[sardinerock.LoadedModel]chan struct{})
	}
	state.loading[order.Target] = done
	go e.load(order.Target, e.crashes, done)
	return done
}

// load fetches the weights. If the engine has crashed since crashes was read, the model doesn't become loaded.
func (e *Fake) load(target sardinerock.LoadedModel, crashes int, done chan struct{}) {
	err := e.Weights.Fetch(context.Background(), target)
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashes == e.crashes {
		delete(e.orders.loading, target)
		if err == nil {
			e.orders.loaded[target] = true
		}
	}
	close(done)
}

// isLoaded reports whether the model and, if target names one, its adapter are loaded. The caller holds e.mu.
func (e *Fake) isLoaded(target sardinerock.LoadedModel) bool {
	base := target
	base.Adapter = ""
	return e.orders.loaded[base] && e.orders.loaded[target]
}
