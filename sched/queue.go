package sched

import (
	"container/heap"
	"container/list"
)

// Item is one waiting request as the order sees it.
type Item struct {
	// ID names the item for Remove and is unique within the queue.
	ID     string
	Team   string
	Caller string
	Key    string
	// TeamWeight and Weight are shares of the team and of the caller; below 1 counts as 1.
	TeamWeight int
	Weight     int
	// Cost is the estimated work in tokens; below 1 counts as 1.
	Cost float64
}

// Queue holds waiting requests in weighted fair order; its zero value is empty.
//
// Load pattern: a few callers or keys send most of the requests while others
// send one now and then. With first come, first served, the one request of a
// tutor stands behind the 500 of a script; with turns by request, a caller of
// 8,000-token prompts gets a hundred times the service of one with short ones.
//
// Each node of the tree team, caller, key has a tag: the tokens that it was
// served, divided by its weight. The node with the least tag goes next. A node
// that comes back from idleness is raised to the tag of the one served last,
// so it joins level with the others. Without that raise a caller that was
// silent all night could send at nine o'clock and take every slot until its
// counter caught up, which is the burst that harms the others.
//
// All operations take time in the order of log n in the number of waiting
// teams, callers and keys.
type Queue struct {
	root  node
	items map[string]*waiting
}

type waiting struct {
	item    Item
	key     *node
	element *list.Element
}

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.items) }

// Backlog returns the cost of all that waits, in tokens.
func (q *Queue) Backlog() float64 { return q.root.backlog }

// Push adds an item behind those of the same key; an ID that already waits is ignored.
func (q *Queue) Push(i Item) {
	if q.items == nil {
		q.items = make(map[string]*waiting)
	}
	if _, ok := q.items[i.ID]; ok {
		return
	}
	i.Cost = max(i.Cost, 1)
	key := q.root.child(i.Team, i.TeamWeight).child(i.Caller, i.Weight).child(i.Key, 1)
	w := &waiting{item: i, key: key}
	w.element = key.items.PushBack(w)
	q.items[i.ID] = w
	for n := key; n != nil; n = n.parent {
		n.backlog += i.Cost
		n.count++
		n.activate()
	}
}

// Next returns the item that Pop would take.
func (q *Queue) Next() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return q.next().item, true
}

// Pop takes the next item in fair order and charges its key, caller and team for it.
func (q *Queue) Pop() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	w := q.next()
	q.take(w, w.item.Cost)
	return w.item, true
}

func (q *Queue) next() *waiting {
	n := &q.root
	for n.items.Len() == 0 {
		n = n.active[0]
	}
	return n.items.Front().Value.(*waiting)
}

// Remove takes an item out without charging anybody for it.
func (q *Queue) Remove(id string) (Item, bool) {
	w, ok := q.items[id]
	if !ok {
		return Item{}, false
	}
	q.take(w, 0)
	return w.item, true
}

// Settle corrects what a served item was charged by the given difference in
// tokens, once the real cost is known. A caller that announces 4,000 tokens and
// uses 40 would otherwise wait for work that never was.
func (q *Queue) Settle(i Item, difference float64) {
	team, ok := q.root.children[i.Team]
	if !ok {
		return
	}
	team.charge(difference)
	caller, ok := team.children[i.Caller]
	if !ok {
		return
	}
	caller.charge(difference)
	if key, ok := caller.children[i.Key]; ok {
		key.charge(difference)
	}
}

// Ahead estimates how many tokens are served before a new item of the given
// kind gets its turn. It assumes that no others become active meanwhile, so it
// is low by what newcomers take.
//
// At each level the item needs its own backlog to be served; while that goes
// on, every other active sibling gets its weight's part too, but never more
// than what waits in all.
func (q *Queue) Ahead(i Item) float64 {
	cost := max(i.Cost, 1)
	var team, caller, key *node
	if team = q.root.children[i.Team]; team != nil {
		if caller = team.children[i.Caller]; caller != nil {
			key = caller.children[i.Key]
		}
	}
	need := cost
	if key != nil {
		need += key.backlog
	}
	need = spread(need, cost, caller, key, 1)
	need = spread(need, cost, team, caller, i.Weight)
	need = spread(need, cost, &q.root, team, i.TeamWeight)
	return need - cost
}

