package sched

import (
	"container/heap"
	"container/list"
)

// Item is one waiting request.
type Item struct {
	// ID identifies the item for Remove and is unique within the queue.
	ID     string
	Team   string
	Caller string
	Key    string
	// TeamWeight and Weight are the weights of the team and of the caller; values below 1 count as 1.
	TeamWeight int
	Weight     int
	// Cost is the estimated work in tokens; values below 1 count as 1.
	Cost float64
}

// Queue holds waiting requests in weighted fair order; its zero value is empty.
//
// Load pattern: a few callers or keys send most of the requests while others
// send one now and then. With FIFO the single request of a tutor waits behind
// the 500 of a script. With round robin by request, a caller with 8,000-token
// prompts gets a hundred times the service of one with short prompts.
//
// Each node of the tree team, caller, key has a tag: the tokens served to it,
// divided by its weight. The node with the lowest tag is served next. The tag
// of a node that was idle is raised to the virtual time, the tag of the sibling
// served last. Otherwise a caller that was idle all night could take every slot
// in the morning until its tag had caught up with the others.
//
// All operations take O(log n) time for n waiting teams, callers and keys.
type Queue struct {
	root  node
	items map[string]*queuedItem
}

type queuedItem struct {
	item    Item
	key     *node
	element *list.Element
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Backlog returns the cost of all waiting items, in tokens.
func (q *Queue) Backlog() float64 { return q.root.backlog }

// Push adds an item behind those of the same key; it ignores an item whose ID already waits.
func (q *Queue) Push(i Item) {
	if q.items == nil {
		q.items = make(map[string]*queuedItem)
	}
	if _, ok := q.items[i.ID]; ok {
		return
	}
	i.Cost = max(i.Cost, 1)
	key := q.root.child(i.Team, i.TeamWeight).child(i.Caller, i.Weight).child(i.Key, 1)
	w := &queuedItem{item: i, key: key}
	w.element = key.items.PushBack(w)
	q.items[i.ID] = w
	for n := key; n != nil; n = n.parent {
		n.backlog += i.Cost
		n.count++
		n.addToActive()
	}
}

// Next returns the item that Pop would return, without removing it.
func (q *Queue) Next() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return q.next().item, true
}

// Pop removes the next item in fair order and charges its cost to its key, caller and team.
func (q *Queue) Pop() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	w := q.next()
	q.removeItem(w, w.item.Cost)
	return w.item, true
}

func (q *Queue) next() *queuedItem {
	n := &q.root
	for n.items.Len() == 0 {
		n = n.active[0]
	}
	return n.items.Front().Value.(*queuedItem)
}

// Remove takes an item out without a charge.
func (q *Queue) Remove(id string) (Item, bool) {
	w, ok := q.items[id]
	if !ok {
		return Item{}, false
	}
	q.removeItem(w, 0)
	return w.item, true
}

// Settle adds the difference between real and estimated cost, in tokens, to the
// charge of a served item. Without it a caller whose requests allow 4,000 tokens
// and use 40 would be charged for work that was never done.
func (q *Queue) Settle(i Item, difference float64) {
	team, ok := q.root.children[i.Team]
	if !ok {
		return
	}
	team.adjustCharge(difference)
	caller, ok := team.children[i.Caller]
	if !ok {
		return
	}
	caller.adjustCharge(difference)
	if key, ok := caller.children[i.Key]; ok {
		key.adjustCharge(difference)
	}
}

// Ahead estimates how many tokens are served before a new item with these
// fields. It assumes that no further team, caller or key becomes active, and is
// too low by the service that those would get.
//
// At each level the node's own backlog has to be served first. Meanwhile every
// active sibling is served in proportion to its weight; the total is capped at
// the backlog of the parent.
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
	need = parentService(need, cost, caller, key, 1)
	need = parentService(need, cost, team, caller, i.Weight)
	need = parentService(need, cost, &q.root, team, i.TeamWeight)
	return need - cost
}

