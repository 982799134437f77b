package scheduler

import (
	"container/heap"
	"slices"
	"time"

	pj "papayajunction"
)

// Bounds of trying blocked work again.
const (
	retryInterval = time.Second // for work for which no room was seen to appear
	vainTries     = 8           // lanes served in vain before the room is left alone until later
)

// shapeKey is what lanes have in common that are blocked for the same room.
type shapeKey struct {
	rank   int
	amount pj.Resources
}

// laneHeap orders the lanes that are blocked for room of one shape by their workspaces' share.
type laneHeap struct {
	key   shapeKey
	lanes []*lane
}

// Len is part of heap.Interface.
func (h *laneHeap) Len() int {
	return len(h.lanes)
}

// Less is part of heap.Interface.
func (h *laneHeap) Less(i, j int) bool {
	a, b := h.lanes[i], h.lanes[j]
	if a.space != b.space {
		if a.space.share != b.space.share {
			return a.space.share < b.space.share
		}
		return a.space.name < b.space.name
	}
	return a.key.queue < b.key.queue
}

// Swap is part of heap.Interface.
func (h *laneHeap) Swap(i, j int) {
	h.lanes[i], h.lanes[j] = h.lanes[j], h.lanes[i]
	h.lanes[i].place = i
	h.lanes[j].place = j
}

// Push is part of heap.Interface.
func (h *laneHeap) Push(x any) {
	l, _ := x.(*lane)
	l.heap, l.place = h, len(h.lanes)
	h.lanes = append(h.lanes, l)
}

// Pop is part of heap.Interface.
func (h *laneHeap) Pop() any {
	last := len(h.lanes) - 1
	l := h.lanes[last]
	h.lanes[last] = nil
	h.lanes = h.lanes[:last]
	l.heap = nil
	return l
}

// park puts a lane that is blocked by fit among the others of its shape.
func (s *Scheduler) park(l *lane) {
	if l.heap != nil {
		return
	}
	key := shapeKey{rank: l.key.rank, amount: l.key.amount}
	h := s.parked[key]
	if h == nil {
		h = &laneHeap{key: key}
		s.parked[key] = h
		s.shapes = append(s.shapes, h)
	}
	heap.Push(h, l)
}

func (s *Scheduler) unpark(l *lane) {
	h := l.heap
	if h == nil {
		return
	}
	heap.Remove(h, l.place)
	if len(h.lanes) == 0 {
		delete(s.parked, h.key)
		s.shapes = slices.DeleteFunc(s.shapes, func(o *laneHeap) bool { return o == h })
	}
}

// wakeParked makes the parked lane ready that should have the room which has become free, if there
// is one. Lanes in tried were served in vain already. A lane of greater need that doesn't fit gets
// a reservation first.
func (s *Scheduler) wakeParked(now time.Duration, tried map[*lane]struct{}) bool {
	if len(s.dirty) == 0 || len(tried) >= vainTries {
		return false
	}
	rooms := s.dirtyRooms()
	var best *lane
	for _, h := range s.shapes {
		l := h.first(tried)
		if l != nil && (fitsAny(h.key.amount, rooms) || s.mayTakeSpare(l)) && (best == nil || s.goesBefore(l, best)) {
			best = l
		}
	}
	if best == nil {
		return false
	}
	s.reserveForNeedier(now, best, rooms)
	s.release(best)
	return true
}

// mayTakeSpare reports whether a lane that left a part of the cell free need not do so any more.
func (s *Scheduler) mayTakeSpare(l *lane) bool {
	return l.spared && (s.ledger.WithinShare(l.space.name) || s.index.Spare(l.key.amount, sparePart))
}

// first returns the lane of the smallest share that was not tried.
func (h *laneHeap) first(tried map[*lane]struct{}) *lane {
	if len(h.lanes) == 0 {
		return nil
	}
	if _, skip := tried[h.lanes[0]]; !skip {
		return h.lanes[0]
	}
	var best *lane
	for i, l := range h.lanes {
		if _, skip := tried[l]; !skip && (best == nil || h.Less(i, best.place)) {
			best = l
		}
	}
	return best
}

