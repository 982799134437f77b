package scheduler

import (
	"container/heap"
	"slices"
	"time"

	pj "papayajunction"
)

// Times after which deferred work is served like normal work of its workspace.
const (
	ageInterval   = time.Second
	deferredAgeIn = 10 * time.Minute
)

type blocking uint8

const (
	notBlocked     blocking = iota
	blockedByLimit          // until the workspace uses less or may use more
	blockedByFit            // until a worker gains room for it
)

// laneKey is what makes jobs alike to the scheduler: if one can't start, none of them can.
type laneKey struct {
	rank   int
	queue  string
	kind   pj.Kind
	amount pj.Resources
	tasks  int // of a gang, else 0
}

// lane is a queue of alike jobs of one workspace, first come first served.
type lane struct {
	key     laneKey
	space   *space
	front   []*entry // jobs that had started before and wait again; served first
	fifo    []*entry
	live    int // entries that still have pending tasks here
	waiting int // their pending tasks
	blocked blocking
	counted bool // counted in space.ready
	spared  bool // blocked only to leave a part of the cell free
	heap    *laneHeap
	place   int // in heap
}

// space is a workspace with its lanes.
type space struct {
	name    string
	running map[taskKey]*running
	share   float64
	lanes   map[laneKey]*lane
	order   [ranks][]*lane
	ready   [ranks]int // lanes that are neither empty nor blocked
	place   [ranks]int // position in the heap of the rank, -1 if not in it
}

func (s *Scheduler) space(name string) *space {
	sp := s.spaces[name]
	if sp == nil {
		sp = &space{name: name, running: make(map[taskKey]*running), lanes: make(map[laneKey]*lane), place: [ranks]int{-1, -1, -1}}
		s.spaces[name] = sp
	}
	return sp
}

// reorder puts a workspace where its share belongs.
func (s *Scheduler) reorder(sp *space) {
	sp.share = s.ledger.Share(sp.name)
	for rank := range ranks {
		s.ready[rank].update(sp)
		for _, l := range sp.order[rank] {
			if l.heap != nil {
				heap.Fix(l.heap, l.place)
			}
		}
	}
}

func (s *Scheduler) enqueue(e *entry, rank int, front bool) {
	key := laneKey{rank: rank, queue: e.job.Queue, kind: e.job.Kind, amount: e.amount}
	if key.kind == pj.KindGang {
		key.tasks = len(e.pending)
	}
	sp := s.space(e.job.Workspace)
	l := sp.lanes[key]
	if l == nil {
		l = &lane{key: key, space: sp}
		sp.lanes[key] = l
		sp.order[rank] = append(sp.order[rank], l)
	}
	if front {
		l.front = append(l.front, e)
	} else {
		l.fifo = append(l.fifo, e)
	}
	e.lane = l
	l.live++
	l.waiting += len(e.pending)
	s.refreshLane(l)
}

// first returns the entry to serve next and drops those that have left.
func (l *lane) first() *entry {
	for len(l.front) > 0 {
		if e := l.front[len(l.front)-1]; e.lane == l {
			return e
		}
		l.front = l.front[:len(l.front)-1]
	}
	for len(l.fifo) > 0 {
		if e := l.fifo[0]; e.lane == l {
			return e
		}
		l.fifo[0] = nil
		l.fifo = l.fifo[1:]
	}
	return nil
}

// refreshLane updates whether a lane counts as ready, and removes it once it is empty.
func (s *Scheduler) refreshLane(l *lane) {
	ready := l.live > 0 && l.blocked == notBlocked
	if ready != l.counted {
		l.counted = ready
		if ready {
			l.space.ready[l.key.rank]++
		} else {
			l.space.ready[l.key.rank]--
		}
		s.ready[l.key.rank].update(l.space)
	}
	if l.live == 0 {
		s.unpark(l)
	}
	if sp := l.space; l.live == 0 && sp.lanes[l.key] == l {
		delete(sp.lanes, l.key)
		sp.order[l.key.rank] = slices.DeleteFunc(sp.order[l.key.rank], func(o *lane) bool { return o == l })
	}
}

func (s *Scheduler) block(l *lane, why blocking) {
	l.blocked = why
	s.refreshLane(l)
	if why == blockedByFit && l.live > 0 {
		s.park(l)
	}
}

