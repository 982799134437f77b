package scheduler

import (
	"container/heap"
	"slices"
	"time"

	pj "papayajunction"
)

// Aging of deferred work.
const (
	agingInterval   = time.Second
	maxDeferredWait = 10 * time.Minute // after which deferred work is served like normal work of its workspace
)

type blockReason uint8

const (
	notBlocked     blockReason = iota
	blockedByLimit             // until the workspace's usage falls or its limit rises
	blockedByFit               // until a worker has enough free resources
)

// classKey holds the properties that make jobs equivalent to the scheduler: if one can't start, none
// of them can.
type classKey struct {
	rank   int
	queue  string
	kind   pj.Kind
	amount pj.Resources
	tasks  int // size of a gang, else 0
}

// equivClass is an equivalence class: a first-in, first-out queue of the equivalent jobs of one
// workspace.
type equivClass struct {
	key             classKey
	workspace       *workspace
	requeued        []*entry // jobs that have started tasks before; served first, last added first
	fifo            []*entry
	activeJobs      int // entries of requeued and fifo that were not removed
	pendingTasks    int // of the active jobs
	blocked         blockReason
	ready           bool // neither empty nor blocked; counted in workspace.readyCount
	headroomLimited bool // had to leave the headroom free when it was last served
	heap            *classHeap
	heapIndex       int // position in heap
}

// workspace holds the classes and running tasks of a workspace.
type workspace struct {
	name          string
	running       map[taskKey]*runningTask
	share         float64 // weighted dominant share, as last computed
	classes       map[classKey]*equivClass
	classesByRank [rankCount][]*equivClass
	readyCount    [rankCount]int // classes that are ready
	heapIndex     [rankCount]int // position in Scheduler.ready, by rank; -1 if absent
}

func (s *Scheduler) workspace(name string) *workspace {
	ws := s.workspaces[name]
	if ws == nil {
		ws = &workspace{name: name, running: make(map[taskKey]*runningTask), classes: make(map[classKey]*equivClass), heapIndex: [rankCount]int{-1, -1, -1}}
		s.workspaces[name] = ws
	}
	return ws
}

// updateShare recomputes the share of a workspace and its position in the heaps.
func (s *Scheduler) updateShare(ws *workspace) {
	ws.share = s.ledger.Share(ws.name)
	for rank := range rankCount {
		s.ready[rank].update(ws)
		for _, c := range ws.classesByRank[rank] {
			if c.heap != nil {
				heap.Fix(c.heap, c.heapIndex)
			}
		}
	}
}

func (s *Scheduler) enqueue(e *entry, rank int, requeued bool) {
	key := classKey{rank: rank, queue: e.job.Queue, kind: e.job.Kind, amount: e.amount}
	if key.kind == pj.KindGang {
		key.tasks = len(e.pending)
	}
	ws := s.workspace(e.job.Workspace)
	c := ws.classes[key]
	if c == nil {
		c = &equivClass{key: key, workspace: ws}
		ws.classes[key] = c
		ws.classesByRank[rank] = append(ws.classesByRank[rank], c)
	}
	if requeued {
		c.requeued = append(c.requeued, e)
	} else {
		c.fifo = append(c.fifo, e)
	}
	e.class = c
	c.activeJobs++
	c.pendingTasks += len(e.pending)
	s.refreshClass(c)
}

// peek returns the entry to serve next and drops those that were removed from the class.
func (c *equivClass) peek() *entry {
	for len(c.requeued) > 0 {
		if e := c.requeued[len(c.requeued)-1]; e.class == c {
			return e
		}
		c.requeued = c.requeued[:len(c.requeued)-1]
	}
	for len(c.fifo) > 0 {
		if e := c.fifo[0]; e.class == c {
			return e
		}
		c.fifo[0] = nil
		c.fifo = c.fifo[1:]
	}
	return nil
}

// refreshClass updates whether a class is ready, and removes it if it is empty.
func (s *Scheduler) refreshClass(c *equivClass) {
	ready := c.activeJobs > 0 && c.blocked == notBlocked
	if ready != c.ready {
		c.ready = ready
		if ready {
			c.workspace.readyCount[c.key.rank]++
		} else {
			c.workspace.readyCount[c.key.rank]--
		}
		s.ready[c.key.rank].update(c.workspace)
	}
	if c.activeJobs == 0 {
		s.removeUnschedulable(c)
	}
	if ws := c.workspace; c.activeJobs == 0 && ws.classes[c.key] == c {
		delete(ws.classes, c.key)
		ws.classesByRank[c.key.rank] = slices.DeleteFunc(ws.classesByRank[c.key.rank], func(o *equivClass) bool { return o == c })
	}
}

func (s *Scheduler) block(c *equivClass, reason blockReason) {
	c.blocked = reason
	s.refreshClass(c)
	if reason == blockedByFit && c.activeJobs > 0 {
		s.addUnschedulable(c)
	}
}

