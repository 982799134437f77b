package runs

import (
	"container/heap"
	"math"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// schedule enqueues the occurrences of a workflow once they are due. Those that lie ahead, and due ones beyond workflow.ScheduledWindow, have
// no task sets.
type schedule struct {
	record *workflow.Record
	steps  []*scheduledStep // those that depend on no other
	lookAt int64            // Unix time in milliseconds at which it has something to do; never if it waits for an event
	index  int              // in dueSchedules
}

// scheduledStep is the progress of one step through the occurrences.
type scheduledStep struct {
	step    int
	next    int // first occurrence that was not enqueued yet
	waiting int // occurrences of which the step waits
}

// never is the time at which a schedule that waits for an event has something to do.
const never = math.MaxInt64

// budgetRetryMS is the interval in milliseconds at which a due occurrence that the state budget holds back is tried again.
const budgetRetryMS = 500

func (c *Controller) addSchedule(r *workflow.Record) {
	s := &schedule{record: r}
	for i := range r.Workflow.Steps {
		if len(r.Workflow.Steps[i].DependsOn) == 0 {
			s.steps = append(s.steps, &scheduledStep{step: i})
		}
	}
	c.schedules[r.Workflow.ID] = s
	heap.Push(&c.dueSchedules, s)
}

func (c *Controller) dropSchedule(workflow string) {
	if s := c.schedules[workflow]; s != nil {
		delete(c.schedules, workflow)
		heap.Remove(&c.dueSchedules, s.index)
	}
}

// scheduleOf returns the schedule and the progress of a task set's step through the occurrences, or nil if the step depends on others, the workflow isn't
// scheduled, or all its occurrences were enqueued.
func (c *Controller) scheduleOf(ts *taskSet) (*schedule, *scheduledStep) {
	s := c.schedules[ts.id.Workflow]
	if s == nil {
		return nil, nil
	}
	for _, step := range s.steps {
		if step.step == ts.id.Step {
			return s, step
		}
	}
	return nil, nil
}

// waitingChanged counts a task set that begins or ceases to wait. One that ceases makes room for the next occurrence.
func (c *Controller) waitingChanged(ts *taskSet, change int) {
	s, step := c.scheduleOf(ts)
	if s == nil {
		return
	}
	step.waiting += change
	if change < 0 && s.lookAt > 0 {
		s.lookAt = 0
		heap.Fix(&c.dueSchedules, s.index)
	}
}

// enqueueDue enqueues the occurrences that are due, as far as there is room for them.
func (c *Controller) enqueueDue() {
	for len(c.dueSchedules) > 0 {
		now := c.options.UnixMilli()
		s := c.dueSchedules[0]
		if s.lookAt > now {
			return
		}
		if s.record.State().Final() {
			c.dropSchedule(s.record.Workflow.ID)
			continue
		}
		s.lookAt = never
		remaining := false
		for _, step := range s.steps {
			s.lookAt = min(s.lookAt, c.enqueueStep(now, s, step))
			remaining = remaining || step.next < s.record.Workflow.Occurrences()
		}
		if !remaining {
			c.dropSchedule(s.record.Workflow.ID)
			continue
		}
		heap.Fix(&c.dueSchedules, s.index)
	}
}

// enqueueStep enqueues due occurrences of one step and returns when to continue.
func (c *Controller) enqueueStep(now int64, s *schedule, step *scheduledStep) (lookAt int64) {
	r := s.record
	for step.waiting < workflow.ScheduledWindow {
		step.next = r.NextUnclosed(step.next)
		if step.next >= r.Workflow.Occurrences() {
			return never
		}
		if dueAt := r.Workflow.EarliestStartMS(step.next); dueAt > now {
			return dueAt
		}
		if r.Open[step.next] == nil && len(r.Open) >= workflow.ScheduledWindow && !c.admits(r.Workflow.Workspace, workflow.OccurrenceFootprint(&r.Workflow)) {
			c.options.Events.Count("occurrence_held")
			return now + budgetRetryMS
		}
		id := pj.StepID{Workflow: r.Workflow.ID, Occurrence: step.next, Step: step.step}
		step.next++
		if !r.Step(id).Done() {
			ts := c.taskSet(r, id)
			c.enqueue(ts)
			c.dropTaskSet(ts) // if all its tasks run
		}
	}
	return never
}

// scheduleHeap orders schedules by lookAt.
type scheduleHeap []*schedule

// Len implements heap.Interface.
func (h *scheduleHeap) Len() int { return len(*h) }

// Less implements heap.Interface.
func (h *scheduleHeap) Less(i, j int) bool { return (*h)[i].lookAt < (*h)[j].lookAt }

// Swap implements heap.Interface.
func (h *scheduleHeap) Swap(i, j int) {
	(*h)[i], (*h)[j] = (*h)[j], (*h)[i]
	(*h)[i].index, (*h)[j].index = i, j
}

// Push implements heap.Interface.
func (h *scheduleHeap) Push(x any) {
	if s, ok := x.(*schedule); ok {
		s.index = len(*h)
		*h = append(*h, s)
	}
}

// Pop implements heap.Interface.
func (h *scheduleHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return s
}
