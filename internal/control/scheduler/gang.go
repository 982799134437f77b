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
	request := s.placementRequest(e)
	request.Kind = pj.KindGang
	best := ""
	bestCount := 0
	s.index.EachRack(func(rack string, workers []string) {
		fitCount := 0
		for _, w := range workers {
			if s.index.Usable(w) {
				fitCount += request.Amount.FitCount(s.index.Free(w))
			}
		}
		if fitCount >= len(e.pending) && (best == "" || fitCount < bestCount) {
			best, bestCount = rack, fitCount
		}
	})
	if best != "" {
		request.Rack = best
		if workers, ok := s.placeAll(request, len(e.pending)); ok {
			return workers, true
		}
	}
	request.Rack = ""
	return s.placeAll(request, len(e.pending))
}

// placeAll returns workers for n equal tasks and leaves the index unchanged.
func (s *Scheduler) placeAll(request pj.PlacementRequest, n int) ([]string, bool) {
	workers := make([]string, 0, n)
	for len(workers) < n {
		w, ok := s.index.Place(request)
		if !ok {
			break
		}
		s.index.Reserve(w, request.Amount)
		workers = append(workers, w)
	}
	for _, w := range workers {
		s.index.Release(w, request.Amount)
	}
	return workers, len(workers) == n
}
