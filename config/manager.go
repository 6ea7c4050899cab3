package config

import (
	"context"
	"crypto/ed25519"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/order"
)

// Offer is the newest accepted configuration that a peer knows.
type Offer struct {
	Version int64
	Digest  string
	// Next is the offset of the first log record that the peer has not folded.
	Next int64
	// Raw is the state as encoded by order.EncodeState.
	Raw []byte
}

// Manager keeps the configuration of one process up to date. It implements sardinerock.Publisher.
type Manager struct {
	Log sardinerock.Log
	// Process is the instance's id.
	Process string
	// Signers maps the names of the accepted signers to their public keys. SignOffsNeeded is the number
	// of sign-offs that a bundle needs.
	Signers        map[string]ed25519.PublicKey
	SignOffsNeeded int
	Events         *event.Logger
	// Peers returns the offers of peers. It is called if the configuration can't be read from the log.
	Peers func(ctx context.Context) []Offer
	// PublishTimeout limits the duration of one Publish.
	PublishTimeout time.Duration
	// ReadWait is how long one read of the log waits for the next record.
	ReadWait time.Duration
	// CheckpointEvery is the interval between checkpoints of the whole fleet, at most a quarter of the log's retention.
	CheckpointEvery time.Duration
	// CheckpointChanges is the number of changes after which a checkpoint is written before the interval ends.
	CheckpointChanges int64

	mu      sync.Mutex
	state   *order.State
	current *sardinerock.ConfigSnapshot
	// blocked is the accepted version that this process rejects, for example because sign-offs that its
	// settings require are missing; 0 if there is none.
	blocked int64
	changed chan struct{}
	outage  bool
	// offer caches the encoded form of offerState. Both are guarded by offerMu.
	offerMu    sync.Mutex
	offerState *order.State
	offer      Offer
	// checkpointAsOf and checkpointVersion are the log offset and the version of the newest known checkpoint.
	// checkpointIntervalStart is when the interval until the next one starts; it includes a random delay.
	checkpointAsOf          int64
	checkpointVersion       int64
	checkpointIntervalStart time.Time
}

// Defaults for fields that are zero.
const (
	defaultPublishTimeout    = 8 * time.Second
	defaultReadWait          = 5 * time.Second
	defaultCheckpointEvery   = 10 * time.Minute
	defaultCheckpointChanges = 2048
	// retryPause is the mean pause between attempts at a log that doesn't answer. Jitter keeps the entries
	// of a fleet from retrying at the same time.
	retryPause  = 250 * time.Millisecond
	callTimeout = 3 * time.Second
)

func orDefault[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

// Current implements sardinerock.ConfigSource.
func (m *Manager) Current() *sardinerock.ConfigSnapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Blocked returns the accepted version that this process does not bring into force, because it lacks sign-offs
// that the settings require or can't be decoded; 0 if there is none.
func (m *Manager) Blocked() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.blocked
}

// Changed returns a channel that is closed when the next state from the log or from a peer is installed.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changedLocked()
}

func (m *Manager) changedLocked() chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// Offer returns the newest accepted configuration for a peer, or nil if there is none. Each state is encoded
// only once, because that takes about 15 ms for 1,800 teams, and all peers may request it at the same time.
func (m *Manager) Offer() *Offer {
	m.offerMu.Lock()
	defer m.offerMu.Unlock()
	s := m.State()
	if s == nil || s.Version == 0 {
		return nil
	}
	if m.offerState != s {
		m.offerState = s
		m.offer = Offer{Version: s.Version, Digest: s.Content.Digest(), Next: s.Next, Raw: order.EncodeState(s)}
	}
	o := m.offer
	return &o
}

// State returns the state folded so far, or nil before the first one is installed.
func (m *Manager) State() *order.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Adopt installs the configuration of a peer if its version is newer. The log is then read on from
// the offset up to which the peer had folded it.
func (m *Manager) Adopt(o Offer) error {
	if s := m.State(); s != nil && o.Version <= s.Version {
		return nil
	}
	s, err := order.DecodeState(o.Raw)
	if err != nil {
		return merry.Prepend(err, "offer of a peer")
	}
	if s.Version != o.Version || s.Version == 0 {
		return merry.Errorf("offer of a peer for version %d contains version %d", o.Version, s.Version)
	}
	// A version without the required sign-offs is not installed. It will also be read from the log, and
	// Blocked returns it then.
	if err := bundle.VerifySignOffs(s.Content.Digest(), s.Content.SignOffs, m.Signers, m.SignOffsNeeded); err != nil {
		return merry.Prepend(err, "offer of a peer")
	}
	m.install(s, "peer")
	return nil
}

// install replaces the state unless the new one has an older version or an earlier log offset.
func (m *Manager) install(s *order.State, source string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.state
	if old != nil && (s.Version < old.Version || s.Next < old.Next) {
		return
	}
	m.state = s
	if old == nil || s.Version > old.Version {
		m.activateLocked(s, source)
	}
	close(m.changedLocked())
	m.changed = nil
}