// unblock makes the classes ready that were blocked for the given reason. The caller must call
// updateShare afterwards.
func (ws *workspace) unblock(reason blockReason) {
	for rank, classes := range ws.classesByRank {
		for _, c := range classes {
			if c.blocked != reason {
				continue
			}
			c.blocked = notBlocked
			if !c.ready && c.activeJobs > 0 {
				c.ready = true
				ws.readyCount[rank]++
			}
		}
	}
}

// oldestReady returns the ready class whose first entry has been pending longest.
func (ws *workspace) oldestReady(rank int) *equivClass {
	var best *equivClass
	var since time.Duration
	for _, c := range ws.classesByRank[rank] {
		if !c.ready {
			continue
		}
		e := c.peek()
		if e == nil {
			return c
		}
		if best == nil || e.pendingSince < since {
			best, since = c, e.pendingSince
		}
	}
	return best
}

// ageDeferred raises deferred work by one rank after maxDeferredWait, so that it isn't starved by its
// own workspace's normal work.
func (s *Scheduler) ageDeferred(now time.Duration) {
	if now < s.agedAt+agingInterval {
		return
	}
	s.agedAt = now
	for _, ws := range s.workspaces {
		s.ageRank(now, ws, 2, maxDeferredWait)
	}
}

func (s *Scheduler) ageRank(now time.Duration, ws *workspace, rank int, limit time.Duration) {
	for _, c := range slices.Clone(ws.classesByRank[rank]) {
		for e := c.peek(); e != nil && now-e.pendingSince >= limit; e = c.peek() {
			c.pendingTasks -= len(e.pending)
			c.activeJobs--
			e.class = nil
			s.enqueue(e, rank-1, false)
		}
		s.refreshClass(c)
	}
}

// Reestimate moves the pending jobs of a queue to the classes that match the current estimate of
// their usage.
func (s *Scheduler) Reestimate(workspace, queue string) {
	ws := s.workspace(workspace)
	for rank := range rankCount {
		for _, c := range slices.Clone(ws.classesByRank[rank]) {
			if c.key.queue == queue {
				s.reestimateClass(c)
			}
		}
	}
}

func (s *Scheduler) reestimateClass(c *equivClass) {
	for e := c.peek(); e != nil; e = c.peek() {
		amount := s.estimator.Reservation(e.job.Queue, e.job.Task)
		if _, fits := s.fitsAnyWorker(amount); !fits || amount == e.amount {
			return
		}
		s.dropReservation(e.reservation)
		c.pendingTasks -= len(e.pending)
		c.activeJobs--
		e.class = nil
		e.amount = amount
		s.enqueue(e, c.key.rank, false)
		s.refreshClass(c)
	}
}

// EachPending calls visit for each class with the number of its pending tasks, the resources that
// they need and the reason why they are pending.
func (s *Scheduler) EachPending(visit func(workspace, queue string, tasks int, needed pj.Resources, reason string)) {
	for _, ws := range s.workspaces {
		for _, classes := range ws.classesByRank {
			for _, c := range classes {
				visit(ws.name, c.key.queue, c.pendingTasks, c.key.amount.Mul(int64(c.pendingTasks)), c.pendingReason(s))
			}
		}
	}
}

func (c *equivClass) pendingReason(s *Scheduler) string {
	if e := c.peek(); e != nil {
		return s.PendingReason(e.job.ID)
	}
	return ""
}

// workspaceHeap orders the workspaces that have ready classes of one rank by share.
type workspaceHeap struct {
	rank  int
	items []*workspace
}

func (h *workspaceHeap) peek() *workspace {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// update adds, moves or removes a workspace according to its ready classes and its share.
func (h *workspaceHeap) update(ws *workspace) {
	index := ws.heapIndex[h.rank]
	switch ready := ws.readyCount[h.rank] > 0; {
	case ready && index < 0:
		heap.Push(h, ws)
	case ready:
		heap.Fix(h, index)
	case index >= 0:
		heap.Remove(h, index)
	}
}

// Len implements heap.Interface.
func (h *workspaceHeap) Len() int {
	return len(h.items)
}

// Less implements heap.Interface.
func (h *workspaceHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.share != b.share {
		return a.share < b.share
	}
	return a.name < b.name
}

// Swap implements heap.Interface.
func (h *workspaceHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex[h.rank] = i
	h.items[j].heapIndex[h.rank] = j
}

// Push implements heap.Interface.
func (h *workspaceHeap) Push(x any) {
	ws, _ := x.(*workspace)
	ws.heapIndex[h.rank] = len(h.items)
	h.items = append(h.items, ws)
}

// Pop implements heap.Interface.
func (h *workspaceHeap) Pop() any {
	last := len(h.items) - 1
	ws := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	ws.heapIndex[h.rank] = -1
	return ws
}