// spread returns what the parent serves while the child is served need tokens.
func spread(need, cost float64, parent, child *node, weight int) float64 {
	if parent == nil {
		return need
	}
	own := float64(max(weight, 1))
	total := parent.activeWeight
	if child == nil || child.place != placeActive {
		total += own
	}
	return min(need*total/own, parent.backlog+cost)
}

func (q *Queue) take(w *waiting, charge float64) {
	delete(q.items, w.item.ID)
	w.key.items.Remove(w.element)
	for n := w.key; n != nil; n = n.parent {
		n.backlog -= w.item.Cost
		n.count--
		n.served(charge)
	}
	if len(q.items) == 0 {
		// Nobody waits, so nobody is owed anything: whoever comes next starts level.
		q.root = node{}
	}
}

// place says in which of its parent's heaps a node is.
type place int

const (
	placeNone place = iota
	placeActive
	placeOwing
)

// node is the root, a team, a caller or a key.
type node struct {
	name     string
	parent   *node
	children map[string]*node
	weight   float64
	// tag is the work served over weight, on the scale of the parent's virtual time.
	tag float64
	// virtual is the tag of the child served last.
	virtual float64
	// active are the children with waiting work.
	active nodeHeap
	// owing are idle children that were served ahead of the others; they are
	// forgotten once the virtual time has caught up with them. Forgetting them
	// earlier would let a key escape its debt by letting its queue run empty
	// before each request.
	owing        nodeHeap
	place        place
	index        int
	backlog      float64
	count        int
	activeWeight float64
	// items wait here if the node is a key.
	items list.List
}

func (n *node) child(name string, weight int) *node {
	c := n.children[name]
	if c == nil {
		// A newcomer joins level with the one served last; idle nodes whose tag
		// was lower than that are forgotten, so a known one is never lower.
		c = &node{name: name, parent: n, tag: n.virtual}
		if n.children == nil {
			n.children = make(map[string]*node)
		}
		n.children[name] = c
	}
	newWeight := float64(max(weight, 1))
	if c.place == placeActive {
		n.activeWeight += newWeight - c.weight
	}
	c.weight = newWeight
	return c
}

// activate enters a node with waiting work among its parent's active ones.
func (n *node) activate() {
	p := n.parent
	if p == nil || n.place == placeActive {
		return
	}
	if n.place == placeOwing {
		heap.Remove(&p.owing, n.index)
	}
	n.place = placeActive
	p.activeWeight += n.weight
	heap.Push(&p.active, n)
}

// served charges an active node and takes it from the active ones when nothing more waits.
func (n *node) served(charge float64) {
	p := n.parent
	if p == nil {
		return
	}
	if charge > 0 {
		p.virtual = max(p.virtual, n.tag)
		n.tag += charge / n.weight
	}
	if n.count > 0 {
		heap.Fix(&p.active, n.index)
	} else {
		heap.Remove(&p.active, n.index)
		p.activeWeight -= n.weight
		n.place = placeOwing
		heap.Push(&p.owing, n)
	}
	p.forget()
}

func (n *node) charge(difference float64) {
	p := n.parent
	n.tag = max(n.tag+difference/n.weight, p.virtual)
	if n.place == placeActive {
		heap.Fix(&p.active, n.index)
		return
	}
	heap.Fix(&p.owing, n.index)
	p.forget()
}

// forget drops the idle children with which the virtual time has caught up.
func (n *node) forget() {
	for len(n.owing) > 0 && n.owing[0].tag <= n.virtual {
		c := heap.Pop(&n.owing).(*node)
		delete(n.children, c.name)
	}
}

// nodeHeap orders siblings by tag.
type nodeHeap []*node

func (h nodeHeap) Len() int           { return len(h) }
func (h nodeHeap) Less(i, j int) bool { return h[i].tag < h[j].tag }

func (h nodeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *nodeHeap) Push(x any) {
	n := x.(*node)
	n.index = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *nodeHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}
