package pool

// StatesStarts reports whether all listed backend servers of a service that aren't draining state
// when they started. What is learned about a process is used only for such services: without
// start times a restart under the same id can't be recognized.
func (p *Pool) StatesStarts(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statesStarts[service]
}

// updateStarts computes statesStarts for a new list of backend servers.
func (p *Pool) updateStarts() {
	p.statesStarts = map[string]bool{}
	for service, list := range p.byService {
		listed, stated := 0, 0
		for _, s := range list {
			if s.Draining {
				continue
			}
			listed++
			if s.Started > 0 {
				stated++
			}
		}
		p.statesStarts[service] = listed > 0 && stated == listed
	}
	p.updateRuns()
}
