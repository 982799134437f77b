// Package placement chooses workers for tasks according to the task's class, and tracks the workers'
// free resources.
//
// Workers are kept in buckets by free cores, so that the best fit is found without a scan of the
// fleet. Workers with accelerators have their own partitions.
package placement

import (
	pj "papayajunction"
)

// acceleratorReserveDivisor sets the part of a worker's cores and memory that tasks without
// accelerators must leave free for its free accelerators: 1/acceleratorReserveDivisor when all are
// free, in proportion when fewer are.
const acceleratorReserveDivisor = 2

// Index holds the workers of one cell. Create it with New.
type Index struct {
	workers      map[string]*worker
	racks        map[string]*rack
	rackOrder    []*rack
	spreadCursor int
	cpuOnly      partition // workers without accelerators, by free cores
	accelerated  partition // workers with free accelerators, by free cores
	shared       partition // workers with accelerators, by the cores that other tasks may use

	capacity pj.Resources // sum over the usable workers
	free     pj.Resources // sum over the usable workers, neither reserved nor held
}

// contribution is a worker's part of the totals of the index.
type contribution struct {
	capacity, free pj.Resources
}

type worker struct {
	name         string
	rack         *rack
	capacity     pj.Resources
	reserved     pj.Resources
	held         pj.Resources // set aside for owners of reservations, see Hold
	usable       bool
	contribution contribution
	free         pj.Resources   // neither reserved nor held
	cpuOnlyFree  pj.Resources   // free resources that tasks without accelerators may use
	entries      [2]bucketEntry // indexed by ownPartition and sharedPartition
}

// bucketEntry is a worker's position in one partition.
type bucketEntry struct {
	present  bool
	bucket   int
	position int
}

// Indexes of worker.entries.
const (
	ownPartition = iota // cpuOnly or accelerated
	sharedPartition
)

type rack struct {
	name    string
	workers []*worker
}

var _ pj.Placer = (*Index)(nil)

// New returns an empty index.
func New() *Index {
	return &Index{
		workers: make(map[string]*worker), racks: make(map[string]*rack), shared: partition{entryIndex: sharedPartition},
	}
}

// updateFree recomputes the free resources of a worker.
func (w *worker) updateFree() {
	w.free = w.capacity.Sub(w.reserved).Sub(w.held)
	w.cpuOnlyFree = w.free
	if w.capacity[pj.Accelerators] == 0 {
		return
	}
	for _, d := range []pj.Dimension{pj.Cores, pj.Memory} {
		perDevice := w.capacity[d] / (acceleratorReserveDivisor * w.capacity[pj.Accelerators])
		w.cpuOnlyFree[d] -= perDevice * max(w.free[pj.Accelerators], 0)
	}
}

// removeFromPartitions removes a worker from all partitions.
func (x *Index) removeFromPartitions(w *worker) {
	if w.capacity[pj.Accelerators] == 0 {
		x.cpuOnly.remove(w)
		return
	}
	x.accelerated.remove(w)
	x.shared.remove(w)
}

// updateTotals replaces a worker's contribution to the totals of the index.
func (x *Index) updateTotals(w *worker, updated contribution) {
	x.capacity = x.capacity.Sub(w.contribution.capacity).Add(updated.capacity)
	x.free = x.free.Sub(w.contribution.free).Add(updated.free)
	w.contribution = updated
}

// HasHeadroom reports whether at least 1/divisor of the usable capacity would remain free after amount is
// reserved, in each dimension that amount uses.
func (x *Index) HasHeadroom(amount pj.Resources, divisor int64) bool {
	for d := range amount {
		if amount[d] > 0 && x.free[d]-amount[d] < x.capacity[d]/divisor {
			return false
		}
	}
	return true
}

func (x *Index) refresh(w *worker) {
	w.updateFree()
	if w.usable {
		x.updateTotals(w, contribution{capacity: w.capacity, free: w.free})
	} else {
		x.updateTotals(w, contribution{})
	}
	if w.capacity[pj.Accelerators] == 0 {
		x.cpuOnly.update(w, w.usable, w.free)
		return
	}
	x.accelerated.update(w, w.usable && w.free[pj.Accelerators] > 0, w.free)
	x.shared.update(w, w.usable, w.cpuOnlyFree)
}

