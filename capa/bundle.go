package main

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/wire"
)

// callersPerTeam and the rest of the sample are an assumption about ordinary bundles.
const callersPerTeam = 2

// sampleBundle is a bundle with four models and two callers a team; limit is what changes from version to version.
func sampleBundle(basedOn int64, teams, limit int) *sardinerock.Bundle {
	b := &sardinerock.Bundle{
		BasedOn: basedOn, Note: "raise the limit of one caller",
		Services: []sardinerock.Service{{Name: "portal", MaxInFlight: 16, TimeoutMs: 5000, NonRepeatable: []sardinerock.CallPattern{{Method: "POST", PathPrefix: "/orders"}}}},
		Batch:    sardinerock.Batch{ResultHours: 72, MaxItems: 200000, MaxAttempts: 3},
	}
	for i := range 4 {
		b.Models = append(b.Models, sardinerock.Model{
			Name: fmt.Sprint("model-", i), Versions: []sardinerock.ModelVersion{{Name: "2026-10", Bytes: 14e9}, {Name: "2026-11", Bytes: 14e9}},
			Adapters: []string{"panels", "letters"}, MinBackends: 1, MinSlots: 1, MaxSlots: 24, FirstTokenMs: 900, MaxTokens: 4096,
		})
	}
	for i := range teams {
		name := fmt.Sprintf("team%04d", i)
		b.Teams = append(b.Teams, sardinerock.Team{Name: name, Weight: 1})
		for j := range callersPerTeam {
			a := sardinerock.Caller{
				Name: fmt.Sprintf("%s-app%d", name, j), Team: name, KeyHashes: []string{fmt.Sprintf("%064x", i*10+j)}, Weight: 1,
				Grants:   []sardinerock.Grant{{Model: "model-0", Version: "2026-11", Adapters: []string{"panels"}}, {Model: "model-1", Version: "2026-11"}},
				Services: []string{"portal"}, RequestsPerMinute: 600, TokensPerMinute: 100000, MaxInFlight: 20,
			}
			if i == 0 && j == 0 {
				a.RequestsPerMinute = limit
			}
			b.Callers = append(b.Callers, a)
		}
	}
	return b
}

// signer signs sample bundles off.
type signer struct {
	public  map[string]ed25519.PublicKey
	private ed25519.PrivateKey
}

func newSigner() (*signer, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	return &signer{public: map[string]ed25519.PublicKey{"ann": public}, private: private}, nil
}

func (s *signer) document(b *sardinerock.Bundle) []byte {
	b.SignOffs = []sardinerock.SignOff{bundle.Sign(b, "ann", s.private)}
	data, err := json.Marshal(b)
	if err != nil {
		panic(err) // Plain structs always marshal.
	}
	return data
}

func (s *signer) keeper(l sardinerock.Log, process string) *bundle.Keeper {
	return &bundle.Keeper{Log: l, Process: process, Signers: s.public, SignOffsNeeded: 1}
}

// measureBundles gives what one change of one team costs, by the number of teams.
func measureBundles(r *report) error {
	s, err := newSigner()
	if err != nil {
		return err
	}
	var m bundlePoints
	for _, teams := range []int{50, 200, 800, 1800} {
		if err := m.measure(s, teams); err != nil {
			return err
		}
	}
	r.slope("bundle: bytes of the document", "B", "team", m.document...)
	r.slope("change of one team: bytes in the log", "B", "team", m.record...)
	r.slope("change of one team: bytes to a side", "B", "team", m.side...)
	r.slope("change of one team: CPU of the entry that publishes", "us", "team", m.publish...)
	r.slope("change of one team: CPU of an entry that folds it and brings it into force", "us", "team", m.fold...)
	r.slope("change of one team: CPU of a side", "us", "team", m.take...)
	r.slope("configuration in force: memory at an entry", "B", "team", m.memory...)
	r.slope("whole configuration, packed, for a checkpoint or a new entry: bytes", "B", "team", m.offer...)
	r.slope("whole configuration: CPU to pack it", "us", "team", m.pack...)
	r.slope("whole configuration: CPU to take it over", "us", "team", m.adopt...)
	return nil
}

type bundlePoints struct {
	document, record, side, publish, fold, take, memory, offer, pack, adopt []point
}

func (m *bundlePoints) measure(s *signer, teams int) error {
	size := float64(teams)
	l := newCountingLog()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := memory()
	k := s.keeper(l, "entry-1")
	go func() { _ = k.Run(ctx) }()
	if _, err := k.Publish(s.document(sampleBundle(0, teams, 600)), "ann"); err != nil {
		return err
	}
	first := k.State()
	_, bytesBefore := l.last(bundle.Stream)
	second := s.document(sampleBundle(1, teams, 601))
	m.document = append(m.document, point{size, float64(len(second))})
	if _, err := k.Publish(second, "ann"); err != nil {
		return err
	}
	record, bytesAfter := l.last(bundle.Stream)
	m.record = append(m.record, point{size, float64(bytesAfter - bytesBefore)})
	// The records of the log are the platform's memory, and the first state's content is shared.
	m.memory = append(m.memory, point{size, memory() - before - float64(bytesAfter)})

	m.fold = append(m.fold, point{size, timed(func() {
		next, _, _ := bundle.Fold(first, record)
		if _, err := next.Content.Bundle(); err != nil {
			panic(err)
		}
	})})
	document := s.document(sampleBundle(2, teams, 602))
	m.publish = append(m.publish, point{size, timed(func() {
		b, faults := bundle.Parse(document)
		if len(faults) > 0 {
			panic(faults[0])
		}
		if err := bundle.Verify(b, s.public, 1); err != nil {
			panic(err)
		}
	})})
	if err := m.measureSide(s, size, first, k.State()); err != nil {
		return err
	}
	started := time.Now()
	offer := k.Offer()
	m.pack = append(m.pack, point{size, float64(time.Since(started).Microseconds())})
	m.offer = append(m.offer, point{size, float64(len(offer.Raw))})
	m.adopt = append(m.adopt, point{size, timed(func() {
		if err := s.keeper(l, "entry-2").Adopt(*offer); err != nil {
			panic(err)
		}
	})})
	return nil
}

// measureSide gives what the second version costs a side that has the first.
func (m *bundlePoints) measureSide(s *signer, size float64, first, second *bundle.State) error {
	old := bundle.SideSections(first.Content)
	missing := bundle.Missing(bundle.SideSections(second.Content), bundle.Want(old))
	frame := &wire.Sections{Version: second.Version, Digest: second.Content.Digest()}
	for _, x := range missing {
		frame.Sections = append(frame.Sections, &wire.Section{Name: x.Name, Digest: x.Digest, Content: x.Content})
	}
	want := &wire.WantSections{Version: second.Version, Have: bundle.Want(old)}
	m.side = append(m.side, point{size, float64(proto.Size(frame) + proto.Size(want))})
	var failed error
	both := timed(func() {
		replica := &bundle.Replica{Signers: s.public, SignOffsNeeded: 1}
		if err := replica.Take(first.Version, first.Content.Digest(), old); err != nil {
			failed = err
		}
		if err := replica.Take(second.Version, second.Content.Digest(), missing); err != nil {
			failed = err
		}
	})
	// Both versions cost the same: each is checked and decoded whole.
	m.take = append(m.take, point{size, both / 2})
	return failed
}