// goesBefore is the order of nextSpace for two lanes.
func (s *Scheduler) goesBefore(a, b *lane) bool {
	urgentA := a.key.rank == 0 && s.ledger.WithinShare(a.space.name)
	urgentB := b.key.rank == 0 && s.ledger.WithinShare(b.space.name)
	if urgentA != urgentB {
		return urgentA
	}
	if a.space.share != b.space.share {
		return a.space.share < b.space.share
	}
	if a.space != b.space {
		return a.space.name < b.space.name
	}
	return a.key.rank < b.key.rank
}

// reserveForNeedier keeps room for parked work that doesn't fit now, if its workspace would still
// have a smaller share than the lane's with one more task.
func (s *Scheduler) reserveForNeedier(now time.Duration, next *lane, rooms []pj.Resources) {
	for _, h := range s.shapes {
		if len(s.reservations) >= s.maxReservations() || len(h.lanes) == 0 {
			return
		}
		l := h.lanes[0]
		e := l.first()
		if e == nil || e.reservation != nil || e.job.Kind == pj.KindGang || fitsAny(h.key.amount, rooms) {
			continue
		}
		lift := e.amount.DominantShare(s.ledger.Capacity()) / s.ledger.Weight(e.job.Workspace)
		if l.space.share+lift < next.space.share && s.ledger.Allows(e.job.Workspace, e.amount) {
			s.reserveOne(now, e)
		}
	}
}

// release makes a parked lane ready.
func (s *Scheduler) release(l *lane) {
	s.unpark(l)
	l.blocked = notBlocked
	s.refreshLane(l)
}

// serveOwners starts the work whose reserved room is all free, before anything else can take it.
func (s *Scheduler) serveOwners(now time.Duration, plan *pj.Plan) {
	for _, r := range slices.Clone(s.reservations) {
		l := r.entry.lane
		if l == nil || l.first() != r.entry || !s.isFree(r) {
			continue
		}
		if l.heap != nil {
			s.release(l)
		}
		if l.blocked == notBlocked {
			s.serve(now, l, plan)
		}
	}
}

func (s *Scheduler) isFree(r *reservation) bool {
	for w, amount := range r.holds {
		if !amount.Fits(s.index.Unreserved(w)) {
			return false
		}
	}
	return true
}

// wakeOwners makes the lanes ready for which room was held on workers that gained some.
func (s *Scheduler) wakeOwners() {
	for _, r := range s.reservations {
		if l := r.entry.lane; l != nil && l.heap != nil && s.gained(r) {
			s.release(l)
		}
	}
}

func (s *Scheduler) gained(r *reservation) bool {
	for w := range r.holds {
		if _, ok := s.dirty[w]; ok {
			return true
		}
	}
	return false
}

// dirtyRooms returns what is free, and held for nobody, on workers that gained room since the last
// decisions.
func (s *Scheduler) dirtyRooms() []pj.Resources {
	rooms := make([]pj.Resources, 0, len(s.dirty))
	for w := range s.dirty {
		if s.index.Usable(w) {
			rooms = append(rooms, s.index.Free(w))
		}
	}
	return rooms
}

// retryParked makes the first lane of each shape ready, and all that are urgent, because not every
// change that could let them start is seen as room on a worker.
func (s *Scheduler) retryParked(now time.Duration) {
	if now < s.retriedAt+retryInterval {
		return
	}
	s.retriedAt = now
	for _, h := range slices.Clone(s.shapes) {
		if h.key.rank != 0 {
			s.release(h.lanes[0])
			continue
		}
		for _, l := range slices.Clone(h.lanes) {
			s.release(l)
		}
	}
}

func fitsAny(amount pj.Resources, rooms []pj.Resources) bool {
	for _, room := range rooms {
		if amount.Fits(room) {
			return true
		}
	}
	return false
}