// unblock makes lanes ready that were blocked for the given cause. The caller reorders the space.
func (sp *space) unblock(why blocking) {
	for rank, lanes := range sp.order {
		for _, l := range lanes {
			if l.blocked != why {
				continue
			}
			l.blocked = notBlocked
			if !l.counted && l.live > 0 {
				l.counted = true
				sp.ready[rank]++
			}
		}
	}
}

// oldestReady returns the ready lane whose first entry has waited longest.
func (sp *space) oldestReady(rank int) *lane {
	var best *lane
	var since time.Duration
	for _, l := range sp.order[rank] {
		if !l.counted {
			continue
		}
		e := l.first()
		if e == nil {
			return l
		}
		if best == nil || e.since < since {
			best, since = l, e.since
		}
	}
	return best
}

// age moves deferred work that has waited long up one rank, so that it doesn't starve behind
// its own workspace's normal work.
func (s *Scheduler) age(now time.Duration) {
	if now < s.agedAt+ageInterval {
		return
	}
	s.agedAt = now
	for _, sp := range s.spaces {
		s.ageRank(now, sp, 2, deferredAgeIn)
	}
}

func (s *Scheduler) ageRank(now time.Duration, sp *space, rank int, limit time.Duration) {
	for _, l := range slices.Clone(sp.order[rank]) {
		for e := l.first(); e != nil && now-e.since >= limit; e = l.first() {
			l.waiting -= len(e.pending)
			l.live--
			e.lane = nil
			s.enqueue(e, rank-1, false)
		}
		s.refreshLane(l)
	}
}

// Reestimate moves the waiting jobs of a queue to lanes of the size that its estimate says now.
func (s *Scheduler) Reestimate(workspace, queue string) {
	sp := s.space(workspace)
	for rank := range ranks {
		for _, l := range slices.Clone(sp.order[rank]) {
			if l.key.queue == queue {
				s.reestimateLane(l)
			}
		}
	}
}

func (s *Scheduler) reestimateLane(l *lane) {
	for e := l.first(); e != nil; e = l.first() {
		amount := s.estimates.Reservation(e.job.Queue, e.job.Task)
		if _, can := s.fitsSomewhere(amount); !can || amount == e.amount {
			return
		}
		s.dropReservation(e.reservation)
		l.waiting -= len(e.pending)
		l.live--
		e.lane = nil
		e.amount = amount
		s.enqueue(e, l.key.rank, false)
		s.refreshLane(l)
	}
}

// Waiting returns the pending tasks of each workspace's queues and what they need.
func (s *Scheduler) Waiting(visit func(workspace, queue string, tasks int, needed pj.Resources, why string)) {
	for _, sp := range s.spaces {
		for _, lanes := range sp.order {
			for _, l := range lanes {
				visit(sp.name, l.key.queue, l.waiting, l.key.amount.Times(int64(l.waiting)), l.why(s))
			}
		}
	}
}

func (l *lane) why(s *Scheduler) string {
	if e := l.first(); e != nil {
		return s.Reason(e.job.ID)
	}
	return ""
}

// spaceHeap orders the workspaces that have ready lanes of one rank by share.
type spaceHeap struct {
	rank  int
	items []*space
}

func (h *spaceHeap) first() *space {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// update adds, moves or removes a workspace.
func (h *spaceHeap) update(sp *space) {
	at := sp.place[h.rank]
	switch ready := sp.ready[h.rank] > 0; {
	case ready && at < 0:
		heap.Push(h, sp)
	case ready:
		heap.Fix(h, at)
	case at >= 0:
		heap.Remove(h, at)
	}
}

// Len is part of heap.Interface.
func (h *spaceHeap) Len() int {
	return len(h.items)
}

// Less is part of heap.Interface.
func (h *spaceHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.share != b.share {
		return a.share < b.share
	}
	return a.name < b.name
}

// Swap is part of heap.Interface.
func (h *spaceHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].place[h.rank] = i
	h.items[j].place[h.rank] = j
}

// Push is part of heap.Interface.
func (h *spaceHeap) Push(x any) {
	sp, _ := x.(*space)
	sp.place[h.rank] = len(h.items)
	h.items = append(h.items, sp)
}

// Pop is part of heap.Interface.
func (h *spaceHeap) Pop() any {
	last := len(h.items) - 1
	sp := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	sp.place[h.rank] = -1
	return sp
}