// activateLocked brings a newer version into force in this process. The caller holds m.mu.
func (m *Manager) activateLocked(s *order.State, source string) {
	if s.Version == 0 {
		return
	}
	// The sequence of versions depends only on the log records. If it depended on settings, processes with
	// different settings would number versions differently. So a version that lacks sign-offs required by
	// these settings keeps its number, but does not come into force here.
	if err := bundle.VerifySignOffs(s.Content.Digest(), s.Content.SignOffs, m.Signers, m.SignOffsNeeded); err != nil {
		m.blocked = s.Version
		m.Events.Error(event.BundleRejected).Int64("version", s.Version).Err(err).Msg("accepted version lacks required sign-offs; the previous version stays in force here")
		return
	}
	b, err := s.Content.Bundle()
	if err != nil {
		m.blocked = s.Version
		m.Events.Error(event.BundleRejected).Int64("version", s.Version).Err(err).Msg("accepted version can't be decoded; the previous version stays in force here")
		return
	}
	m.blocked = 0
	m.current = &sardinerock.ConfigSnapshot{Bundle: b, Version: s.Version, Digest: s.Content.Digest(), Since: time.Now()}
	m.Events.Info(event.BundleInForce).Int64("version", s.Version).Str("digest", m.current.Digest).
		Str("operator", s.Last().Operator).Str("source", source).Msg("configuration in force")
}

// Run keeps the configuration up to date until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if m.State() == nil {
			m.start(ctx)
		} else {
			m.follow(ctx)
		}
	}
	return ctx.Err()
}

// start installs the first state, from the log or else from a peer.
func (m *Manager) start(ctx context.Context) {
	s, err := m.readFromLog(ctx)
	m.updateOutage(err)
	if err == nil && s.Version > 0 {
		m.install(s, "log")
		return
	}
	if m.adoptFromPeers(ctx) {
		return
	}
	// If the log is empty and no peer has a configuration, this is a new installation. After an error the
	// accepted version is unknown, so the process stays not ready.
	if err == nil {
		m.install(s, "log")
		return
	}
	pause(ctx, retryPause)
}

// follow reads the next records from the log and folds them.
func (m *Manager) follow(ctx context.Context) {
	s := m.State()
	wait := orDefault(m.ReadWait, defaultReadWait)
	readCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	records, err := m.Log.Read(readCtx, order.Stream, s.Next, wait)
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, sardinerock.ErrLogGap) {
		m.recoverFromGap(ctx)
		return
	}
	m.updateOutage(err)
	if err != nil {
		m.adoptFromPeers(ctx)
		pause(ctx, retryPause)
		return
	}
	if len(records) > 0 {
		m.foldAll(s, records)
	}
	m.checkpointIfDue(ctx)
}

// foldAll folds the records into s and installs the result. If a newer state was adopted from a peer
// meanwhile, install keeps that one.
func (m *Manager) foldAll(s *order.State, records []sardinerock.LogRecord) {
	for _, r := range records {
		var v order.Verdict
		var a order.Accepted
		s, v, a = order.Fold(s, r)
		m.recordCheckpoint(r, s.Version)
		switch v {
		case order.VersionAccepted:
			m.Events.Info(event.BundleAccepted).Int64("version", a.Version).Str("operator", a.Operator).Int64("offset", r.Offset).Msg("bundle accepted")
		case order.Conflict, order.Voided:
			m.Events.Info(event.BundleRejected).Int64("inForce", s.Version).Str("winner", a.Operator).Int64("offset", r.Offset).Msg("proposal rejected: its base is not the version in force, or it was withdrawn or invalid")
		}
	}
	m.install(s, "log")
}

// recoverFromGap installs a state from a checkpoint or a peer if the log has dropped the next records by retention.
func (m *Manager) recoverFromGap(ctx context.Context) {
	s, err := m.readFromLog(ctx)
	if err == nil {
		m.install(s, "checkpoint")
		return
	}
	m.updateOutage(err)
	m.adoptFromPeers(ctx)
	pause(ctx, retryPause)
}

// adoptFromPeers adopts the newest offer of the peers and reports whether this process has a configuration now.
func (m *Manager) adoptFromPeers(ctx context.Context) bool {
	if m.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, o := range m.Peers(ctx) {
		if err := m.Adopt(o); err != nil {
			m.Events.Warn(event.BundleRejected).Int64("version", o.Version).Err(err).Msg("configuration from a peer rejected")
		}
	}
	s := m.State()
	return s != nil && s.Version > 0
}

// updateOutage logs the start and the end of an outage of the log once each.
func (m *Manager) updateOutage(err error) {
	m.mu.Lock()
	was := m.outage
	m.outage = err != nil
	m.mu.Unlock()
	if err != nil && !was {
		m.Events.Warn(event.LogOutage).Str("stream", order.Stream).Err(err).Msg("the log does not answer; the configuration in force stays unchanged")
	}
	if err == nil && was {
		m.Events.Info(event.LogBack).Str("stream", order.Stream).Msg("the log answers again")
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// SideSections returns the sections that sides need of the configuration in force, with its version and
// digest, or nil if there is none.
func (m *Manager) SideSections() (sections []bundle.Section, version int64, digest string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A version that is blocked here is not sent to sides either.
	if m.current == nil || m.current.Version != m.state.Version {
		return nil, 0, ""
	}
	return bundle.SideSections(m.state.Content), m.current.Version, m.current.Digest
}
