// Package measure computes the figures by which policies are compared from the result of a replay.
package measure

import (
	"maps"
	"math"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/replay/engine"
)

// Window is the period over which the deviation from the weighted fair share is averaged.
const Window = 60 * time.Second

// WaitTimes holds the waiting times of the tasks of one workspace and urgency, in milliseconds.
type WaitTimes struct {
	Workspace string  `json:"workspace"`
	Urgency   string  `json:"urgency"`
	Count     int     `json:"count"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
}

// Report holds the figures of one policy on one trace.
type Report struct {
	Policy          string      `json:"policy"`
	Waits           []WaitTimes `json:"waits"`
	Packing         float64     `json:"packing"`        // mean reserved fraction of the scarcest resource while tasks wait
	MeanDeviation   float64     `json:"deviation_mean"` // from the weighted fair share, as a fraction of the fleet
	MaxDeviation    float64     `json:"deviation_most"` // maximum over all windows with a constant backlog
	Windows         int         `json:"windows"`        // with a constant backlog, which count for the deviation
	Starts          int         `json:"starts"`         // of tasks
	Preemptions     int         `json:"preempts"`
	Finished        int         `json:"finished"` // tasks
	Failed          int         `json:"failed"`   // attempts that failed
	JobsFailed      int         `json:"jobs_failed"`
	Unfinished      int         `json:"unfinished"`       // tasks
	Overcommitted   int         `json:"overcommitted"`    // times that a sample shows a worker with more reserved than its capacity
	DuplicateStarts int         `json:"doubled"`          // starts of a task that was running or had finished
	MicrosPerStart  float64     `json:"micros_per_start"` // wall-clock time of the policy's decisions, divided by starts
	BytesPerStart   float64     `json:"bytes_per_start"`  // bytes allocated by the whole replay, divided by starts
	UrgentP99       float64     `json:"urgent_p99_ms"`    // of all workspaces together
	MaxP99          float64     `json:"largest_p99_ms"`   // maximum over all workspaces and urgencies
}

// New returns the figures of a result.
func New(policy string, r engine.Result) Report {
	out := Report{
		Policy: policy, Starts: r.Starts, Preemptions: r.Preemptions, Finished: r.Finished, Failed: r.Failed, JobsFailed: r.JobsFailed,
		Unfinished: r.Unfinished, Overcommitted: r.Overcommitted, DuplicateStarts: r.DuplicateStarts,
	}
	out.Waits = waitTimes(r.Waits)
	for _, w := range out.Waits {
		out.MaxP99 = max(out.MaxP99, w.P99)
	}
	out.UrgentP99 = urgentP99(r.Waits)
	out.Packing = packing(r.Samples)
	out.MeanDeviation, out.MaxDeviation, out.Windows = shareDeviation(r)
	if r.Starts > 0 {
		out.MicrosPerStart = float64(r.DecisionTime.Nanoseconds()) / 1000 / float64(r.Starts)
		out.BytesPerStart = float64(r.AllocatedBytes) / float64(r.Starts)
	}
	return out
}

type class struct {
	workspace string
	urgency   pj.Urgency
}

func waitTimes(all []engine.Wait) []WaitTimes {
	byClass := make(map[class][]time.Duration)
	for _, w := range all {
		c := class{workspace: w.Workspace, urgency: w.Urgency}
		byClass[c] = append(byClass[c], w.Waited)
	}
	var list []WaitTimes
	for c, durations := range byClass {
		list = append(list, WaitTimes{
			Workspace: c.workspace, Urgency: c.urgency.String(), Count: len(durations),
			P50: Quantile(durations, 0.5), P99: Quantile(durations, 0.99), P999: Quantile(durations, 0.999),
		})
	}
	slices.SortFunc(list, func(a, b WaitTimes) int {
		if a.Workspace != b.Workspace {
			return compare(a.Workspace, b.Workspace)
		}
		return compare(a.Urgency, b.Urgency)
	})
	return list
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func urgentP99(all []engine.Wait) float64 {
	var durations []time.Duration
	for _, w := range all {
		if w.Urgency == pj.Urgent {
			durations = append(durations, w.Waited)
		}
	}
	return Quantile(durations, 0.99)
}

// Quantile returns a quantile of durations in milliseconds. It sorts durations in place.
func Quantile(durations []time.Duration, q float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	i := int(math.Ceil(q*float64(len(durations)))) - 1
	return float64(durations[max(i, 0)].Microseconds()) / 1000
}

// packing returns the mean reserved fraction of the scarcest resource over the samples in which tasks wait.
func packing(samples []engine.Sample) float64 {
	sum, n := 0.0, 0
	for _, s := range samples {
		if s.Waiting {
			sum += s.Reserved.DominantShare(s.Capacity)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// shareDeviation compares each backlogged workspace's usage of the fleet with its weighted fair share of the usage by all of them
// together, over every window in which at least two workspaces were backlogged throughout.
func shareDeviation(r engine.Result) (mean, maximum float64, windows int) {
	length := int(Window / time.Second)
	sum, n := 0.0, 0
	for from := 0; from+length <= len(r.Samples); from += length / 4 {
		window := r.Samples[from : from+length]
		names := constantBacklog(window)
		if len(names) < 2 {
			continue
		}
		windows++
		for _, d := range windowDeviations(r.Shares, window, names) {
			maximum = max(maximum, d)
			sum += d
			n++
		}
	}
	if n > 0 {
		mean = sum / float64(n)
	}
	return mean, maximum, windows
}

// constantBacklog returns the workspaces that are backlogged in all samples of a window.
func constantBacklog(window []engine.Sample) []string {
	counts := make(map[string]int)
	for _, s := range window {
		for name, backlogged := range s.Backlog {
			if backlogged {
				counts[name]++
			}
		}
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] == len(window) {
			names = append(names, name)
		}
	}
	return names
}

// windowDeviations returns, for each name, by how much its mean dominant share differs from its weighted fair share of the sum.
func windowDeviations(shares map[string]float64, window []engine.Sample, names []string) []float64 {
	used := make([]float64, len(names))
	total, weights := 0.0, 0.0
	for i, name := range names {
		for _, s := range window {
			used[i] += s.Usage[name].DominantShare(s.Capacity) / float64(len(window))
		}
		total += used[i]
		weights += shares[name]
	}
	out := make([]float64, len(names))
	for i, name := range names {
		out[i] = math.Abs(used[i] - total*shares[name]/weights)
	}
	return out
}
