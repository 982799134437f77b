// Package placement chooses workers for tasks by class and keeps account of their free resources.
//
// Workers stand in buckets by free cores, so that the tightest fit is found without a scan of the
// fleet. Workers with accelerators form a partition of their own.
package placement

import (
	pj "papayajunction"
)

// acceleratorPart is the part of a worker's cores and memory that is kept for its free
// accelerators from tasks that need none: 1/acceleratorPart.
const acceleratorPart = 2

// Index holds the workers of one cell. Use New.
type Index struct {
	workers map[string]*worker
	racks   map[string]*rack
	order   []*rack
	cursor  int
	plain   partition // workers without accelerators, by free cores
	special partition // workers with free accelerators, by free cores
	shared  partition // workers with accelerators, by the cores that other tasks may use

	capacity pj.Resources // of the usable workers
	free     pj.Resources // of the usable workers, neither reserved nor held
}

// counted is what a worker adds to the sums of the index.
type counted struct {
	capacity, free pj.Resources
}

type worker struct {
	name     string
	rack     *rack
	capacity pj.Resources
	reserved pj.Resources
	held     pj.Resources // kept free for a reservation
	usable   bool
	counted  counted
	free     pj.Resources // neither reserved nor held
	open     pj.Resources // what tasks without accelerators may use
	places   [2]place     // in plain or special, and in shared
}

// place is a worker's place in one partition.
type place struct {
	in       bool
	bucket   int
	position int
}

// Positions in worker.places.
const (
	ownPlace = iota
	sharedPlace
)

type rack struct {
	name    string
	workers []*worker
}

var _ pj.Placer = (*Index)(nil)

// New returns an empty index.
func New() *Index {
	return &Index{
		workers: make(map[string]*worker), racks: make(map[string]*rack), shared: partition{which: sharedPlace},
	}
}

// recompute brings what is free on a worker up to date.
func (w *worker) recompute() {
	w.free = w.capacity.Sub(w.reserved).Sub(w.held)
	w.open = w.free
	if w.capacity[pj.Accelerators] == 0 {
		return
	}
	for _, d := range []pj.Dimension{pj.Cores, pj.Memory} {
		perDevice := w.capacity[d] / (acceleratorPart * w.capacity[pj.Accelerators])
		w.open[d] -= perDevice * max(w.free[pj.Accelerators], 0)
	}
}

// takeOut removes a worker from all partitions.
func (x *Index) takeOut(w *worker) {
	if w.capacity[pj.Accelerators] == 0 {
		x.plain.remove(w)
		return
	}
	x.special.remove(w)
	x.shared.remove(w)
}

// count brings the sums of the index up to date with a worker.
func (x *Index) count(w *worker, now counted) {
	x.capacity = x.capacity.Sub(w.counted.capacity).Add(now.capacity)
	x.free = x.free.Sub(w.counted.free).Add(now.free)
	w.counted = now
}

// Spare reports whether, after taking the amount, at least one part in parts of the usable
// capacity would be free in each dimension that the amount uses.
func (x *Index) Spare(amount pj.Resources, parts int64) bool {
	for d := range amount {
		if amount[d] > 0 && x.free[d]-amount[d] < x.capacity[d]/parts {
			return false
		}
	}
	return true
}

func (x *Index) refresh(w *worker) {
	w.recompute()
	if w.usable {
		x.count(w, counted{capacity: w.capacity, free: w.free})
	} else {
		x.count(w, counted{})
	}
	if w.capacity[pj.Accelerators] == 0 {
		x.plain.put(w, w.usable, w.free)
		return
	}
	x.special.put(w, w.usable && w.free[pj.Accelerators] > 0, w.free)
	x.shared.put(w, w.usable, w.open)
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
		x.takeOut(w)
		w.rack.drop(w)
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
		x.order = append(x.order, r)
	}
	return r
}

func (r *rack) add(w *worker) {
	r.workers = append(r.workers, w)
	w.rack = r
}

func (r *rack) drop(w *worker) {
	for i, other := range r.workers {
		if other == w {
			r.workers = append(r.workers[:i], r.workers[i+1:]...)
			return
		}
	}
}

// SetUsable says whether new tasks may be placed on a worker.
func (x *Index) SetUsable(name string, usable bool) {
	if w := x.workers[name]; w != nil {
		w.usable = usable
		x.refresh(w)
	}
}

// Remove forgets a worker and what is reserved on it.
func (x *Index) Remove(name string) {
	w := x.workers[name]
	if w == nil {
		return
	}
	x.takeOut(w)
	x.count(w, counted{})
	w.rack.drop(w)
	delete(x.workers, name)
}

// Reserve takes an amount of a worker's free resources.
func (x *Index) Reserve(name string, amount pj.Resources) {
	if w := x.workers[name]; w != nil {
		w.reserved = w.reserved.Add(amount)
		x.refresh(w)
	}
}

// Release gives a reserved amount back.
func (x *Index) Release(name string, amount pj.Resources) {
	x.Reserve(name, pj.Resources{}.Sub(amount))
}

