package placement

import (
	"math/bits"

	pj "papayajunction"
)

// coresPerBucket is the width of a bucket in thousandths of a core.
const coresPerBucket = 500

// bucketCount bounds the number of buckets; workers with more free cores share the last.
const bucketCount = 1024

// partition is a set of buckets with a bitmap of those that are not empty.
type partition struct {
	which   int // of worker.places
	buckets [bucketCount][]*worker
	filled  [bucketCount / 64]uint64
}

func bucketOf(free pj.Resources) int {
	return int(min(max(free[pj.Cores], 0)/coresPerBucket, bucketCount-1))
}

func (p *partition) insert(w *worker, bucket int) {
	at := place{in: true, bucket: bucket, position: len(p.buckets[bucket])}
	w.places[p.which] = at
	p.buckets[bucket] = append(p.buckets[bucket], w)
	p.filled[bucket/64] |= 1 << (bucket % 64)
}

func (p *partition) remove(w *worker) {
	at := w.places[p.which]
	if !at.in {
		return
	}
	b := p.buckets[at.bucket]
	last := len(b) - 1
	b[at.position] = b[last]
	b[at.position].places[p.which].position = at.position
	b[last] = nil
	p.buckets[at.bucket] = b[:last]
	if last == 0 {
		p.filled[at.bucket/64] &^= 1 << (at.bucket % 64)
	}
	w.places[p.which] = place{}
}

// put makes a worker stand in the bucket for the free amount, or in none.
func (p *partition) put(w *worker, there bool, free pj.Resources) {
	at := w.places[p.which]
	bucket := bucketOf(free)
	if there && at.in && at.bucket == bucket {
		return
	}
	p.remove(w)
	if there {
		p.insert(w, bucket)
	}
}

// next returns the first bucket from on that is not empty, or -1.
func (p *partition) next(from int) int {
	for word := from / 64; word < len(p.filled); word++ {
		set := p.filled[word]
		if word == from/64 {
			set &= ^uint64(0) << (from % 64)
		}
		if set != 0 {
			return word*64 + bits.TrailingZeros64(set)
		}
	}
	return -1
}

// last returns the last bucket up to and including from that is not empty, or -1.
func (p *partition) last(from int) int {
	for word := from / 64; from >= 0 && word >= 0; word-- {
		set := p.filled[word]
		if word == from/64 {
			set &= ^uint64(0) >> (63 - from%64)
		}
		if set != 0 {
			return word*64 + 63 - bits.LeadingZeros64(set)
		}
	}
	return -1
}

func (p *partition) tightest(x *Index, shape pj.Shape) *worker {
	for b := p.next(bucketOf(shape.Amount)); b >= 0 && b < bucketCount; b = p.nextAfter(b) {
		for _, w := range p.buckets[b] {
			if x.fits(w, shape) {
				return w
			}
		}
	}
	return nil
}

func (p *partition) nextAfter(b int) int {
	if b+1 >= bucketCount {
		return -1
	}
	return p.next(b + 1)
}
