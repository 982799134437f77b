package papayajunction_test

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
)

// TestWorkerCheck: an announcement that another program wrote, with fields that no worker has, is refused. Such a
// worker would be polled for ever, or its capacity would make sums over the fleet overflow.
func TestWorkerCheck(t *testing.T) {
	tests := map[string]struct {
		change func(w *pj.PolledWorker)
		valid  bool
	}{
		"valid":                         {change: func(*pj.PolledWorker) {}, valid: true},
		"IPv6":                          {change: func(w *pj.PolledWorker) { w.Address = "[fd00::9]:80" }, valid: true},
		"without a start time":          {change: func(w *pj.PolledWorker) { w.Incarnation = 0 }, valid: true},
		"no id":                         {change: func(w *pj.PolledWorker) { w.ID = "" }},
		"id that splits a header":       {change: func(w *pj.PolledWorker) { w.ID = "i-1\r\nX: y" }},
		"id too long":                   {change: func(w *pj.PolledWorker) { w.ID = strings.Repeat("i", 1000) }},
		"no pool":                       {change: func(w *pj.PolledWorker) { w.Pool = "" }},
		"no zone":                       {change: func(w *pj.PolledWorker) { w.Zone = "" }},
		"no address":                    {change: func(w *pj.PolledWorker) { w.Address = "" }},
		"port out of range":             {change: func(w *pj.PolledWorker) { w.Address = "10.0.0.9:99999" }},
		"negative port":                 {change: func(w *pj.PolledWorker) { w.Address = "10.0.0.9:-1" }},
		"port 0":                        {change: func(w *pj.PolledWorker) { w.Address = "10.0.0.9:0" }},
		"no port":                       {change: func(w *pj.PolledWorker) { w.Address = "10.0.0.9" }},
		"path in the address":           {change: func(w *pj.PolledWorker) { w.Address = "10.0.0.9:80/x" }},
		"open bracket":                  {change: func(w *pj.PolledWorker) { w.Address = "[::1" }},
		"every address of this machine": {change: func(w *pj.PolledWorker) { w.Address = "0.0.0.0:80" }},
		"multicast address":             {change: func(w *pj.PolledWorker) { w.Address = "224.0.0.1:80" }},
		"start time below 0":            {change: func(w *pj.PolledWorker) { w.Incarnation = -1 }},
		"largest start time":            {change: func(w *pj.PolledWorker) { w.Incarnation = math.MaxInt64 }},
		"largest sequence":              {change: func(w *pj.PolledWorker) { w.Sequence = math.MaxInt64 }},
		"sequence below 0":              {change: func(w *pj.PolledWorker) { w.Sequence = -1 }},
		"remaining time below 0":        {change: func(w *pj.PolledWorker) { w.RemainingMS = -1 }},
		"largest capacity":              {change: func(w *pj.PolledWorker) { w.Capacity[pj.Cores] = math.MaxInt64 }},
		"capacity below 0":              {change: func(w *pj.PolledWorker) { w.Capacity[pj.Memory] = math.MinInt64 }},
		"no capacity":                   {change: func(w *pj.PolledWorker) { w.Capacity = pj.Resources{} }},
		"too many labels":               {change: func(w *pj.PolledWorker) { w.Labels = make([]string, 1000) }},
		"label too long":                {change: func(w *pj.PolledWorker) { w.Labels = []string{strings.Repeat("l", 1000)} }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := pj.PolledWorker{
				ID: "i-1", Incarnation: 99, Sequence: 4, Pool: "s1", Address: "10.0.0.9:80", Zone: "z", Labels: []string{"a", "r1"},
				Capacity: pj.Resources{pj.Cores: 16000, pj.Memory: 32768},
			}
			tc.change(&w)
			err := w.Check()
			is.Equal(err == nil, tc.valid)
			if err != nil {
				is.Equal(pj.AsError(err).Code, pj.CodeBadRequest)
			}
		})
	}
}

// TestWorkerSameAs: labels are compared one by one, not as one text.
func TestWorkerSameAs(t *testing.T) {
	is := is.New(t)
	a, b := pj.PolledWorker{ID: "i", Labels: []string{"a b"}}, pj.PolledWorker{ID: "i", Labels: []string{"a", "b"}}
	is.True(!a.SameAs(&b))
	b.Labels = []string{"a b"}
	b.Sequence, b.RemainingMS = 7, 100
	is.True(a.SameAs(&b))
	b.Draining = true
	is.True(!a.SameAs(&b))
}

// TestWorkflowCheck: work whose state doesn't fit into a replica's memory, or whose numbers overflow, is refused at once. A
// workflow of 64 steps of 4,096 tasks that runs 10,000 times would end every replica that applies it.
func TestWorkflowCheck(t *testing.T) {
	step := pj.Step{Tasks: 1, Task: pj.Resources{pj.Cores: 1}}
	wide := pj.Step{Tasks: pj.MaxStepTasks}
	tests := map[string]struct {
		workflow pj.Workflow
		code     pj.Code // empty if the workflow is valid
	}{
		"valid":                     {workflow: pj.Workflow{Steps: []pj.Step{step}}},
		"as many tasks as allowed":  {workflow: pj.Workflow{Steps: []pj.Step{wide}, ScheduledOccurrences: pj.MaxTasks / pj.MaxStepTasks}},
		"too many tasks":            {workflow: pj.Workflow{Steps: []pj.Step{wide}, ScheduledOccurrences: pj.MaxTasks/pj.MaxStepTasks + 1}, code: pj.CodeTooLarge},
		"too many in all":           {workflow: pj.Workflow{Steps: []pj.Step{wide, wide}, ScheduledOccurrences: pj.MaxOccurrences}, code: pj.CodeTooLarge},
		"no step":                   {code: pj.CodeBadRequest},
		"largest amount":            {workflow: pj.Workflow{Steps: []pj.Step{{Tasks: 1, Task: pj.Resources{pj.Memory: math.MaxInt64}}}}, code: pj.CodeBadRequest},
		"largest estimate":          {workflow: pj.Workflow{Steps: []pj.Step{{Tasks: 1, EstimateMS: math.MaxInt64}}}, code: pj.CodeBadRequest},
		"estimate below 0":          {workflow: pj.Workflow{Steps: []pj.Step{{Tasks: 1, EstimateMS: -1}}}, code: pj.CodeBadRequest},
		"largest interval":          {workflow: pj.Workflow{Steps: []pj.Step{step}, ScheduledOccurrences: 2, IntervalMS: math.MaxInt64}, code: pj.CodeBadRequest},
		"largest start time":        {workflow: pj.Workflow{Steps: []pj.Step{step}, ScheduledOccurrences: 1, StartAtMS: math.MaxInt64}, code: pj.CodeBadRequest},
		"one dependency many times": {workflow: pj.Workflow{Steps: []pj.Step{step, {Tasks: 1, DependsOn: []int{0, 0}}}}, code: pj.CodeBadRequest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := tc.workflow.Check()
			is.Equal(err == nil, tc.code == "")
			if err != nil {
				is.Equal(pj.AsError(err).Code, tc.code)
			}
		})
	}
}
