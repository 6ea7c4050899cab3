package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/grants"
	"github.com/sardinerock/sardinerock/order"
)

func sample(basedOn int64, note string, teams int) *sardinerock.Bundle {
	b := &sardinerock.Bundle{
		BasedOn: basedOn, Note: note,
		Models: []sardinerock.Model{{
			Name: "draft", Versions: []sardinerock.ModelVersion{{Name: "1", Bytes: 14e9}}, Adapters: []string{"panels"},
			MinBackends: 1, MinSlots: 1, MaxSlots: 8, FirstTokenMs: 900, MaxTokens: 4096,
		}},
		Services: []sardinerock.Service{{Name: "portal", MaxInFlight: 16, TimeoutMs: 5000, NonRepeatable: []sardinerock.CallPattern{{Method: "POST", PathPrefix: "/"}}}},
		Batch:    sardinerock.Batch{ResultHours: 72, MaxItems: 200000, MaxAttempts: 3},
	}
	for i := range teams {
		name := fmt.Sprintf("team%04d", i)
		b.Teams = append(b.Teams, sardinerock.Team{Name: name, Weight: 1})
		b.Callers = append(b.Callers, sardinerock.Caller{
			Name: name + "-app", Team: name, KeyHashes: []string{grants.HashToken(name)}, Weight: 1,
			Grants:   []sardinerock.Grant{{Model: "draft", Version: "1", Adapters: []string{"panels"}}},
			Services: []string{"portal"}, RequestsPerMinute: 600, TokensPerMinute: 100000, MaxInFlight: 20,
		})
	}
	return b
}

func encode(b *sardinerock.Bundle) []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return data
}

func startManager(t *testing.T, l sardinerock.Log, process string, peers ...*Manager) *Manager {
	t.Helper()
	m := &Manager{Log: l, Process: process, PublishTimeout: 3 * time.Second, ReadWait: 200 * time.Millisecond}
	m.Peers = func(context.Context) (offers []Offer) {
		for _, p := range peers {
			if o := p.Offer(); o != nil {
				offers = append(offers, *o)
			}
		}
		return offers
	}
	run(t, m)
	return m
}

func run(t *testing.T, m *Manager) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func expectVersion(g Gomega, m *Manager, version int64) {
	g.Eventually(func() int64 { return versionOf(m.Current()) }, "10s", "5ms").Should(Equal(version))
}

func expectRefusal(g Gomega, err error, code sardinerock.Code, outcome sardinerock.Outcome) {
	var r *sardinerock.Refusal
	g.ExpectWithOffset(1, errors.As(err, &r)).To(BeTrue(), "%v", err)
	g.ExpectWithOffset(1, r.Code).To(Equal(code), r.Message)
	g.ExpectWithOffset(1, r.Outcome).To(Equal(outcome), r.Message)
}

// Two operators publish different bundles with the same base through two entries at the
// same time. Exactly one must be accepted. The other operator must get the outcome "not run"
// and the name of the winner, and both entries must have the same bundle in force.
func TestRacingOperators(t *testing.T) {
	g := NewWithT(t)
	l := &memLog{}
	managers := []*Manager{startManager(t, l, "e0"), startManager(t, l, "e1")}
	_, err := managers[0].Publish(encode(sample(0, "first", 2)), "ann")
	g.Expect(err).NotTo(HaveOccurred())
	expectVersion(g, managers[1], 1)
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i, m := range managers {
		wg.Go(func() {
			_, errs[i] = m.Publish(encode(sample(1, fmt.Sprintf("by %d", i), 2+i)), fmt.Sprintf("operator%d", i))
		})
	}
	wg.Wait()
	loser := 0
	if errs[1] != nil {
		loser = 1
	}
	g.Expect(errs[1-loser]).NotTo(HaveOccurred())
	expectRefusal(g, errs[loser], sardinerock.CodeVersionConflict, sardinerock.OutcomeNotRun)
	g.Expect(errs[loser].Error()).To(ContainSubstring(fmt.Sprintf("operator%d", 1-loser)))
	for _, m := range managers {
		expectVersion(g, m, 2)
		g.Expect(m.Current().Bundle.Note).To(Equal(fmt.Sprintf("by %d", 1-loser)))
	}
	_, err = managers[loser].Publish(encode(sample(1, fmt.Sprintf("by %d", 1-loser), 3-loser)), "again")
	g.Expect(err).NotTo(HaveOccurred(), "the same bundle again makes no second version")
	expectVersion(g, managers[loser], 2)
}

