package config

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/decode"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/order"
)

// retryAfterOutage is the retry delay that an operator gets while the log is unavailable.
const retryAfterOutage = 5 * time.Second

// Publish implements sardinerock.Publisher.
//
// The acknowledgement of an append may be lost, although the record is in the log or
// will arrive there later. So the same record, with the same id, is appended until one
// copy is acknowledged or the log shows the decision. If neither happens in time, a
// withdrawal is appended. If it comes before the proposal in the log, the outcome is
// "not run". Otherwise the outcome is unknown, and publishing the same bundle again is
// safe, because it doesn't make a second version.
func (m *Manager) Publish(raw []byte, operator string) (*sardinerock.ConfigSnapshot, error) {
	ctx, cancel := context.WithTimeout(context.Background(), orDefault(m.PublishTimeout, defaultPublishTimeout))
	defer cancel()
	b, faults := bundle.Parse(raw)
	if len(faults) > 0 {
		return nil, faultsRefusal(faults)
	}
	c := bundle.Split(b)
	if err := bundle.VerifySignOffs(c.Digest(), c.SignOffs, m.Signers, m.SignOffsNeeded); err != nil {
		return nil, notRunRefusal(sardinerock.CodeForbidden, err.Error(), 0)
	}
	s, err := m.catchUp(ctx, b.BasedOn)
	if err != nil {
		return nil, err
	}
	if b.BasedOn > s.Version {
		return nil, notRunRefusal(sardinerock.CodeVersionConflict, fmt.Sprintf("based on version %d, but version %d is in force: set basedOn to %d", b.BasedOn, s.Version, s.Version), 0)
	}
	if b.BasedOn < s.Version {
		v, a := s.Resolve("", b.BasedOn, c.Digest())
		return m.publishResult(v, a, b.BasedOn, false)
	}
	base := s.Content
	if base == nil {
		base = &bundle.Content{}
	}
	p := &order.Proposal{ID: rand.Text(), Operator: operator, BasedOn: b.BasedOn, Digest: c.Digest(), SignOffs: c.SignOffs, Change: bundle.Diff(base, c)}
	return m.propose(ctx, p)
}

