package scheduler

import (
	"container/heap"
	"slices"
	"time"

	pj "papayajunction"
)

// Limits on retries of blocked work.
const (
	retryInterval    = time.Second // interval of retries for work for which no freed resources were recorded
	maxFailedClasses = 8           // classes served without a start in one round, after which freed resources are left to the next round
)

// blockedShape holds the properties that classes blocked for the same free resources have in common.
type blockedShape struct {
	rank   int
	amount pj.Resources
}

// classHeap orders the classes of one blockedShape by the share of their workspaces.
type classHeap struct {
	key     blockedShape
	classes []*equivClass
}

// Len implements heap.Interface.
func (h *classHeap) Len() int {
	return len(h.classes)
}

// Less implements heap.Interface.
func (h *classHeap) Less(i, j int) bool {
	a, b := h.classes[i], h.classes[j]
	if a.workspace != b.workspace {
		if a.workspace.share != b.workspace.share {
			return a.workspace.share < b.workspace.share
		}
		return a.workspace.name < b.workspace.name
	}
	return a.key.queue < b.key.queue
}

// Swap implements heap.Interface.
func (h *classHeap) Swap(i, j int) {
	h.classes[i], h.classes[j] = h.classes[j], h.classes[i]
	h.classes[i].heapIndex = i
	h.classes[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *classHeap) Push(x any) {
	c, _ := x.(*equivClass)
	c.heap, c.heapIndex = h, len(h.classes)
	h.classes = append(h.classes, c)
}

// Pop implements heap.Interface.
func (h *classHeap) Pop() any {
	last := len(h.classes) - 1
	c := h.classes[last]
	h.classes[last] = nil
	h.classes = h.classes[:last]
	c.heap = nil
	return c
}

// addUnschedulable adds a class that is blocked by fit to the heap of its shape.
func (s *Scheduler) addUnschedulable(c *equivClass) {
	if c.heap != nil {
		return
	}
	key := blockedShape{rank: c.key.rank, amount: c.key.amount}
	h := s.unschedulable[key]
	if h == nil {
		h = &classHeap{key: key}
		s.unschedulable[key] = h
		s.unschedulableOrder = append(s.unschedulableOrder, h)
	}
	heap.Push(h, c)
}

func (s *Scheduler) removeUnschedulable(c *equivClass) {
	h := c.heap
	if h == nil {
		return
	}
	heap.Remove(h, c.heapIndex)
	if len(h.classes) == 0 {
		delete(s.unschedulable, h.key)
		s.unschedulableOrder = slices.DeleteFunc(s.unschedulableOrder, func(o *classHeap) bool { return o == h })
	}
}

// unblockForFreed makes one unschedulable class ready, the first in the order of nextWorkspace of those
// that fit into the freed resources or may now use the headroom, and reports whether there was one. It
// skips the classes in tried, which were served and blocked again in this round. Before that, it makes
// reservations for classes of workspaces with a lower share that don't fit.
func (s *Scheduler) unblockForFreed(now time.Duration, tried map[*equivClass]struct{}) bool {
	if len(s.freedWorkers) == 0 || len(tried) >= maxFailedClasses {
		return false
	}
	freed := s.freedResources()
	var best *equivClass
	for _, h := range s.unschedulableOrder {
		c := h.firstUntried(tried)
		if c != nil && (fitsAny(h.key.amount, freed) || s.mayUseHeadroom(c)) && (best == nil || s.servedBefore(c, best)) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	s.reserveForLowerShares(now, best, freed)
	s.unblockClass(best)
	return true
}

// mayUseHeadroom reports whether a class that had to leave the headroom free need no longer do so, or
// would now leave it free.
func (s *Scheduler) mayUseHeadroom(c *equivClass) bool {
	return c.headroomLimited && (s.ledger.WithinFairShare(c.workspace.name) || s.index.HasHeadroom(c.key.amount, headroomDivisor))
}

// firstUntried returns the class of the workspace with the smallest share that is not in tried.
func (h *classHeap) firstUntried(tried map[*equivClass]struct{}) *equivClass {
	if len(h.classes) == 0 {
		return nil
	}
	if _, isTried := tried[h.classes[0]]; !isTried {
		return h.classes[0]
	}
	var best *equivClass
	for i, c := range h.classes {
		if _, isTried := tried[c]; !isTried && (best == nil || h.Less(i, best.heapIndex)) {
			best = c
		}
	}
	return best
}

// servedBefore reports whether class a comes before class b in the order of nextWorkspace.
func (s *Scheduler) servedBefore(a, b *equivClass) bool {
	urgentA := a.key.rank == 0 && s.ledger.WithinFairShare(a.workspace.name)
	urgentB := b.key.rank == 0 && s.ledger.WithinFairShare(b.workspace.name)
	if urgentA != urgentB {
		return urgentA
	}
	if a.workspace.share != b.workspace.share {
		return a.workspace.share < b.workspace.share
	}
	if a.workspace != b.workspace {
		return a.workspace.name < b.workspace.name
	}
	return a.key.rank < b.key.rank
}

// reserveForLowerShares makes reservations for unschedulable work that doesn't fit now, if its
// workspace, with one more task, would still have a smaller share than that of next.
func (s *Scheduler) reserveForLowerShares(now time.Duration, next *equivClass, freed []pj.Resources) {
	for _, h := range s.unschedulableOrder {
		if len(s.reservations) >= s.maxReservations() || len(h.classes) == 0 {
			return
		}
		c := h.classes[0]
		e := c.peek()
		if e == nil || e.reservation != nil || e.job.Kind == pj.KindGang || fitsAny(h.key.amount, freed) {
			continue
		}
		increase := e.amount.DominantShare(s.ledger.Capacity()) / s.ledger.Weight(e.job.Workspace)
		if c.workspace.share+increase < next.workspace.share && s.ledger.Allows(e.job.Workspace, e.amount) {
			s.reserveOne(now, e)
		}
	}
}

// unblockClass makes an unschedulable class ready.
func (s *Scheduler) unblockClass(c *equivClass) {
	s.removeUnschedulable(c)
	c.blocked = notBlocked
	s.refreshClass(c)
}

// serveReserved starts the work whose reserved resources are all free, before other work can use them.
func (s *Scheduler) serveReserved(now time.Duration, plan *pj.Plan) {
	for _, r := range slices.Clone(s.reservations) {
		c := r.entry.class
		if c == nil || c.peek() != r.entry || !s.holdsAreFree(r) {
			continue
		}
		if c.heap != nil {
			s.unblockClass(c)
		}
		if c.blocked == notBlocked {
			s.serve(now, c, plan)
		}
	}
}

func (s *Scheduler) holdsAreFree(r *reservation) bool {
	for w, amount := range r.holds {
		if !amount.Fits(s.index.Unreserved(w)) {
			return false
		}
	}
	return true
}

// unblockReservationOwners makes the unschedulable classes ready whose reservations have a hold on a
// worker that gained free resources.
func (s *Scheduler) unblockReservationOwners() {
	for _, r := range s.reservations {
		if c := r.entry.class; c != nil && c.heap != nil && s.anyHoldFreed(r) {
			s.unblockClass(c)
		}
	}
}

func (s *Scheduler) anyHoldFreed(r *reservation) bool {
	for w := range r.holds {
		if _, ok := s.freedWorkers[w]; ok {
			return true
		}
	}
	return false
}

// freedResources returns the free resources, without those held by reservations, of the usable workers
// in freedWorkers.
func (s *Scheduler) freedResources() []pj.Resources {
	free := make([]pj.Resources, 0, len(s.freedWorkers))
	for w := range s.freedWorkers {
		if s.index.Usable(w) {
			free = append(free, s.index.Free(w))
		}
	}
	return free
}

// retryUnschedulable makes the first class of each shape ready, and all urgent ones, because not every
// change that could let them start adds a worker to freedWorkers.
func (s *Scheduler) retryUnschedulable(now time.Duration) {
	if now < s.retriedAt+retryInterval {
		return
	}
	s.retriedAt = now
	for _, h := range slices.Clone(s.unschedulableOrder) {
		if h.key.rank != 0 {
			s.unblockClass(h.classes[0])
			continue
		}
		for _, c := range slices.Clone(h.classes) {
			s.unblockClass(c)
		}
	}
}

func fitsAny(amount pj.Resources, free []pj.Resources) bool {
	for _, f := range free {
		if amount.Fits(f) {
			return true
		}
	}
	return false
}
