package cell_test

import (
	"encoding/json"
	"fmt"
	"testing"

	pj "papayajunction"
	"papayajunction/internal/control/cell"
)

// BenchmarkSnapshot encodes the state of a cell and reports the size of the snapshot per task.
func BenchmarkSnapshot(b *testing.B) {
	for _, jobs := range []int{500, 2000, 8000} {
		b.Run(fmt.Sprintf("%d tasks", 2*jobs), func(b *testing.B) {
			s := cell.NewState()
			for i := range jobs {
				data, err := json.Marshal(cell.Command{Submit: &pj.Job{
					ID: fmt.Sprintf("thies-atelier.%016x", i), Workspace: "factory-thies", Queue: "actuator-sizing", Kind: pj.KindBatch,
					Repeatable: true, Tasks: 2, Task: pj.NewResources(4, 8, 0, 0), MaxAttempts: 5, Payload: "manifold-7",
				}})
				if err != nil {
					b.Fatal(err)
				}
				s.Apply(uint64(i+1), data)
			}
			size := 0
			b.ResetTimer()
			for range b.N {
				data, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(2*jobs), "B/task")
		})
	}
}
