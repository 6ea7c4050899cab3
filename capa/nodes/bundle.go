package nodes

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/capa/meter"
	"github.com/sardinerock/sardinerock/capa/sample"
	"github.com/sardinerock/sardinerock/order"
	"github.com/sardinerock/sardinerock/wire"
)

// Bundles gives what one change of one team costs, by the number of teams.
func Bundles(r *meter.Report) error {
	s, err := sample.NewSigner()
	if err != nil {
		return err
	}
	var m bundlePoints
	for _, teams := range []int{50, 200, 800, 1800} {
		if err := m.measure(s, teams); err != nil {
			return err
		}
	}
	r.Slope("bundle: bytes of the document", "B", "team", m.document...)
	r.Slope("change of one team: bytes in the log", "B", "team", m.record...)
	r.Slope("change of one team: bytes to a side", "B", "team", m.side...)
	r.Slope("change of one team: CPU of the entry that publishes", "us", "team", m.publish...)
	r.Slope("change of one team: CPU of an entry that folds it and brings it into force", "us", "team", m.fold...)
	r.Slope("change of one team: CPU of a side", "us", "team", m.take...)
	r.Slope("configuration in force: memory at an entry", "B", "team", m.memory...)
	r.Slope("whole configuration, packed, for a checkpoint or a new entry: bytes", "B", "team", m.offer...)
	r.Slope("whole configuration: CPU to pack it", "us", "team", m.pack...)
	r.Slope("whole configuration: CPU to take it over", "us", "team", m.adopt...)
	return nil
}

type bundlePoints struct {
	document, record, side, publish, fold, take, memory, offer, pack, adopt []meter.Point
}

func (m *bundlePoints) measure(s *sample.Signer, teams int) error {
	size := float64(teams)
	l := sample.NewLog()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := meter.Memory()
	k := s.Keeper(l, "entry-1")
	go func() { _ = k.Run(ctx) }()
	if _, err := k.Publish(s.Document(sample.Bundle(0, teams, 600)), "ann"); err != nil {
		return err
	}
	first := k.State()
	_, bytesBefore := l.Last(order.Stream)
	second := s.Document(sample.Bundle(1, teams, 601))
	m.document = append(m.document, meter.At(size, float64(len(second))))
	if _, err := k.Publish(second, "ann"); err != nil {
		return err
	}
	record, bytesAfter := l.Last(order.Stream)
	m.record = append(m.record, meter.At(size, float64(bytesAfter-bytesBefore)))
	// The records of the log are the platform's memory, and the first state's content is shared.
	m.memory = append(m.memory, meter.At(size, meter.Memory()-before-float64(bytesAfter)))

	m.fold = append(m.fold, meter.At(size, meter.Timed(func() {
		next, _, _ := order.Fold(first, record)
		if _, err := next.Content.Bundle(); err != nil {
			panic(err)
		}
	})))
	document := s.Document(sample.Bundle(2, teams, 602))
	m.publish = append(m.publish, meter.At(size, meter.Timed(func() {
		b, faults := bundle.Parse(document)
		if len(faults) > 0 {
			panic(faults[0])
		}
		if err := bundle.Verify(b, s.Public, 1); err != nil {
			panic(err)
		}
	})))
	if err := m.measureSide(s, size, first, k.State()); err != nil {
		return err
	}
	started := time.Now()
	offer := k.Offer()
	m.pack = append(m.pack, meter.At(size, float64(time.Since(started).Microseconds())))
	m.offer = append(m.offer, meter.At(size, float64(len(offer.Raw))))
	m.adopt = append(m.adopt, meter.At(size, meter.Timed(func() {
		if err := s.Keeper(l, "entry-2").Adopt(*offer); err != nil {
			panic(err)
		}
	})))
	return nil
}

// measureSide gives what the second version costs a side that has the first.
func (m *bundlePoints) measureSide(s *sample.Signer, size float64, first, second *order.State) error {
	old := bundle.SideSections(first.Content)
	missing := bundle.Missing(bundle.SideSections(second.Content), bundle.Want(old))
	frame := &wire.Sections{Version: second.Version, Digest: second.Content.Digest()}
	for _, x := range missing {
		frame.Sections = append(frame.Sections, &wire.Section{Name: x.Name, Digest: x.Digest, Content: x.Content})
	}
	want := &wire.WantSections{Version: second.Version, Have: bundle.Want(old)}
	m.side = append(m.side, meter.At(size, float64(proto.Size(frame)+proto.Size(want))))
	var failed error
	both := meter.Timed(func() {
		replica := &bundle.Replica{Signers: s.Public, SignOffsNeeded: 1}
		if err := replica.Take(first.Version, first.Content.Digest(), old); err != nil {
			failed = err
		}
		if err := replica.Take(second.Version, second.Content.Digest(), missing); err != nil {
			failed = err
		}
	})
	// Both versions cost the same: each is checked and decoded whole.
	m.take = append(m.take, meter.At(size, both/2))
	return failed
}