// Set adds a worker or changes its capacity and rack, and reports whether anything changed.
func (x *Index) Set(name, rackName string, capacity pj.Resources) bool {
	w := x.workers[name]
	if w != nil && w.capacity == capacity && w.rack.name == rackName {
		return false
	}
	if w == nil {
		w = &worker{name: name, usable: true}
		x.workers[name] = w
	} else {
		x.removeFromPartitions(w)
		w.rack.remove(w)
	}
	w.capacity = capacity
	x.rack(rackName).add(w)
	x.refresh(w)
	return true
}

func (x *Index) rack(name string) *rack {
	r := x.racks[name]
	if r == nil {
		r = &rack{name: name}
		x.racks[name] = r
		x.rackOrder = append(x.rackOrder, r)
	}
	return r
}

func (r *rack) add(w *worker) {
	r.workers = append(r.workers, w)
	w.rack = r
}

func (r *rack) remove(w *worker) {
	for i, other := range r.workers {
		if other == w {
			r.workers = append(r.workers[:i], r.workers[i+1:]...)
			return
		}
	}
}

// SetUsable sets whether new tasks may be placed on a worker.
func (x *Index) SetUsable(name string, usable bool) {
	if w := x.workers[name]; w != nil {
		w.usable = usable
		x.refresh(w)
	}
}

// Remove removes a worker and its reservations.
func (x *Index) Remove(name string) {
	w := x.workers[name]
	if w == nil {
		return
	}
	x.removeFromPartitions(w)
	x.updateTotals(w, contribution{})
	w.rack.remove(w)
	delete(x.workers, name)
}

// Reserve reserves an amount of a worker's resources.
func (x *Index) Reserve(name string, amount pj.Resources) {
	if w := x.workers[name]; w != nil {
		w.reserved = w.reserved.Add(amount)
		x.refresh(w)
	}
}

// Release releases a reserved amount.
func (x *Index) Release(name string, amount pj.Resources) {
	x.Reserve(name, pj.Resources{}.Sub(amount))
}

// Hold sets an amount of a worker's resources aside for the owner of a reservation; no other task may
// use it.
func (x *Index) Hold(name string, amount pj.Resources) {
	if w := x.workers[name]; w != nil {
		w.held = w.held.Add(amount)
		x.refresh(w)
	}
}

// ReleaseHold reverses Hold.
func (x *Index) ReleaseHold(name string, amount pj.Resources) {
	x.Hold(name, pj.Resources{}.Sub(amount))
}

// Count returns the number of workers.
func (x *Index) Count() int {
	return len(x.workers)
}

// Free returns the resources of a worker that are neither reserved nor held.
func (x *Index) Free(name string) pj.Resources {
	if w := x.workers[name]; w != nil {
		return w.free
	}
	return pj.Resources{}
}

// Unreserved returns the resources of a worker that are not reserved, including held ones.
func (x *Index) Unreserved(name string) pj.Resources {
	if w := x.workers[name]; w != nil {
		return w.capacity.Sub(w.reserved)
	}
	return pj.Resources{}
}

// Usable reports whether new tasks may be placed on the worker.
func (x *Index) Usable(name string) bool {
	w := x.workers[name]
	return w != nil && w.usable
}

// Reserved returns the reserved resources of a worker.
func (x *Index) Reserved(name string) pj.Resources {
	if w := x.workers[name]; w != nil {
		return w.reserved
	}
	return pj.Resources{}
}

// Capacity returns the capacity of a worker.
func (x *Index) Capacity(name string) pj.Resources {
	if w := x.workers[name]; w != nil {
		return w.capacity
	}
	return pj.Resources{}
}

// Rack returns the rack of a worker.
func (x *Index) Rack(name string) string {
	if w := x.workers[name]; w != nil {
		return w.rack.name
	}
	return ""
}

// Each calls visit for every worker until visit returns false.
func (x *Index) Each(visit func(name, rack string, usable bool) bool) {
	for _, r := range x.rackOrder {
		for _, w := range r.workers {
			if !visit(w.name, r.name, w.usable) {
				return
			}
		}
	}
}

