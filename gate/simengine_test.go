package gate_test

import "time"

type engine struct {
	w                *world
	running, waiting []*gen
	stepping         bool
	slow             float64
}

type gen struct {
	s      *side
	t      *try
	unread int
}

func (e *engine) submit(s *side, t *try) {
	e.waiting = append(e.waiting, &gen{s: s, t: t, unread: t.r.prompt + t.r.got})
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

func (e *engine) cancel(t *try) {
	drop := func(from []*gen) []*gen {
		kept := from[:0:0]
		for _, g := range from {
			if g.t != t {
				kept = append(kept, g)
			}
		}
		return kept
	}
	e.running, e.waiting = drop(e.running), drop(e.waiting)
}

func (e *engine) kill() []*try {
	var all []*try
	for _, g := range append(e.running, e.waiting...) {
		all = append(all, g.t)
	}
	e.running, e.waiting = nil, nil
	return all
}

// step reads a chunk of prompts and gives every stream whose prompt is read a token.
func (e *engine) step() {
	for len(e.waiting) > 0 && len(e.running) < slots {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	read := 0
	for _, g := range e.running {
		n := min(g.unread, chunk-read)
		g.unread -= n
		read += n
	}
	length := engineStep + time.Duration(len(e.running))*stepPerStream + time.Duration(read)*time.Second/time.Duration(e.w.readPace)
	e.w.after(time.Duration(float64(length)*e.slow), func() {
		for _, g := range e.running {
			if g.unread == 0 {
				g.token()
			}
		}
		e.step()
	})
}

func (g *gen) token() {
	t, now := g.t, g.s.w.now
	if g.s.tries[t.id] == nil {
		return
	}
	if t.r.poison {
		g.s.crash()
		return
	}
	if t.n == 0 {
		t.first = now
		if t.r.got == 0 {
			t.r.first = now
		}
	}
	t.n++
	t.last = now
	t.r.got++
	g.s.gate.Token(now, t.id)
	if t.r.got >= t.r.tokens {
		g.s.engine.cancel(t)
		g.s.finish(t, nil)
	}
}
