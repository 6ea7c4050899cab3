package shard

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/stream"
)

// explorer plays all orders in which the steps of some processes can happen.
type explorer struct {
	t     *testing.T
	lanes [][]func(*play)
	plays int
}

// play is one order under way.
type play struct {
	*world
}

// run tries every next step of every lane; a play is made anew for each order, so steps need not be undone.
func (x *explorer) run(at []int, order []int) {
	ended := true
	for lane := range x.lanes {
		if at[lane] == len(x.lanes[lane]) {
			continue
		}
		ended = false
		at[lane]++
		x.run(at, append(order, lane))
		at[lane]--
	}
	if ended {
		x.plays++
		x.play(order)
	}
}

func (x *explorer) play(order []int) {
	p := &play{world: &world{t: x.t, promised: map[string]uint64{}}}
	for _, name := range []string{"entry1", "entry2", "entry3"} {
		p.entries = append(p.entries, p.newActor(name, nil))
	}
	p.claim(0)
	p.arrive(0)
	a := p.entries[0]
	a.send(sending{key: "k"}, &Record{Kind: &Record_Chunk{Chunk: &Chunk{Upload: 9, Items: []*Item{{}, {}}}}},
		&Record{Kind: &Record_Seal{Seal: &Seal{Upload: 9, Job: "k", Total: 2}}})
	a.step(0)
	p.read(0)
	p.read(1)
	next := make([]int, len(x.lanes))
	for _, lane := range order {
		x.lanes[lane][next[lane]](p)
		next[lane]++
	}
	p.settle()
}

func (p *play) claim(i int) {
	a := p.entries[i]
	a.send(sending{}, &Record{Kind: &Record_Claim{Claim: &Claim{Owner: a.name, Replaces: a.state.Epoch}}})
}

// arrive lets the oldest append of the entry take effect, with its answer.
func (p *play) arrive(i int) { p.entries[i].step(0) }

// arriveUnanswered lets it take effect while the entry goes on repeating it.
func (p *play) arriveUnanswered(i int) { p.entries[i].step(2) }

func (p *play) read(i int) { p.entries[i].fold(1 << 20) }

// result sends a result under the last epoch that the entry believes is its own.
func (p *play) result(i int, item uint32) {
	a := p.entries[i]
	if !a.hasClaim {
		return
	}
	a.send(sending{}, &Record{Kind: &Record_Done{Done: &Done{Epoch: a.claimed, Job: 1, Items: []*ItemDone{a.done(&Job{ID: "k"}, item)}}}})
}

func (p *play) cancel(i int) {
	p.entries[i].send(sending{}, &Record{Kind: &Record_Cancel{Cancel: &Cancel{Job: "k"}}})
	p.arrive(i)
}

// settle lets a third entry take over and finish, then compares all readers with the plain reading.
func (p *play) settle() {
	slow, taker := p.entries[0], p.entries[2]
	p.entries[0], p.entries[2] = taker, slow
	p.finish()
	p.expectAgreement()
	if owner := taker.state.Owner; owner != taker.name {
		p.t.Fatalf("the shard belongs to %q, not to the last one to claim it", owner)
	}
}

func step(f func(*play, int), i int) func(*play) { return func(p *play) { f(p, i) } }

func answer(i int, item uint32) func(*play) { return func(p *play) { p.result(i, item) } }

// An owner is paused between any two of its steps, with a result or a claim on
// the way that arrives whenever it likes, also twice. Another entry takes the
// shard over and runs the items again; a caller cancels through a third. In
// every order of these steps all readers agree with a plain reading: the first
// result under an epoch in force stands, none after the cancellation, and a
// claim that was overtaken takes nothing back.
func TestExploreClaimPauseTakeOverCancel(t *testing.T) {
	tables := map[string]struct {
		lanes [][]func(*play)
		plays int
	}{
		"pause with a result on the way": {
			lanes: [][]func(*play){
				{answer(0, 0), step((*play).arriveUnanswered, 0), step((*play).arrive, 0), answer(0, 1), step((*play).arrive, 0), step((*play).read, 0)},
				{step((*play).claim, 1), step((*play).arrive, 1), step((*play).read, 1), answer(1, 0), step((*play).arrive, 1)},
				{step((*play).cancel, 2)},
			},
			plays: 5544,
		},
		"pause with a claim on the way": {
			lanes: [][]func(*play){
				{step((*play).read, 0), step((*play).claim, 0), step((*play).arriveUnanswered, 0), step((*play).arrive, 0), step((*play).read, 0), answer(0, 1)},
				{step((*play).read, 1), step((*play).claim, 1), step((*play).arrive, 1), step((*play).read, 1), answer(1, 0), step((*play).arrive, 1)},
				{step((*play).cancel, 2)},
			},
			plays: 12012,
		},
		"both claim twice": {
			lanes: [][]func(*play){
				{step((*play).claim, 0), step((*play).arrive, 0), step((*play).read, 0), step((*play).claim, 0), step((*play).arrive, 0), step((*play).read, 0), answer(0, 0)},
				{step((*play).claim, 1), step((*play).arrive, 1), step((*play).read, 1), step((*play).claim, 1), step((*play).arrive, 1), step((*play).read, 1), answer(1, 1)},
			},
			plays: 3432,
		},
	}
	for name, c := range tables {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			x := &explorer{t: t, lanes: c.lanes}
			x.run(make([]int, len(c.lanes)), nil)
			g.Expect(x.plays).To(Equal(c.plays))
		})
	}
}

// A result that arrives after the cancellation doesn't count, one before it stays readable.
func TestCancelDrawsTheLine(t *testing.T) {
	g := NewWithT(t)
	x := &explorer{t: t}
	var kept *Job
	x.lanes = [][]func(*play){{answer(0, 0), step((*play).arrive, 0), step((*play).cancel, 1), answer(0, 1), step((*play).arrive, 0), func(p *play) {
		p.read(2)
		kept = p.entries[2].state.Jobs["k"]
		g.Expect(kept.State).To(Equal(sardinerock.JobCancelling))
		g.Expect(kept.Open(0)).To(BeFalse())
		g.Expect(kept.Open(1)).To(BeTrue())
	}}}
	x.run([]int{0}, nil)
	g.Expect(x.plays).To(Equal(1))
}

// FuzzApply feeds arbitrary records to the fold: it must neither panic nor come to a state that a checkpoint changes.
func FuzzApply(f *testing.F) {
	f.Add([]byte("\x0a\x04\x0a\x02me"), []byte("\x32\x03\x0a\x01k"))
	f.Add([]byte{}, []byte("\x3a\x06\x08\x01\x10\x01\x1a\x00"))
	f.Fuzz(func(t *testing.T, one, two []byte) {
		s := NewState()
		for i, data := range [][]byte{one, two, one} {
			s.Apply(&stream.Entry{Offset: int64(i), AtMs: 1, Records: [][]byte{data}})
		}
		data, err := s.Encode()
		if err != nil {
			return
		}
		again, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if again.Epoch != s.Epoch || again.Owner != s.Owner || len(again.Jobs) != len(s.Jobs) {
			t.Fatal("a checkpoint changes the state")
		}
	})
}
