package boltlog_test

import (
	"fmt"
	"testing"

	pj "papayajunction"
	"papayajunction/internal/storage/boltlog"
)

// BenchmarkGroupCommit stores batches of entries, each in one synced write, and reports the time per entry.
func BenchmarkGroupCommit(b *testing.B) {
	for _, batchSize := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("%d entries", batchSize), func(b *testing.B) {
			s, closeStore, err := boltlog.New(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = closeStore() }()
			nextIndex := uint64(2)
			for range b.N {
				var batch []pj.LogEntry
				for range batchSize {
					batch = append(batch, pj.LogEntry{Index: nextIndex, Term: 1, Data: make([]byte, 300)})
					nextIndex++
				}
				if err := s.Save([]pj.LogWrite{{Group: "g", Entries: batch}}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*batchSize), "us/entry")
		})
	}
}
