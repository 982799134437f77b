package runs

import (
	"slices"
)

// Places of a pass for task sets. Its cost is bounded, and whatever blocks the first task sets, the others have their turn.
const (
	maxTaskSetsPerPass = 400 // task sets that one pass considers
	rotatingPlaces     = 100 // of these, for task sets behind the first ones, in turn
	blockedPlaces      = 8   // of a workspace whose upper limit has blocked it in the last pass
)

// workspaceQueue describes the waiting task sets of a workspace.
type workspaceQueue struct {
	waiting    int
	selected   int    // by the pass selectedIn
	selectedIn uint64 // last pass that selected a task set
	blockedIn  uint64 // last pass in which the workspace's upper limit blocked a task set and all after it
}

// queueOf returns the queue of a workspace, creating it if necessary.
func (c *Controller) queueOf(workspace string) *workspaceQueue {
	q := c.queues[workspace]
	if q == nil {
		q = &workspaceQueue{}
		c.queues[workspace] = q
	}
	return q
}

// addWaiting adds a number of waiting task sets, which may be negative.
func (c *Controller) addWaiting(ts *taskSet, n int) {
	before := ts.queue.waiting
	ts.queue.waiting += n
	switch {
	case before == 0 && ts.queue.waiting > 0:
		c.waitingWorkspaces++
	case before > 0 && ts.queue.waiting == 0:
		c.waitingWorkspaces--
	}
}

// selectTaskSets returns the task sets that a pass considers, in the order of the ready queue: the first ones of each workspace,
// and some of the others, which take turns. A workspace that its limit blocks doesn't take the places of others.
func (c *Controller) selectTaskSets(pass uint64) []*taskSet {
	if len(c.ready) <= maxTaskSetsPerPass {
		return slices.Clone(c.ready)
	}
	const places = maxTaskSetsPerPass - rotatingPlaces
	share := max(places/c.waitingWorkspaces, blockedPlaces)
	indexes := make([]int, 0, maxTaskSetsPerPass)
	for i, ts := range c.ready {
		if len(indexes) == places {
			break
		}
		if ts.queue.take(pass, share) {
			ts.selectedIn = pass
			indexes = append(indexes, i)
		}
	}
	for range c.ready {
		if len(indexes) == maxTaskSetsPerPass {
			break
		}
		c.rotation = (c.rotation + 1) % len(c.ready)
		ts := c.ready[c.rotation]
		if ts.selectedIn != pass && !ts.queue.blocked(pass) {
			ts.selectedIn = pass
			indexes = append(indexes, c.rotation)
		}
	}
	slices.Sort(indexes)
	selected := make([]*taskSet, len(indexes))
	for i, index := range indexes {
		selected[i] = c.ready[index]
	}
	return selected
}

// blocked reports whether the workspace's upper limit has blocked it in the pass before the given one.
func (q *workspaceQueue) blocked(pass uint64) bool {
	return q.blockedIn != 0 && q.blockedIn+1 == pass
}

// take takes one of the workspace's places in a pass, and reports false if none is left.
func (q *workspaceQueue) take(pass uint64, share int) bool {
	if q.selectedIn != pass {
		q.selectedIn, q.selected = pass, 0
	}
	if q.blocked(pass) {
		share = blockedPlaces
	}
	if q.selected >= share {
		return false
	}
	q.selected++
	return true
}
