package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	pj "papayajunction"
)

// Work of a workspace that submits more than the state budget allows, of kinds that the other load lacks: schedules, labels, maxima of tasks
// on a worker, many tasks or steps, and large documents.
const (
	variedKinds      = 9
	variedSubmitters = 4
	variedPause      = 40 * time.Millisecond // of a submitter, after each of its jobs
	variedCancellers = 8
	variedWorkspace  = "varied"
	variedKey        = "key-varied"
	variedLabel      = "even"   // of every other worker
	noLabel          = "nobody" // of no worker
	hoursOfYear      = 8760
	hour             = time.Hour
	overdueTimes     = 40
	chainSteps       = 3
	maxEarlyStart    = 250 * time.Millisecond // before an occurrence is due
	largeRulesetIn   = 4                      // one version of the ruleset in so many is large
	largeRulesRoutes = 1500
)

// Checks of the memory of VMs.
const (
	vmMemoryMB     = 280
	memoryInterval = 200 * time.Millisecond
	metricsPort    = 7806
	peakMetric     = "process_resident_memory_peak_bytes"
)

// newVariedWork returns a job, and whether it can end without being cancelled.
func newVariedWork(n int, now time.Time) (w *pj.Workflow, ends bool) {
	id := fmt.Sprintf("a%015x", n)
	step := pj.Step{Tasks: 1, Task: pj.NewResources(0.1, 0.1, 0, 0), EstimateMS: taskRunTime.Milliseconds()}
	w = &pj.Workflow{ID: id, Spec: id}
	schedule := func(times int, start time.Time, interval time.Duration) {
		w.ScheduledOccurrences, w.StartAtMS, w.IntervalMS = times, start.UnixMilli(), interval.Milliseconds()
	}
	steps := 1
	switch n % variedKinds {
	case 0:
		schedule(hoursOfYear, now.Add(hour), hour)
	case 1:
		step.Label = noLabel
		schedule(hoursOfYear, now.Add(-hoursOfYear*hour), hour)
	case 2:
		ends = true
		schedule(overdueTimes, now.Add(-overdueTimes*time.Second/2), time.Second)
	case 3:
		step.Tasks, step.Label = 4000, noLabel
	case 4:
		w.Spec, step.Label = strings.Repeat("<", pj.MaxSpecBytes), noLabel
	case 5:
		ends = true
		step.Tasks, step.Label = 3, variedLabel
	case 6:
		ends = true
		step.Tasks, step.MaxTasksPerWorker = 4, 1
	case 7:
		step.Tasks = 7
		schedule(hoursOfYear, now.Add(time.Minute), hour)
	case 8:
		ends, steps = true, chainSteps
	}
	for i := range steps {
		w.Steps = append(w.Steps, step)
		if i > 0 {
			w.Steps[i].DependsOn = []int{i - 1}
		}
	}
	return w, ends
}

// varied is the state of this work.
type varied struct {
	jobs     map[string]*pj.Workflow
	labels   map[string][]string // by worker
	lasting  []string            // accepted jobs that end only if they are cancelled
	accepted int
	refused  int
	peak     float64 // highest memory of a VM in bytes
}

func newVaried(workers []pj.PolledWorker) varied {
	v := varied{jobs: make(map[string]*pj.Workflow), labels: make(map[string][]string)}
	for i := range workers {
		v.labels[workers[i].ID] = workers[i].Labels
	}
	return v
}

// submitVaried submits the work until ctx ends.
func (l *load) submitVaried(ctx context.Context) {
	for first := range variedSubmitters {
		l.submitters.Go(func() {
			for n := first; ctx.Err() == nil; n += variedSubmitters {
				l.submitVariedJob(context.WithoutCancel(ctx), n)
				time.Sleep(variedPause)
			}
		})
	}
}

