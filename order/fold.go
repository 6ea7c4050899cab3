package order

import (
	"maps"
	"slices"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
)

// State is the result of folding all records of the stream before Next. It is immutable.
type State struct {
	// Version is the version of the bundle in force; 0 before the first one.
	Version int64
	// Next is the offset of the next record to fold.
	Next int64
	// Content is nil at version 0.
	Content *bundle.Content
	// Recent holds the last accepted proposals, the newest last.
	Recent []Accepted
	// Voided holds the ids of proposals that must not be accepted, each with the version that it is
	// based on.
	//
	// For example, an operator gets the outcome "not run" because a withdrawal of proposal p, based
	// on version 5, comes before p in the log. A copy of p that was delayed in the network is appended
	// a minute later, while version 5 is still in force. Without Voided it would be accepted. Once
	// version 6 is in force, p is rejected because of its base, so its id is removed and Voided stays
	// small.
	Voided map[string]int64
}

// Accepted identifies the proposal that was accepted as a version.
type Accepted struct {
	Version  int64  `json:"version"`
	ID       string `json:"id"`
	Digest   string `json:"digest"`
	Operator string `json:"operator"`
	Offset   int64  `json:"offset"`
}

// maxRecent bounds State.Recent. With a change every two seconds, the winner between two proposals is
// still in it two minutes later.
const maxRecent = 64

// Verdict is the effect of a record, or the decision on a proposal.
type Verdict int

// The verdicts on a record.
const (
	// Undecided: the records folded so far don't decide on the proposal.
	Undecided Verdict = iota
	// VersionAccepted: the proposal is in force as a new version.
	VersionAccepted
	// AlreadyAccepted: the version after the proposal's base was made by a copy of it or has the same digest.
	AlreadyAccepted
	// Conflict: the proposal's base is not the version in force.
	Conflict
	// Voided: the proposal was withdrawn, proposed before its base existed, or doesn't match its digest or base.
	Voided
	// Ignored: the record is not a proposal, or was folded before.
	Ignored
)

// Fold returns the state after record r and the decision on it. For a proposal it also returns the accepted
// proposal that caused the decision, if it is known. The result depends only on the arguments, so every
// process gets the same one.
func Fold(s *State, r sardinerock.LogRecord) (*State, Verdict, Accepted) {
	if r.Offset < s.Next {
		return s, Ignored, Accepted{}
	}
	n := *s
	n.Next = r.Offset + 1
	rec, err := DecodeRecord(r.Data)
	if err != nil {
		return &n, Ignored, Accepted{}
	}
	switch {
	case rec.Proposal != nil:
		v, a := n.propose(rec.Proposal, r.Offset)
		return &n, v, a
	case rec.Withdrawal != nil:
		n.withdraw(rec.Withdrawal)
	}
	return &n, Ignored, Accepted{}
}

func (s *State) propose(p *Proposal, offset int64) (Verdict, Accepted) {
	if v, a := s.Resolve(p.ID, p.BasedOn, p.Digest); v != Undecided {
		return v, a
	}
	if p.BasedOn != s.Version {
		// The base doesn't exist yet. If the record were only skipped, a delayed copy of it would
		// be accepted once that version exists.
		s.addVoided(p.ID, p.BasedOn)
		return Conflict, s.Last()
	}
	base := s.Content
	if base == nil {
		base = &bundle.Content{}
	}
	content, err := bundle.Apply(base, p.Change, p.Digest, p.SignOffs)
	if err != nil || content.BasedOn() != p.BasedOn {
		s.addVoided(p.ID, p.BasedOn)
		return Voided, s.Last()
	}
	s.Version++
	s.Content = content
	a := Accepted{Version: s.Version, ID: p.ID, Digest: p.Digest, Operator: p.Operator, Offset: offset}
	s.Recent = append(slices.Clone(s.Recent[max(0, len(s.Recent)-maxRecent+1):]), a)
	s.pruneVoided()
	return VersionAccepted, a
}

func (s *State) withdraw(w *Withdrawal) {
	if w.BasedOn >= s.Version {
		s.addVoided(w.ID, w.BasedOn)
	}
}

func (s *State) addVoided(id string, basedOn int64) {
	s.Voided = maps.Clone(s.Voided)
	if s.Voided == nil {
		s.Voided = map[string]int64{}
	}
	s.Voided[id] = basedOn
}

func (s *State) pruneVoided() {
	if len(s.Voided) == 0 {
		return
	}
	s.Voided = maps.Clone(s.Voided)
	maps.DeleteFunc(s.Voided, func(_ string, basedOn int64) bool { return basedOn < s.Version })
}

// Last returns the proposal that was accepted as the version in force; the zero value if there is none.
func (s *State) Last() Accepted {
	if len(s.Recent) == 0 {
		return Accepted{}
	}
	return s.Recent[len(s.Recent)-1]
}

// Resolve returns the decision on a proposal by the records folded so far. It is final even if copies of
// the proposal are still delayed: once the version after its base exists, no copy can be accepted.
func (s *State) Resolve(id string, basedOn int64, digest string) (Verdict, Accepted) {
	if _, ok := s.Voided[id]; ok {
		return Voided, s.Last()
	}
	if basedOn >= s.Version {
		return Undecided, Accepted{}
	}
	for _, a := range s.Recent {
		if a.Version != basedOn+1 {
			continue
		}
		if a.ID == id || a.Digest == digest {
			return AlreadyAccepted, a
		}
		return Conflict, a
	}
	// The version after the base is no longer in Recent, so it isn't known whether this proposal won.
	return Conflict, Accepted{}
}
