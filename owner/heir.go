package owner

import "time"

const (
	// minorityPatience is how many times as long an entry waits that hears less than
	// half of the others: nearly always it is the one that is cut off, and those that
	// it doesn't hear run their jobs.
	minorityPatience = 5
	// loadPatience is how many times the time that this entry took to read the order
	// of jobs another one may take for it, on a smaller machine or a thinner link.
	loadPatience = 2
)

// Standing is what an entry knows of another one.
type Standing struct {
	// Silent is how long it wasn't heard; as long as its name is known, if it never was.
	Silent time.Duration
	// Unheard is set as long as it never was.
	Unheard bool
	// Leaving is set once it stops.
	Leaving bool
	// StoreLost is set while it doesn't read the store, and Starting while it hasn't
	// read the order of jobs yet; Starts is for how long.
	StoreLost, Starting bool
	Starts              time.Duration
	// Unanswered is set once a question that was put to it lately wasn't answered.
	Unanswered bool
}

// View is what an entry knows that decides whether it takes over the jobs of another.
//
// Load pattern: some hundred entries run jobs that one order shows to all. Any of them
// may be gone, frozen, cut off from the store or from each other, or all start at the same time and
// hear of each other seconds apart. Who runs a job is written in the order, so what an
// entry happens to hear decides only when it claims a job, never what it runs.
type View struct {
	// Self is this entry's name.
	Self string
	// Timeout is the silence after which an entry may be taken as gone.
	Timeout time.Duration
	// Heard is how many of All entries are heard, this one included.
	Heard, All int
	// Reads is for how long this entry has read the store.
	Reads time.Duration
	// Load is how long it took to read the order of jobs when it started.
	Load time.Duration
	// Standing returns what is known of another entry.
	Standing func(name string) Standing
}

// patience is the silence after which this entry takes another one as gone. One that
// wasn't heard since this entry started may have started later, as all do after all were lost.
func (v *View) patience(s *Standing) time.Duration {
	patience := v.Timeout
	if v.Minority() {
		patience *= minorityPatience
	}
	if s.Unheard {
		patience = max(patience, loadPatience*v.Load)
	}
	return patience
}

// Minority says whether this entry hears less than half of all.
func (v *View) Minority() bool { return 2*v.Heard < v.All }

// Gone says whether an entry doesn't run its jobs any more, and why.
func (v *View) Gone(name string) (why string, gone bool) {
	if name == v.Self {
		return "", false
	}
	s := v.Standing(name)
	switch {
	case s.Silent > v.patience(&s):
		return "it is silent", s.Unanswered
	case s.Leaving:
		return "it stops", true
	case s.Starting:
		// That it has read the order may be known here a little later.
		return "it doesn't start", s.Starts > v.Timeout+loadPatience*v.Load
	case s.StoreLost:
		return "it doesn't read the store", v.Reads > v.Timeout
	}
	return "", false
}

// Suspect says whether an entry may soon be taken as gone for its silence, so that it has
// to be asked; ask is how long an answer is waited for.
func (v *View) Suspect(name string, ask time.Duration) bool {
	if name == v.Self {
		return false
	}
	s := v.Standing(name)
	patience := v.patience(&s)
	return s.Silent > max(patience-ask, patience/2)
}

// Heir returns which of the named entries takes over a job: one that isn't gone, as far
// as this entry knows, and has read the order of jobs or is about to.
func (v *View) Heir(job string, names []string) string {
	var heirs []string
	for _, name := range names {
		if name != v.Self {
			s := v.Standing(name)
			if _, gone := v.Gone(name); gone || s.Leaving || s.StoreLost && !s.Starting || s.Silent > v.Timeout {
				continue
			}
		}
		heirs = append(heirs, name)
	}
	return Of(job, heirs)
}
