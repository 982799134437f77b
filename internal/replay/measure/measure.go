// Package measure turns the result of a replay into the figures by which policies are compared.
package measure

import (
	"maps"
	"math"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/replay/engine"
)

// Window is the span over which nearness to share is taken.
const Window = 60 * time.Second

// Waits are the waiting times of one class of tasks, in milliseconds.
type Waits struct {
	Workspace string  `json:"workspace"`
	Urgency   string  `json:"urgency"`
	Count     int     `json:"count"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
}

// Report holds the figures of one policy on one trace.
type Report struct {
	Policy           string  `json:"policy"`
	Waits            []Waits `json:"waits"`
	Packing          float64 `json:"packing"`          // mean reserved part of the scarcest resource while work waits
	DeviationMean    float64 `json:"deviation_mean"`   // from the weighted share, as part of the fleet
	DeviationMost    float64 `json:"deviation_most"`   // greatest, over any window with a constant backlog
	Windows          int     `json:"windows"`          // windows that count for the deviation
	Starts           int     `json:"starts"`           // decisions
	Preempts         int     `json:"preempts"`         //
	Finished         int     `json:"finished"`         // tasks
	Failed           int     `json:"failed"`           // tasks that ended by a failure
	JobsFailed       int     `json:"jobs_failed"`      //
	Unfinished       int     `json:"unfinished"`       // tasks
	Overcommitted    int     `json:"overcommitted"`    // samples
	Doubled          int     `json:"doubled"`          // starts
	MicrosPerStart   float64 `json:"micros_per_start"` // processor time of all decisions by starts
	BytesPerDecision float64 `json:"bytes_per_start"`  // allocated by the whole replay, by starts
	UrgentP99        float64 `json:"urgent_p99_ms"`    // over all workspaces
	LargestP99       float64 `json:"largest_p99_ms"`   // of any workspace and class
}

// New returns the figures of a result.
func New(policy string, r engine.Result) Report {
	out := Report{
		Policy: policy, Starts: r.Starts, Preempts: r.Preempts, Finished: r.Finished, Failed: r.Failed, JobsFailed: r.JobsFailed,
		Unfinished: r.Unfinished, Overcommitted: r.Overcommitted, Doubled: r.Doubled,
	}
	out.Waits = waits(r.Waits)
	for _, w := range out.Waits {
		out.LargestP99 = max(out.LargestP99, w.P99)
	}
	out.UrgentP99 = urgent(r.Waits)
	out.Packing = packing(r.Samples)
	out.DeviationMean, out.DeviationMost, out.Windows = deviation(r)
	if r.Starts > 0 {
		out.MicrosPerStart = float64(r.CPU.Nanoseconds()) / 1000 / float64(r.Starts)
		out.BytesPerDecision = float64(r.Bytes) / float64(r.Starts)
	}
	return out
}

type class struct {
	workspace string
	urgency   pj.Urgency
}

func waits(all []engine.Wait) []Waits {
	byClass := make(map[class][]time.Duration)
	for _, w := range all {
		c := class{workspace: w.Workspace, urgency: w.Urgency}
		byClass[c] = append(byClass[c], w.Waited)
	}
	var list []Waits
	for c, spans := range byClass {
		list = append(list, Waits{
			Workspace: c.workspace, Urgency: c.urgency.String(), Count: len(spans),
			P50: Quantile(spans, 0.5), P99: Quantile(spans, 0.99), P999: Quantile(spans, 0.999),
		})
	}
	slices.SortFunc(list, func(a, b Waits) int {
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

func urgent(all []engine.Wait) float64 {
	var spans []time.Duration
	for _, w := range all {
		if w.Urgency == pj.Urgent {
			spans = append(spans, w.Waited)
		}
	}
	return Quantile(spans, 0.99)
}

// Quantile returns a quantile of spans in milliseconds; it sorts them.
func Quantile(spans []time.Duration, q float64) float64 {
	if len(spans) == 0 {
		return 0
	}
	slices.Sort(spans)
	at := int(math.Ceil(q*float64(len(spans)))) - 1
	return float64(spans[max(at, 0)].Microseconds()) / 1000
}

// packing is the mean reserved part of the scarcest resource over the samples in which work waits.
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

// deviation compares what backlogged workspaces had with their weighted part of what all of them
// had together, over every window in which the same workspaces were backlogged throughout.
func deviation(r engine.Result) (mean, most float64, windows int) {
	samples := int(Window / time.Second)
	sum, n := 0.0, 0
	for from := 0; from+samples <= len(r.Samples); from += samples / 4 {
		part := r.Samples[from : from+samples]
		names := constantBacklog(part)
		if len(names) < 2 {
			continue
		}
		windows++
		for _, d := range deviations(r.Shares, part, names) {
			most = max(most, d)
			sum += d
			n++
		}
	}
	if n > 0 {
		mean = sum / float64(n)
	}
	return mean, most, windows
}

// constantBacklog returns the workspaces that are backlogged in all samples, or none if others
// are backlogged in some.
func constantBacklog(part []engine.Sample) []string {
	seen := make(map[string]int)
	for _, s := range part {
		for name, waits := range s.Backlog {
			if waits {
				seen[name]++
			}
		}
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(seen)) {
		if seen[name] == len(part) {
			names = append(names, name)
		}
	}
	return names
}

func deviations(shares map[string]float64, part []engine.Sample, names []string) []float64 {
	got := make([]float64, len(names))
	total, weights := 0.0, 0.0
	for i, name := range names {
		for _, s := range part {
			got[i] += s.Use[name].DominantShare(s.Capacity) / float64(len(part))
		}
		total += got[i]
		weights += shares[name]
	}
	out := make([]float64, len(names))
	for i, name := range names {
		out[i] = math.Abs(got[i] - total*shares[name]/weights)
	}
	return out
}
