package prefix

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPrefixesPerHolder is the maximum number of prefixes tracked per backend
	// server, since the engine's own memory for prefixes is limited too.
	maxPrefixesPerHolder = 4096
	// maxHoldersPerPrefix is the maximum number of holders tracked per prefix. A prompt that
	// all requests share would list the whole fleet and would not help routing.
	maxHoldersPerPrefix = 16
)

// Holdings contains the prefixes that one holder probably has cached. Only the methods of Index change it.
type Holdings struct {
	prefixes *lru.LRU[uint64, struct{}]
}

// Index maps prefixes to the backend servers that probably have them cached.
//
// Its sources are cache events, which are late and may be lost, and the requests
// that this entry has sent. A wrong element costs one prefill, because routing never
// prefers a cached prefix to a shorter queue. A prefix whose drop event was lost
// is eventually evicted as the least recently used.
type Index[H comparable] struct {
	holders map[uint64][]H
}

// Holders returns at most n of the backend servers that probably have a prefix cached.
func (p *Index[H]) Holders(prefix uint64, n int) []H {
	all := p.holders[prefix]
	return all[:min(n, len(all))]
}

// Add adds prefixes to the holdings of h. A prefix that already has the maximum number of holders is not added.
func (p *Index[H]) Add(h H, held *Holdings, prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	if p.holders == nil {
		p.holders = make(map[uint64][]H)
	}
	if held.prefixes == nil {
		list, err := lru.NewLRU(maxPrefixesPerHolder, func(prefix uint64, _ struct{}) { p.removeHolder(h, prefix) })
		if err != nil {
			return
		}
		held.prefixes = list
	}
	for _, prefix := range prefixes {
		if _, ok := held.prefixes.Get(prefix); ok {
			continue
		}
		if all := p.holders[prefix]; len(all) < maxHoldersPerPrefix {
			p.holders[prefix] = append(all, h)
			held.prefixes.Add(prefix, struct{}{})
		}
	}
}

// Remove removes prefixes from the holdings of a holder.
func (p *Index[H]) Remove(held *Holdings, prefixes []uint64) {
	if held.prefixes == nil {
		return
	}
	for _, prefix := range prefixes {
		held.prefixes.Remove(prefix)
	}
}

// RemoveAll removes all prefixes from the holdings of a holder.
func (p *Index[H]) RemoveAll(held *Holdings) {
	if held.prefixes != nil {
		held.prefixes.Purge()
	}
}

func (p *Index[H]) removeHolder(h H, prefix uint64) {
	all := slices.DeleteFunc(p.holders[prefix], func(x H) bool { return x == h })
	if len(all) == 0 {
		delete(p.holders, prefix)
		return
	}
	p.holders[prefix] = all
}
