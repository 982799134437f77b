package runs

import (
	"container/list"
	"slices"

	pj "papayajunction"
)

// classKey holds what task sets of one class have in common. A class that can't start for one of the reasons of blockReason can't as
// a whole, whatever else tells its task sets apart.
type classKey struct {
	workspace, pool, label string
	priority               int
	amount                 pj.Resources // of one task
	gang                   int          // members; 0 for tasks that start one by one
	longRunning            bool
	advised                pj.StepID // of the only task set of the class if its queue has a policy: tickets are for one step
}

// class is the waiting task sets that are equivalent to the scheduler.
type class struct {
	key       classKey
	workspace *waitingWorkspace
	sets      []*taskSet // in scheduling order
	element   *list.Element
	lastTurn  *taskSet // the one of sets that had the last turn of the class

	checkedIn uint64 // pass to which blocked belongs
	blocked   blockReason

	reported       bool // event step_waits was recorded, with reportedReason
	reportedReason blockReason
}

// waitingWorkspace describes the waiting task sets of a workspace.
type waitingWorkspace struct {
	waiting   int
	blockedIn uint64 // last pass in which the workspace's upper limit held back all its work after a task set

	places   int // of the pass placesIn that its first task sets have taken
	placesIn uint64
}

// waitingSets holds the task sets with pending tasks, in scheduling order and by class. The zero value is empty.
type waitingSets struct {
	ordered    []*taskSet
	classes    map[classKey]*class
	turns      list.List // of *class; the first one had its turn longest ago
	workspaces map[string]*waitingWorkspace
	answered   []*taskSet // whose advice arrived since they were last selected
}

// classKey returns the class to which the task set belongs while it waits.
func (ts *taskSet) classKey() classKey {
	w := &ts.record.Workflow
	key := classKey{workspace: w.Workspace, pool: w.Pool, label: ts.spec.Label, priority: w.Priority, amount: ts.amount, longRunning: ts.spec.LongRunning}
	if ts.spec.Gang {
		key.gang = len(ts.pending)
	}
	if w.Advice != nil {
		key.advised = ts.id
	}
	return key
}

// add adds a task set. Its class must not change while it waits.
func (s *waitingSets) add(ts *taskSet) {
	if s.classes == nil {
		s.classes, s.workspaces = make(map[classKey]*class), make(map[string]*waitingWorkspace)
	}
	key := ts.classKey()
	cl := s.classes[key]
	if cl == nil {
		ws := s.workspaces[key.workspace]
		if ws == nil {
			ws = &waitingWorkspace{}
			s.workspaces[key.workspace] = ws
		}
		cl = &class{key: key, workspace: ws}
		cl.element = s.turns.PushFront(cl) // new work needn't wait until all blocked classes have had their turns
		s.classes[key] = cl
	}
	s.ordered = insertOrdered(s.ordered, ts)
	cl.sets = insertOrdered(cl.sets, ts)
	cl.workspace.waiting++
	ts.class = cl
}

// remove removes a task set that was added, and what is kept for its class and its workspace if it was the last one.
func (s *waitingSets) remove(ts *taskSet) {
	cl := ts.class
	ts.class = nil
	s.ordered = deleteOrdered(s.ordered, ts)
	cl.sets = deleteOrdered(cl.sets, ts)
	cl.workspace.waiting--
	if len(cl.sets) > 0 {
		return
	}
	s.turns.Remove(cl.element)
	delete(s.classes, cl.key)
	if cl.workspace.waiting == 0 {
		delete(s.workspaces, cl.key.workspace)
	}
}

func insertOrdered(sets []*taskSet, ts *taskSet) []*taskSet {
	at, _ := slices.BinarySearchFunc(sets, ts, (*taskSet).compare)
	return slices.Insert(sets, at, ts)
}

func deleteOrdered(sets []*taskSet, ts *taskSet) []*taskSet {
	if at, ok := slices.BinarySearchFunc(sets, ts, (*taskSet).compare); ok {
		return slices.Delete(sets, at, at+1)
	}
	return sets
}

// all yields the classes.
func (s *waitingSets) all(yield func(*class) bool) {
	for e := s.turns.Front(); e != nil; e = e.Next() {
		if cl, ok := e.Value.(*class); ok && !yield(cl) {
			return
		}
	}
}

// nextTurn returns the task set of the class that follows the one with the last turn and isn't selected for the pass yet, or nil.
func (cl *class) nextTurn(pass uint64) *taskSet {
	from := 0
	if cl.lastTurn != nil {
		at, found := slices.BinarySearchFunc(cl.sets, cl.lastTurn, (*taskSet).compare)
		from = at
		if found {
			from++
		}
	}
	for i := range cl.sets {
		if ts := cl.sets[(from+i)%len(cl.sets)]; ts.selectedIn != pass {
			cl.lastTurn = ts
			return ts
		}
	}
	return nil
}

// takePlace takes one of the given number of places that the workspace has in a pass, and reports false if none is left.
func (ws *waitingWorkspace) takePlace(pass uint64, places int) bool {
	if ws.placesIn != pass {
		ws.places, ws.placesIn = 0, pass
	}
	if ws.places >= places {
		return false
	}
	ws.places++
	return true
}

// heldByLimit reports whether the workspace's upper limit held back its work in the pass before the given one.
func (ws *waitingWorkspace) heldByLimit(pass uint64) bool {
	return ws.blockedIn != 0 && ws.blockedIn+1 == pass
}
