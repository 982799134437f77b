package boltlog_test

import (
	"fmt"
	"testing"

	pj "papayajunction"
	"papayajunction/internal/storage/boltlog"
)

// BenchmarkGroupCommit stores entries together in one synced write and reports the time for each.
func BenchmarkGroupCommit(b *testing.B) {
	for _, together := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("%d entries", together), func(b *testing.B) {
			s, closeStore, err := boltlog.New(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = closeStore() }()
			next := uint64(2)
			for range b.N {
				var list []pj.LogEntry
				for range together {
					list = append(list, pj.LogEntry{Index: next, Term: 1, Data: make([]byte, 300)})
					next++
				}
				if err := s.Save([]pj.LogWrite{{Group: "g", Entries: list}}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*together), "us/entry")
		})
	}
}
