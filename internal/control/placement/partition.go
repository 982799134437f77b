package placement

import (
	"math/bits"

	pj "papayajunction"
)

// millicoresPerBucket is the width of a bucket in thousandths of a core.
const millicoresPerBucket = 500

// bucketCount is the number of buckets. Workers with more free cores share the last one.
const bucketCount = 1024

// partition is a set of workers in buckets by free cores, with a bitmap of the non-empty buckets.
type partition struct {
	entryIndex int // index into worker.entries
	buckets    [bucketCount][]*worker
	nonEmpty   [bucketCount / 64]uint64
}

func bucketOf(free pj.Resources) int {
	return int(min(max(free[pj.Cores], 0)/millicoresPerBucket, bucketCount-1))
}

func (p *partition) insert(w *worker, bucket int) {
	entry := bucketEntry{present: true, bucket: bucket, position: len(p.buckets[bucket])}
	w.entries[p.entryIndex] = entry
	p.buckets[bucket] = append(p.buckets[bucket], w)
	p.nonEmpty[bucket/64] |= 1 << (bucket % 64)
}

func (p *partition) remove(w *worker) {
	entry := w.entries[p.entryIndex]
	if !entry.present {
		return
	}
	b := p.buckets[entry.bucket]
	last := len(b) - 1
	b[entry.position] = b[last]
	b[entry.position].entries[p.entryIndex].position = entry.position
	b[last] = nil
	p.buckets[entry.bucket] = b[:last]
	if last == 0 {
		p.nonEmpty[entry.bucket/64] &^= 1 << (entry.bucket % 64)
	}
	w.entries[p.entryIndex] = bucketEntry{}
}

// update moves a worker to the bucket for its free resources, or removes it if it is no member of the
// partition.
func (p *partition) update(w *worker, member bool, free pj.Resources) {
	entry := w.entries[p.entryIndex]
	bucket := bucketOf(free)
	if member && entry.present && entry.bucket == bucket {
		return
	}
	p.remove(w)
	if member {
		p.insert(w, bucket)
	}
}

// nextNonEmpty returns the first non-empty bucket at or after from, or -1.
func (p *partition) nextNonEmpty(from int) int {
	for word := from / 64; word < len(p.nonEmpty); word++ {
		set := p.nonEmpty[word]
		if word == from/64 {
			set &= ^uint64(0) << (from % 64)
		}
		if set != 0 {
			return word*64 + bits.TrailingZeros64(set)
		}
	}
	return -1
}

// lastNonEmpty returns the last non-empty bucket at or before from, or -1.
func (p *partition) lastNonEmpty(from int) int {
	for word := from / 64; from >= 0 && word >= 0; word-- {
		set := p.nonEmpty[word]
		if word == from/64 {
			set &= ^uint64(0) >> (63 - from%64)
		}
		if set != 0 {
			return word*64 + 63 - bits.LeadingZeros64(set)
		}
	}
	return -1
}

func (p *partition) bestFit(x *Index, request pj.PlacementRequest) *worker {
	for b := p.nextNonEmpty(bucketOf(request.Amount)); b >= 0 && b < bucketCount; b = p.nextNonEmptyAfter(b) {
		for _, w := range p.buckets[b] {
			if x.fits(w, request) {
				return w
			}
		}
	}
	return nil
}

func (p *partition) nextNonEmptyAfter(b int) int {
	if b+1 >= bucketCount {
		return -1
	}
	return p.nextNonEmpty(b + 1)
}
