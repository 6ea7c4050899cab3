package owner

import "time"

const (
	// minorityTimeoutFactor multiplies the timeout of an entry that receives messages from less
	// than half of the entries. Such an entry is nearly always itself cut off by a network
	// partition, and the entries it can't reach still run their jobs.
	minorityTimeoutFactor = 5
	// loadTimeFactor is how many times longer than this entry another one may take to load the
	// ledger, on a smaller machine or a slower link.
	loadTimeFactor = 2
)

// PeerState is what an entry knows about another one.
type PeerState struct {
	// SinceContact is the time since the last message or reply from the peer. If there was none,
	// it is the time since the peer's name became known.
	SinceContact time.Duration
	// NeverReceived is set while no message from the peer has been received.
	NeverReceived bool
	// Leaving is set once the peer announces that it shuts down.
	Leaving bool
	// StoreLost is set while the peer can't read the store, Starting while it hasn't loaded the
	// ledger yet. StartingFor is how long the peer has been starting.
	StoreLost, Starting bool
	StartingFor         time.Duration
	// ProcessStart identifies the peer's process in its latest message; 0 if there was none.
	ProcessStart int64
	// ProbeUnanswered is set if the peer didn't answer a recent probe.
	ProbeUnanswered bool
}

// View is the state from which an entry decides whether to take over the jobs of another one.
//
// Up to several hundred entries run the jobs of one shared ledger. Any may crash, freeze, lose the
// store or its connection to other entries; or all start at the same time and receive each
// other's first messages seconds apart. The owner of a job is recorded in the ledger, so the
// messages that an entry happens to receive only decide when it claims a job, never which jobs it
// runs.
type View struct {
	// Self is this entry's name.
	Self string
	// Timeout is the time without contact after which a peer may be treated as unavailable.
	Timeout time.Duration
	// Reachable is the number of entries, out of Total, from which messages arrive. This entry
	// counts as one of them.
	Reachable, Total int
	// StoreReadFor is how long this entry has been able to read the store without interruption.
	StoreReadFor time.Duration
	// LoadTime is how long this entry took to load the ledger at its start.
	LoadTime time.Duration
	// Peer returns the state of another entry.
	Peer func(name string) PeerState
}

// peerTimeout returns the time without contact after which a peer may be treated as unavailable.
// A peer from which no message has arrived yet may have started later than this entry, as happens
// when all entries restart; it gets at least the time that it may need to load the ledger.
func (v *View) peerTimeout(s *PeerState) time.Duration {
	timeout := v.Timeout
	if v.Minority() {
		timeout *= minorityTimeoutFactor
	}
	if s.NeverReceived {
		timeout = max(timeout, loadTimeFactor*v.LoadTime)
	}
	return timeout
}

// Minority reports whether this entry receives messages from less than half of all entries.
func (v *View) Minority() bool { return 2*v.Reachable < v.Total }

// Unavailable reports whether an entry no longer runs its jobs, with the reason for the log. An
// entry without contact counts as unavailable only if it also left a probe unanswered.
func (v *View) Unavailable(name string) (reason string, unavailable bool) {
	if name == v.Self {
		return "", false
	}
	s := v.Peer(name)
	switch {
	case s.SinceContact > v.peerTimeout(&s):
		return "no contact within the timeout and no reply to a probe", s.ProbeUnanswered
	case s.Leaving:
		return "shutting down", true
	case s.Starting:
		// The message that it has loaded the ledger may arrive a little later.
		return "ledger not loaded in time", s.StartingFor > v.Timeout+loadTimeFactor*v.LoadTime
	case s.StoreLost:
		return "can't read the store", v.StoreReadFor > v.Timeout
	}
	return "", false
}

// Suspect reports whether an entry may soon be treated as unavailable for lack of contact, so
// that it has to be probed. probeTimeout is how long a reply may take.
func (v *View) Suspect(name string, probeTimeout time.Duration) bool {
	if name == v.Self {
		return false
	}
	s := v.Peer(name)
	timeout := v.peerTimeout(&s)
	return s.SinceContact > max(timeout-probeTimeout, timeout/2)
}

// Successor returns which of the named entries takes over a job. Candidates are this entry and
// those that are neither unavailable nor leaving, had contact within the timeout, and can read the
// store or are still loading the ledger.
func (v *View) Successor(job string, names []string) string {
	var candidates []string
	for _, name := range names {
		if name != v.Self {
			s := v.Peer(name)
			if _, unavailable := v.Unavailable(name); unavailable || s.Leaving || s.StoreLost && !s.Starting || s.SinceContact > v.Timeout {
				continue
			}
		}
		candidates = append(candidates, name)
	}
	return Of(job, candidates)
}