// Guards against an operator whose base is older than the versions that are kept getting the error that it
// was replaced by version 0 of no operator.
func TestBaseOlderThanTheKeptVersions(t *testing.T) {
	g := NewWithT(t)
	const versions = 66
	m := startManager(t, &memLog{}, "e0")
	for v := range int64(versions) {
		_, err := m.Publish(encode(sample(v, fmt.Sprint("version ", v+1), 1)), "ann")
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := m.Publish(encode(sample(1, "late", 1)), "bob")
	expectRefusal(g, err, sardinerock.CodeVersionConflict, sardinerock.OutcomeNotRun)
	g.Expect(err.Error()).To(And(ContainSubstring("set basedOn to the version in force, 66"), Not(ContainSubstring("version 0"))))
}

// The log never acknowledges an append, whether it stores the record or not. The operator must still get
// the right result, which is read from the log. The copies appended by retries must not make a second version.
func TestLostAcknowledgements(t *testing.T) {
	g := NewWithT(t)
	l := &memLog{loseAcks: true}
	m := startManager(t, l, "e0")
	for v := range int64(3) {
		l.set(func(l *memLog) { l.dropNext = int(v) })
		s, err := m.Publish(encode(sample(v, fmt.Sprint("note ", v), 2)), "ann")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Version).To(Equal(v + 1))
	}
	second := startManager(t, l, "e1")
	expectVersion(g, second, 3)
}

// The log is unavailable. If it rejects appends, Publish must return the outcome "not run" and a
// retry delay; if appends get no answer, the outcome must be "unknown". The version in force must
// stay, and a new process must get it from a peer.
func TestLogUnavailable(t *testing.T) {
	g := NewWithT(t)
	l := &memLog{}
	m := startManager(t, l, "e0")
	_, err := m.Publish(encode(sample(0, "", 2)), "ann")
	g.Expect(err).NotTo(HaveOccurred())
	l.set(func(l *memLog) { l.down = true })
	_, err = m.Publish(encode(sample(1, "", 3)), "ann")
	expectRefusal(g, err, sardinerock.CodeLogUnavailable, sardinerock.OutcomeNotRun)
	g.Expect(sardinerock.AsRefusal(err).RetryAfter).To(BeNumerically(">", 0))
	replacement := startManager(t, l, "e2", m)
	expectVersion(g, replacement, 1)
	l.set(func(l *memLog) { l.down, l.dropAppends = false, true })
	_, err = m.Publish(encode(sample(1, "", 3)), "ann")
	expectRefusal(g, err, sardinerock.CodeLogUnavailable, sardinerock.OutcomeUnknown)
	l.set(func(l *memLog) { l.dropAppends = false })
	_, err = replacement.Publish(encode(sample(1, "", 3)), "ann")
	g.Expect(err).NotTo(HaveOccurred())
	expectVersion(g, m, 2)
}

// The oldest records are removed by retention. A process that starts then must not take the log for
// that of a new installation: it must stay not ready until it finds a checkpoint or a peer.
func TestRetention(t *testing.T) {
	g := NewWithT(t)
	l := &memLog{}
	m := startManager(t, l, "e0")
	for v := range int64(5) {
		_, err := m.Publish(encode(sample(v, fmt.Sprint(v), 3)), "ann")
		g.Expect(err).NotTo(HaveOccurred())
	}
	l.truncate(order.Stream, 4)
	withoutPeers := startManager(t, l, "e1")
	g.Consistently(withoutPeers.Current, "500ms").Should(BeNil())
	_, err := withoutPeers.Publish(encode(sample(0, "again from the start", 3)), "ann")
	expectRefusal(g, err, sardinerock.CodeNotReady, sardinerock.OutcomeNotRun)
	withPeer := startManager(t, l, "e2", m)
	expectVersion(g, withPeer, 5)
	g.Expect(m.writeCheckpoint(context.Background(), m.State())).To(Succeed())
	expectVersion(g, withoutPeers, 5)
	g.Expect(withoutPeers.Current().Bundle).To(Equal(m.Current().Bundle))
}

// Twelve entries run with the same checkpoint interval. Only one or two of them may write in each
// interval: if all of 370 entries wrote, the checkpoints would need 370 times the bytes.
func TestCheckpointsAreShared(t *testing.T) {
	g := NewWithT(t)
	l := &memLog{}
	const every = 400 * time.Millisecond
	for i := range 12 {
		m := &Manager{Log: l, Process: fmt.Sprint("e", i), ReadWait: 20 * time.Millisecond, CheckpointEvery: every}
		run(t, m)
		if i == 0 {
			_, err := m.Publish(encode(sample(0, "", 2)), "ann")
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	const intervals = 8
	time.Sleep(intervals * every)
	records, err := l.Read(context.Background(), order.CheckpointStream, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(records)).To(And(BeNumerically(">=", intervals/3), BeNumerically("<=", intervals*3)))
}