// catchUp waits until this process has folded version basedOn or all records of the log, and returns the state.
func (m *Manager) catchUp(ctx context.Context, basedOn int64) (*order.State, error) {
	s := m.State()
	if s != nil && s.Version >= basedOn {
		// If the log has newer versions, the proposal is rejected when it is folded.
		return s, nil
	}
	for {
		changed := m.Changed()
		s := m.State()
		if s != nil {
			// Offsets are not contiguous, so only an empty read shows that all records were folded.
			records, err := m.Log.Read(ctx, order.Stream, s.Next, 0)
			if err != nil {
				return nil, notRunRefusal(sardinerock.CodeLogUnavailable, "the log does not answer: "+err.Error(), retryAfterOutage)
			}
			if len(records) == 0 || s.Version >= basedOn {
				return s, nil
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, notRunRefusal(sardinerock.CodeNotReady, "this process has not read the configuration yet", retryAfterOutage)
		}
	}
}

// propose appends the proposal until the log shows the decision on it.
func (m *Manager) propose(ctx context.Context, p *order.Proposal) (*sardinerock.ConfigSnapshot, error) {
	// Reserve the last third of the time for the withdrawal.
	deadline, _ := ctx.Deadline()
	appendCtx, cancel := context.WithDeadline(ctx, deadline.Add(-time.Until(deadline)/3))
	defer cancel()
	a := &appender{m: m, p: p}
	verdict, winner := a.appendUntilDecided(appendCtx, order.EncodeRecord(order.Record{Proposal: p}))
	if verdict == order.Undecided && !a.maybeAppended {
		return nil, notRunRefusal(sardinerock.CodeLogUnavailable, "the log rejects appends", retryAfterOutage)
	}
	if verdict == order.Undecided {
		verdict, winner = a.appendUntilDecided(ctx, order.EncodeRecord(order.Record{Withdrawal: &order.Withdrawal{ID: p.ID, BasedOn: p.BasedOn}}))
	}
	if verdict == order.Undecided {
		m.Events.Warn(event.BundleRejected).Int64("basedOn", p.BasedOn).Str("operator", p.Operator).Msg("publishing timed out; the outcome is unknown")
		return nil, &sardinerock.Refusal{
			Code: sardinerock.CodeLogUnavailable, Outcome: sardinerock.OutcomeUnknown, RetryAfter: retryAfterOutage,
			Message: "the log did not answer in time, so it is unknown whether the bundle was accepted; publish the same bundle again, this does not make a second version",
		}
	}
	return m.publishResult(verdict, winner, p.BasedOn, a.maybeAppended)
}

// appender appends copies of a record until the log shows the decision on a proposal.
type appender struct {
	m *Manager
	p *order.Proposal
	// maybeAppended is set if a copy of a record is or may be in the stream.
	maybeAppended bool
}

func (a *appender) appendUntilDecided(ctx context.Context, data []byte) (order.Verdict, order.Accepted) {
	acked := false
	for {
		changed := a.m.Changed()
		if v, w := a.m.State().Resolve(a.p.ID, a.p.BasedOn, a.p.Digest); v != order.Undecided {
			return v, w
		}
		if !acked {
			err := a.m.append(ctx, order.Stream, data)
			acked = err == nil
			if !errors.Is(err, sardinerock.ErrLogRefused) {
				a.maybeAppended = true
			}
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return a.m.State().Resolve(a.p.ID, a.p.BasedOn, a.p.Digest)
		}
		timer.Stop()
	}
}

// publishResult converts a verdict on a proposal into the result of Publish.
func (m *Manager) publishResult(v order.Verdict, a order.Accepted, basedOn int64, maybeThere bool) (*sardinerock.ConfigSnapshot, error) {
	current := m.Current()
	switch {
	case v == order.AlreadyAccepted && current != nil && current.Version == a.Version:
		return current, nil
	case v == order.AlreadyAccepted:
		return nil, &sardinerock.Refusal{
			Code: sardinerock.CodeVersionConflict, Outcome: sardinerock.OutcomeRan,
			Message: fmt.Sprintf("this bundle was accepted as version %d from %q and has been replaced since; in force here is version %d", a.Version, a.Operator, versionOf(current)),
		}
	case v == order.Voided:
		return nil, notRunRefusal(sardinerock.CodeLogUnavailable, "the log did not acknowledge the bundle in time, and the proposal was withdrawn", retryAfterOutage)
	case a.ID == "" && maybeThere:
		return nil, &sardinerock.Refusal{
			Code: sardinerock.CodeVersionConflict, Outcome: sardinerock.OutcomeUnknown,
			Message: fmt.Sprintf("too many versions were accepted meanwhile: version %d is in force, and it is no longer known whether this bundle or another one replaced version %d", versionOf(current), basedOn),
		}
	case a.ID == "":
		return nil, notRunRefusal(sardinerock.CodeVersionConflict, fmt.Sprintf("version %d was replaced so long ago that its successor is no longer known; set basedOn to the version in force, %d", basedOn, versionOf(current)), 0)
	default:
		return nil, notRunRefusal(sardinerock.CodeVersionConflict, fmt.Sprintf("version %d was already replaced by version %d from %q; check that version and set basedOn to the version in force, %d", basedOn, a.Version, a.Operator, versionOf(current)), 0)
	}
}

func versionOf(s *sardinerock.ConfigSnapshot) int64 {
	if s == nil {
		return 0
	}
	return s.Version
}

func notRunRefusal(code sardinerock.Code, message string, after time.Duration) *sardinerock.Refusal {
	return &sardinerock.Refusal{Code: code, Message: message, Outcome: sardinerock.OutcomeNotRun, RetryAfter: after}
}

// maxFaultsShown limits the length of the refusal's message. `sardinerock check` shows all faults.
const maxFaultsShown = 20

func faultsRefusal(faults []decode.Fault) *sardinerock.Refusal {
	lines := make([]string, 0, len(faults))
	for _, f := range faults[:min(len(faults), maxFaultsShown)] {
		lines = append(lines, f.String())
	}
	if len(faults) > maxFaultsShown {
		lines = append(lines, fmt.Sprintf("and %d more; `sardinerock check` shows all", len(faults)-maxFaultsShown))
	}
	r := notRunRefusal(sardinerock.CodeInvalidRequest, strings.Join(lines, "\n"), 0)
	r.Param = faults[0].Path
	return r
}
