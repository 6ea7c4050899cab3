package route

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPrefixes bounds what is believed of one backend server's cache; the
	// engine's own memory for prefixes is limited too.
	maxPrefixes = 4096
	// maxHolders bounds the holders kept per prefix: a prompt that all share
	// would list the whole fleet, and then it decides nothing.
	maxHolders = 16
)

// holds is what one backend server is believed to have cached.
type holds struct {
	list *lru.LRU[uint64, struct{}]
}

func newHolds() *holds { return &holds{} }

// prefixIndex says which backend servers are believed to hold a prefix.
//
// The belief comes from cache events, which are late and have gaps, and from
// what this entry has sent. A wrong one costs one prefill, as Pick never lets a
// prefix outweigh a queue; a missed drop leaves the list as the least recently
// used.
type prefixIndex struct {
	by map[uint64][]*backend
}

func (p *prefixIndex) init() { p.by = make(map[uint64][]*backend) }

func (p *prefixIndex) holders(prefix uint64, n int) []*backend {
	all := p.by[prefix]
	return all[:min(n, len(all))]
}

func (p *prefixIndex) believe(b *backend, prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	if b.holds.list == nil {
		list, err := lru.NewLRU(maxPrefixes, func(prefix uint64, _ struct{}) { p.forget(b, prefix) })
		if err != nil {
			return
		}
		b.holds.list = list
	}
	for _, prefix := range prefixes {
		if _, ok := b.holds.list.Get(prefix); ok {
			continue
		}
		if all := p.by[prefix]; len(all) < maxHolders {
			p.by[prefix] = append(all, b)
			b.holds.list.Add(prefix, struct{}{})
		}
	}
}

func (p *prefixIndex) disbelieve(b *backend, prefixes []uint64) {
	if b.holds.list == nil {
		return
	}
	for _, prefix := range prefixes {
		b.holds.list.Remove(prefix)
	}
}

func (p *prefixIndex) drop(b *backend) {
	if b.holds.list != nil {
		b.holds.list.Purge()
	}
}

func (p *prefixIndex) forget(b *backend, prefix uint64) {
	all := slices.DeleteFunc(p.by[prefix], func(x *backend) bool { return x == b })
	if len(all) == 0 {
		delete(p.by, prefix)
		return
	}
	p.by[prefix] = all
}

// CacheEvent takes what an engine has stored and dropped since the last event.
func (t *Table) CacheEvent(id string, added, dropped []uint64) {
	b := t.backends[id]
	if b == nil {
		return
	}
	t.prefixes.disbelieve(b, dropped)
	t.prefixes.believe(b, added)
}

// CacheReset forgets what a backend server was believed to hold, as after its restart.
func (t *Table) CacheReset(id string) {
	if b := t.backends[id]; b != nil {
		t.prefixes.drop(b)
	}
}
