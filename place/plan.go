package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
)

// Plan assigns the versions of the models to sides.
type Plan struct {
	// Holdings lists the versions with their sides, each in the order in which the sides load it.
	Holdings []Holding
}

// Holding is one version of a model and the sides that hold it.
type Holding struct {
	Model   string
	Version string
	Bytes   int64
	// Adapters are loaded together with the version.
	Adapters []string
	Sides    []string
	// Missing is how many sides are short of the model's minimum.
	Missing int
}

// candidate is a side with its weight for one version.
type candidate struct {
	id, zone string
	weight   uint64
	round    int
}

// NewPlan computes the placement from the models of a bundle and the sides only, so that
// every process with the same inputs computes the same plan without messages.
//
// Instances come and go all day. With rendezvous hashing the loss of a side does not change
// what the others hold. With a plan based on a sorted list, losing one side would move all
// assignments after it, causing thousands of loads from a rate-limited weight store. Zones
// take turns, so that losing a zone removes no more than its share of any model. Within a
// zone, sides that already hold their share of versions are chosen last.
func NewPlan(models []sardinerock.Model, sides []sardinerock.Instance) Plan {
	var engines []sardinerock.Instance
	for _, x := range sides {
		if x.Role == sardinerock.RoleSide && x.Service == "" && !x.Leaving {
			engines = append(engines, x)
		}
	}
	total := 0
	for i := range models {
		total += len(models[i].Versions) * replicas(&models[i], len(engines))
	}
	// The share is a quarter above the average. At the average every side would be full,
	// and losing one would move many assignments (41 loads at 120 sides instead of 1.1).
	share := 0
	if len(engines) > 0 {
		share = (total*5/4 + len(engines)) / len(engines)
	}
	var p Plan
	held := map[string]int{}
	for i := range models {
		m := &models[i]
		for _, v := range m.Versions {
			chosen := chooseSides(m.Name+"\x00"+v.Name, engines, replicas(m, len(engines)), held, share)
			p.Holdings = append(p.Holdings, Holding{
				Model: m.Name, Version: v.Name, Bytes: v.Bytes, Adapters: m.Adapters,
				Sides: chosen, Missing: max(0, m.MinBackends-len(chosen)),
			})
		}
	}
	return p
}

// replicas returns the number of sides that should hold each version of a model.
func replicas(m *sardinerock.Model, sides int) int {
	if m.MaxBackends == 0 {
		return sides
	}
	return min(m.MaxBackends, sides)
}

// chooseSides returns n sides for a version and counts them in held. The zones take turns, and
// within a zone the sides below the share come first.
func chooseSides(key string, sides []sardinerock.Instance, n int, held map[string]int, share int) []string {
	all := make([]candidate, len(sides))
	for i, x := range sides {
		all[i] = candidate{id: x.ID, zone: x.Region + "\x00" + x.Zone, weight: rendezvousWeight(key, x.ID)}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		atShare := func(c candidate) int { return boolToInt(held[c.id] >= share) }
		if c := cmp.Compare(atShare(x), atShare(y)); c != 0 {
			return c
		}
		return byWeight(x, y)
	})
	rounds := map[string]int{}
	for i := range all {
		all[i].round = rounds[all[i].zone]
		rounds[all[i].zone]++
	}
	slices.SortStableFunc(all, func(x, y candidate) int { return cmp.Compare(x.round, y.round) })
	ids := make([]string, n)
	for i, c := range all[:n] {
		ids[i] = c.id
		held[c.id]++
	}
	return ids
}

func byWeight(x, y candidate) int {
	if c := cmp.Compare(y.weight, x.weight); c != 0 {
		return c
	}
	return cmp.Compare(x.id, y.id)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func rendezvousWeight(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Target is what one side's engine should hold.
type Target struct {
	Models []sardinerock.LoadedModel
	// Rank is the side's position, from 0, among the sides that load the same version. If it holds several versions, it is the largest.
	Rank int
	// Bytes is the size of the largest version.
	Bytes int64
}

// Target returns the part of the plan for one side, empty if the plan has nothing for it.
func (p *Plan) Target(side string) Target {
	var t Target
	for _, h := range p.Holdings {
		rank := slices.Index(h.Sides, side)
		if rank < 0 {
			continue
		}
		t.Rank = max(t.Rank, rank)
		t.Bytes = max(t.Bytes, h.Bytes)
		t.Models = append(t.Models, sardinerock.LoadedModel{Model: h.Model, Version: h.Version})
		for _, a := range h.Adapters {
			t.Models = append(t.Models, sardinerock.LoadedModel{Model: h.Model, Version: h.Version, Adapter: a})
		}
	}
	return t
}