// EachFrom is like Each, but starts with the rack at index start (modulo the number of racks) and wraps
// around.
func (x *Index) EachFrom(start int, visit func(name, rack string, usable bool) bool) {
	for i := range x.rackOrder {
		r := x.rackOrder[(start+i)%len(x.rackOrder)]
		for _, w := range r.workers {
			if !visit(w.name, r.name, w.usable) {
				return
			}
		}
	}
}

// EachRack calls visit with the workers of each rack.
func (x *Index) EachRack(visit func(rack string, workers []string)) {
	for _, r := range x.rackOrder {
		names := make([]string, len(r.workers))
		for i, w := range r.workers {
			names[i] = w.name
		}
		visit(r.name, names)
	}
}

// Place returns a worker for the request: services are spread over racks, other classes use the best
// fit. Place reserves nothing.
func (x *Index) Place(request pj.PlacementRequest) (string, bool) {
	var w *worker
	if request.Kind == pj.KindService {
		w = x.spread(request)
	} else {
		w = x.bestFit(request)
	}
	if w == nil {
		return "", false
	}
	return w.name, true
}

// MostFree returns a worker from the highest bucket of free cores whose capacity fits the request and on
// which nothing is held. The request may not fit until tasks on the worker have ended.
func (x *Index) MostFree(request pj.PlacementRequest) (string, bool) {
	p := &x.cpuOnly
	if request.Amount[pj.Accelerators] > 0 {
		p = &x.accelerated
	}
	for b := p.lastNonEmpty(bucketCount - 1); b >= 0; b = p.lastNonEmpty(b - 1) {
		for _, w := range p.buckets[b] {
			_, excluded := request.Exclude[w.name]
			if w.held.IsZero() && !excluded && request.Amount.Fits(w.capacity) {
				return w.name, true
			}
		}
	}
	return "", false
}

// bestFit returns a worker on which the request fits, with the fewest free cores (to the width of a
// bucket). Workers without accelerators are preferred for requests that need none.
func (x *Index) bestFit(request pj.PlacementRequest) *worker {
	if request.Rack != "" {
		return x.bestFitInRack(request)
	}
	if request.Amount[pj.Accelerators] > 0 {
		return x.accelerated.bestFit(x, request)
	}
	if w := x.cpuOnly.bestFit(x, request); w != nil {
		return w
	}
	return x.shared.bestFit(x, request)
}

func (x *Index) bestFitInRack(request pj.PlacementRequest) *worker {
	r := x.racks[request.Rack]
	if r == nil {
		return nil
	}
	var best *worker
	for _, w := range r.workers {
		if !x.fits(w, request) {
			continue
		}
		if best == nil || w.free[pj.Cores] < best.free[pj.Cores] {
			best = w
		}
	}
	return best
}

// availableTo returns the free resources of a worker that the request may use.
func (w *worker) availableTo(request pj.PlacementRequest) pj.Resources {
	if request.Amount[pj.Accelerators] > 0 {
		return w.free
	}
	return w.cpuOnlyFree
}

func (x *Index) fits(w *worker, request pj.PlacementRequest) bool {
	if !w.usable || !request.Amount.Fits(w.availableTo(request)) {
		return false
	}
	_, excluded := request.Exclude[w.name]
	return !excluded
}

// spread returns the worker with the most free cores on which the request fits, in the rack that runs the
// fewest tasks of the job. Each call starts at the next rack, so that ties rotate between racks.
func (x *Index) spread(request pj.PlacementRequest) *worker {
	var best *worker
	bestCount := -1
	for i := range x.rackOrder {
		r := x.rackOrder[(x.spreadCursor+i)%len(x.rackOrder)]
		count := request.Spread[r.name]
		if bestCount >= 0 && count >= bestCount {
			continue
		}
		if request.Rack != "" && r.name != request.Rack {
			continue
		}
		if w := x.worstFitInRack(r, request); w != nil {
			best, bestCount = w, count
		}
		if bestCount == 0 {
			break
		}
	}
	if len(x.rackOrder) > 0 {
		x.spreadCursor = (x.spreadCursor + 1) % len(x.rackOrder)
	}
	return best
}

func (x *Index) worstFitInRack(r *rack, request pj.PlacementRequest) *worker {
	var best *worker
	for _, w := range r.workers {
		if !x.fits(w, request) {
			continue
		}
		if best == nil || w.free[pj.Cores] > best.free[pj.Cores] {
			best = w
		}
	}
	return best
}