// Hold keeps an amount of a worker from everyone but the owner of the reservation.
func (x *Index) Hold(name string, amount pj.Resources) {
	if w := x.workers[name]; w != nil {
		w.held = w.held.Add(amount)
		x.refresh(w)
	}
}

// Unhold ends a Hold.
func (x *Index) Unhold(name string, amount pj.Resources) {
	x.Hold(name, pj.Resources{}.Sub(amount))
}

// Count returns the number of workers.
func (x *Index) Count() int {
	return len(x.workers)
}

// Free returns what is neither reserved nor held on a worker.
func (x *Index) Free(name string) pj.Resources {
	if w := x.workers[name]; w != nil {
		return w.free
	}
	return pj.Resources{}
}

// Unreserved returns what is not reserved on a worker, held or not.
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

// Reserved returns what is reserved on a worker.
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

// Each calls visit for every worker until it returns false.
func (x *Index) Each(visit func(name, rack string, usable bool) bool) {
	for _, r := range x.order {
		for _, w := range r.workers {
			if !visit(w.name, r.name, w.usable) {
				return
			}
		}
	}
}

// EachFrom is like Each, but begins with the rack at place start and goes round.
func (x *Index) EachFrom(start int, visit func(name, rack string, usable bool) bool) {
	for i := range x.order {
		r := x.order[(start+i)%len(x.order)]
		for _, w := range r.workers {
			if !visit(w.name, r.name, w.usable) {
				return
			}
		}
	}
}

// Racks calls visit with the workers of each rack.
func (x *Index) Racks(visit func(rack string, workers []string)) {
	for _, r := range x.order {
		names := make([]string, len(r.workers))
		for i, w := range r.workers {
			names[i] = w.name
		}
		visit(r.name, names)
	}
}

// Place returns a worker for the shape, chosen by class, without reserving anything.
func (x *Index) Place(shape pj.Shape) (string, bool) {
	var w *worker
	if shape.Kind == pj.KindService {
		w = x.spread(shape)
	} else {
		w = x.tightest(shape)
	}
	if w == nil {
		return "", false
	}
	return w.name, true
}

// Roomiest returns the worker with most free cores, held by nobody, that could hold the shape if it
// were empty.
func (x *Index) Roomiest(shape pj.Shape) (string, bool) {
	p := &x.plain
	if shape.Amount[pj.Accelerators] > 0 {
		p = &x.special
	}
	for b := p.last(bucketCount - 1); b >= 0; b = p.last(b - 1) {
		for _, w := range p.buckets[b] {
			_, avoided := shape.Avoid[w.name]
			if w.held.IsZero() && !avoided && shape.Amount.Fits(w.capacity) {
				return w.name, true
			}
		}
	}
	return "", false
}

// tightest returns the worker with the fewest free cores on which the shape fits.
func (x *Index) tightest(shape pj.Shape) *worker {
	if shape.Rack != "" {
		return x.tightestInRack(shape)
	}
	if shape.Amount[pj.Accelerators] > 0 {
		return x.special.tightest(x, shape)
	}
	if w := x.plain.tightest(x, shape); w != nil {
		return w
	}
	return x.shared.tightest(x, shape)
}

func (x *Index) tightestInRack(shape pj.Shape) *worker {
	r := x.racks[shape.Rack]
	if r == nil {
		return nil
	}
	var best *worker
	for _, w := range r.workers {
		if !x.fits(w, shape) {
			continue
		}
		if best == nil || w.free[pj.Cores] < best.free[pj.Cores] {
			best = w
		}
	}
	return best
}

// availableTo returns what the shape may use of a worker.
func (w *worker) availableTo(shape pj.Shape) pj.Resources {
	if shape.Amount[pj.Accelerators] > 0 {
		return w.free
	}
	return w.open
}

func (x *Index) fits(w *worker, shape pj.Shape) bool {
	if !w.usable || !shape.Amount.Fits(w.availableTo(shape)) {
		return false
	}
	_, avoided := shape.Avoid[w.name]
	return !avoided
}

// spread returns a worker in a rack that holds the fewest tasks of the job, in turn.
func (x *Index) spread(shape pj.Shape) *worker {
	var best *worker
	bestCount := -1
	for i := range x.order {
		r := x.order[(x.cursor+i)%len(x.order)]
		count := shape.Spread[r.name]
		if bestCount >= 0 && count >= bestCount {
			continue
		}
		if shape.Rack != "" && r.name != shape.Rack {
			continue
		}
		if w := x.emptiestInRack(r, shape); w != nil {
			best, bestCount = w, count
		}
		if bestCount == 0 {
			break
		}
	}
	if len(x.order) > 0 {
		x.cursor = (x.cursor + 1) % len(x.order)
	}
	return best
}

func (x *Index) emptiestInRack(r *rack, shape pj.Shape) *worker {
	var best *worker
	for _, w := range r.workers {
		if !x.fits(w, shape) {
			continue
		}
		if best == nil || w.free[pj.Cores] > best.free[pj.Cores] {
			best = w
		}
	}
	return best
}