// submitVariedJob submits a job once. An answer that leaves its outcome unknown makes it one that may have been accepted.
func (l *load) submitVariedJob(ctx context.Context, n int) {
	route, _ := newWork("")
	w, ends := newVariedWork(n, time.Now())
	l.mu.Lock()
	l.varied.jobs[w.ID] = w
	j := &job{key: variedKey}
	l.jobs[w.ID] = j
	l.mu.Unlock()
	err := l.client.Submit(ctx, l.randomAddress(entryRole, frontPort), route, variedKey, w)
	notRun, permanent := refused(err)
	if permanent {
		l.recordViolation("job %s was refused: %v", w.ID, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	j.accepted, j.rejected = err == nil, notRun
	switch {
	case notRun:
		l.varied.refused++
	case err == nil:
		l.varied.accepted++
		if !ends {
			l.varied.lasting = append(l.varied.lasting, w.ID)
		}
	}
}

// cancelVaried cancels the accepted jobs that don't end otherwise, many at a time. With a timeout of 0 it tries without limit.
func (l *load) cancelVaried(ctx context.Context, timeout time.Duration) {
	l.submitters.Wait()
	if timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	l.mu.Lock()
	lasting := slices.Clone(l.varied.lasting)
	l.mu.Unlock()
	ids := make(chan string)
	var cancellers sync.WaitGroup
	for range variedCancellers {
		cancellers.Go(func() {
			for id := range ids {
				for !l.cancelJob(ctx, id) && ctx.Err() == nil {
					time.Sleep(retryDelay)
				}
			}
		})
	}
	for _, id := range lasting {
		ids <- id
	}
	close(ids)
	cancellers.Wait()
}

// checkVariedStart records a violation if a task of the work must not start now on the worker.
func (l *load) checkVariedStart(w *pj.PolledWorker, submitted *pj.Workflow, task pj.TaskID) {
	dueAt := time.UnixMilli(submitted.EarliestStartMS(task.Occurrence))
	if early := time.Until(dueAt); submitted.ScheduledOccurrences > 0 && early > maxEarlyStart {
		l.recordViolation("task %s was started %s before it was due", task, early)
	}
	step := &submitted.Steps[task.Step]
	if step.Label != "" && !slices.Contains(l.varied.labels[w.ID], step.Label) {
		l.recordViolation("task %s was started on worker %s, which lacks the label %s", task, w.ID, step.Label)
	}
	for _, d := range step.DependsOn {
		dependency := pj.TaskID{StepID: pj.StepID{Workflow: task.Workflow, Occurrence: task.Occurrence, Step: d}}
		if !l.fleet.Finished(dependency) {
			l.recordViolation("task %s was started before task %s had finished", task, dependency)
		}
	}
}

// watchMemory reads the highest memory of each VM until ctx ends. A VM that takes more than its machine has would be killed.
func (l *load) watchMemory(ctx context.Context) {
	for _, v := range l.size.vms() {
		go func() {
			for ; ctx.Err() == nil; waitFor(ctx, memoryInterval) {
				peak, err := readPeak(ctx, v.address(metricsPort))
				if err != nil {
					continue // it may be down
				}
				l.mu.Lock()
				l.varied.peak = max(l.varied.peak, peak)
				l.mu.Unlock()
				if peak > vmMemoryMB<<20 {
					l.recordViolation("%s has taken %.0f MB, its machine has %d MB", v.name, peak/(1<<20), vmMemoryMB)
					return
				}
			}
		}()
	}
}

// readPeak returns the highest memory that a VM's process has taken, in bytes.
func readPeak(ctx context.Context, address string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, fmt.Errorf("read metrics of %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, fmt.Errorf("read metrics of %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var peak float64
		if n, _ := fmt.Sscanf(lines.Text(), peakMetric+" %g", &peak); n == 1 {
			return peak, nil
		}
	}
	return 0, fmt.Errorf("metrics of %s lack %s: %w", address, peakMetric, io.ErrUnexpectedEOF)
}