// parentService returns how many tokens the parent serves while the child is served need tokens.
func parentService(need, cost float64, parent, child *node, weight int) float64 {
	if parent == nil {
		return need
	}
	own := float64(max(weight, 1))
	total := parent.activeWeight
	if child == nil || child.state != stateActive {
		total += own
	}
	return min(need*total/own, parent.backlog+cost)
}

func (q *Queue) removeItem(w *queuedItem, charge float64) {
	delete(q.items, w.item.ID)
	w.key.items.Remove(w.element)
	for n := w.key; n != nil; n = n.parent {
		n.backlog -= w.item.Cost
		n.count--
		n.chargeActive(charge)
	}
	if len(q.items) == 0 {
		// With an empty queue no node has a claim on others; all start again at zero.
		q.root = node{}
	}
}

// nodeState says which of its parent's heaps holds a node: none, active or idle.
type nodeState int

const (
	stateNew nodeState = iota
	stateActive
	stateIdle
)

// node is the root, a team, a caller or a key.
type node struct {
	name     string
	parent   *node
	children map[string]*node
	weight   float64
	// tag is the tokens served divided by the weight, on the scale of the parent's virtual time.
	tag float64
	// virtualTime is the highest tag that a child had when it was served.
	virtualTime float64
	// active holds the children with waiting work.
	active nodeHeap
	// idle holds the children without waiting work whose tag is above the virtual
	// time. They are evicted once the virtual time has reached their tag: evicted
	// earlier, a key could reset its tag by letting its queue run empty before
	// each request.
	idle         nodeHeap
	state        nodeState
	index        int
	backlog      float64
	count        int
	activeWeight float64
	// items holds the waiting items if the node is a key.
	items list.List
}

func (n *node) child(name string, weight int) *node {
	c := n.children[name]
	if c == nil {
		// A new child starts at the virtual time. Idle children with a lower tag
		// have been evicted, so no existing child has to be raised.
		c = &node{name: name, parent: n, tag: n.virtualTime}
		if n.children == nil {
			n.children = make(map[string]*node)
		}
		n.children[name] = c
	}
	newWeight := float64(max(weight, 1))
	if c.state == stateActive {
		n.activeWeight += newWeight - c.weight
	}
	c.weight = newWeight
	return c
}

// addToActive moves a node with waiting work to its parent's active heap.
func (n *node) addToActive() {
	p := n.parent
	if p == nil || n.state == stateActive {
		return
	}
	if n.state == stateIdle {
		heap.Remove(&p.idle, n.index)
	}
	n.state = stateActive
	p.activeWeight += n.weight
	heap.Push(&p.active, n)
}

// chargeActive charges an active node and moves it to the idle heap if nothing more waits.
func (n *node) chargeActive(charge float64) {
	p := n.parent
	if p == nil {
		return
	}
	if charge > 0 {
		p.virtualTime = max(p.virtualTime, n.tag)
		n.tag += charge / n.weight
	}
	if n.count > 0 {
		heap.Fix(&p.active, n.index)
	} else {
		heap.Remove(&p.active, n.index)
		p.activeWeight -= n.weight
		n.state = stateIdle
		heap.Push(&p.idle, n)
	}
	p.evictCaughtUp()
}

// adjustCharge corrects the tag of a node by a difference in tokens, down to the
// virtual time of its parent at most.
func (n *node) adjustCharge(difference float64) {
	p := n.parent
	n.tag = max(n.tag+difference/n.weight, p.virtualTime)
	if n.state == stateActive {
		heap.Fix(&p.active, n.index)
		return
	}
	heap.Fix(&p.idle, n.index)
	p.evictCaughtUp()
}

// evictCaughtUp removes the idle children whose tag the virtual time has reached.
func (n *node) evictCaughtUp() {
	for len(n.idle) > 0 && n.idle[0].tag <= n.virtualTime {
		c := heap.Pop(&n.idle).(*node)
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
