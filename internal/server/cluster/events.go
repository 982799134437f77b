package cluster

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	pj "papayajunction"
)

// events writes the leader's decisions to the log and the metrics.
type events struct {
	vm      *VM
	metrics *metrics.Set
}

func newEvents(v *VM) *events {
	return &events{vm: v, metrics: v.options.Metrics}
}

// Record implements runs.Events.
func (e *events) Record(event string, keyvals ...any) {
	e.Count(event)
	e.vm.log(event, keyvals...)
}

// Count implements runs.Events.
func (e *events) Count(event string) {
	e.metrics.GetOrCreateCounter(fmt.Sprintf("papaya_decisions_total{event=%q}", event)).Inc()
}

// TaskStarted implements runs.Events.
func (e *events) TaskStarted(w *pj.Workflow, wait time.Duration) {
	e.histogram("papaya_task_wait_seconds", w).Update(wait.Seconds())
}

// WorkflowFinished implements runs.Events.
func (e *events) WorkflowFinished(w *pj.Workflow, took time.Duration) {
	e.histogram("papaya_workflow_seconds", w).Update(took.Seconds())
}

func (e *events) histogram(name string, w *pj.Workflow) *metrics.Histogram {
	return e.metrics.GetOrCreateHistogram(fmt.Sprintf(`%s{workspace=%q,priority=%q}`, name, w.Workspace, strconv.Itoa(w.Priority)))
}
