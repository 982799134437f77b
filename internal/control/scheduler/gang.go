package scheduler

import (
	"time"

	pj "papayajunction"
)

// startGang starts all pending tasks of a gang or none, in one rack if they fit there.
func (s *Scheduler) startGang(now time.Duration, e *entry, plan *pj.Plan) bool {
	r := e.reservation
	s.releaseHolds(r)
	workers, ok := s.placeGang(e)
	if !ok {
		s.placeHolds(r)
		return false
	}
	s.removeReservation(r)
	for _, worker := range workers {
		s.start(now, e, worker, plan)
	}
	return true
}

// placeGang returns a worker for each pending task, or false if not all fit at once.
func (s *Scheduler) placeGang(e *entry) ([]string, bool) {
	shape := s.shape(e)
	shape.Kind = pj.KindGang
	best := ""
	bestCount := 0
	s.index.EachRack(func(rack string, workers []string) {
		fitCount := 0
		for _, w := range workers {
			if s.index.Usable(w) {
				fitCount += shape.Amount.FitCount(s.index.Free(w))
			}
		}
		if fitCount >= len(e.pending) && (best == "" || fitCount < bestCount) {
			best, bestCount = rack, fitCount
		}
	})
	if best != "" {
		shape.Rack = best
		if workers, ok := s.placeAll(shape, len(e.pending)); ok {
			return workers, true
		}
	}
	shape.Rack = ""
	return s.placeAll(shape, len(e.pending))
}

// placeAll returns workers for n equal tasks and leaves the index unchanged.
func (s *Scheduler) placeAll(shape pj.PlacementRequest, n int) ([]string, bool) {
	workers := make([]string, 0, n)
	for len(workers) < n {
		w, ok := s.index.Place(shape)
		if !ok {
			break
		}
		s.index.Reserve(w, shape.Amount)
		workers = append(workers, w)
	}
	for _, w := range workers {
		s.index.Release(w, shape.Amount)
	}
	return workers, len(workers) == n
}
