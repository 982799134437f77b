package slots_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/fairness"
	"papayajunction/internal/control/slots"
)

// completion is the completion of a request on an endpoint.
type completion struct {
	at      time.Duration
	grant   string
	service time.Duration
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *completionHeap) Push(x any) { *h = append(*h, x.(completion)) }

// Pop implements heap.Interface.
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// stream is a Poisson stream of requests of one queue.
type stream struct {
	queue   pj.Queue
	rate    float64 // requests per second
	service time.Duration
	next    time.Duration
	waits   []time.Duration
	refused int
}

// simulate runs the streams for span on a zone of 16 endpoints with 8 slots each.
func simulate(span time.Duration, streams ...*stream) {
	r := rand.New(rand.NewPCG(1, 1))
	ledger := fairness.New()
	ledger.SetCapacity(pj.Resources{pj.Slots: 128})
	for _, s := range streams {
		ledger.SetWeight(s.queue.Workspace, 1)
		ledger.SetLimit(s.queue.Workspace, pj.Resources{pj.Slots: 128})
	}
	table := slots.New(0, 1, ledger, r)
	now := time.Second
	running := &completionHeap{}
	announce := func() {
		for i := range 16 {
			_, _ = table.Announce(now, pj.EndpointAnnouncement{
				Endpoint: string(rune('a' + i)), Address: "127.0.0.1:1", Queues: []string{"*"}, Slots: 8, TTLMS: 60000,
			})
		}
	}
	announce()
	requests := 0
	request := func(s *stream) {
		arrived := now
		requests++
		service := time.Duration(float64(s.service) * (0.5 + r.Float64()))
		table.Request(now, s.queue, pj.GrantRequest{Request: strconv.Itoa(requests), Queue: s.queue.Name, WaitMS: 5000}, func(g pj.Grant, err error) {
			if err != nil {
				s.refused++
				return
			}
			s.waits = append(s.waits, now-arrived)
			heap.Push(running, completion{at: now + service, grant: g.ID, service: service})
		})
	}
	for now < span {
		next := slices.MinFunc(streams, func(a, b *stream) int { return int(a.next - b.next) })
		if running.Len() > 0 && (*running)[0].at <= next.next {
			done, _ := heap.Pop(running).(completion)
			now = done.at
			table.Release(now, pj.GrantRelease{ID: done.grant, LatencyMS: done.service.Milliseconds()})
			continue
		}
		now = max(now, next.next)
		next.next = now + time.Duration(r.ExpFloat64()/next.rate*float64(time.Second))
		request(next)
		if r.IntN(1000) == 0 {
			table.Tick(now)
		}
	}
}

func p99(waits []time.Duration) time.Duration {
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

func queue(name, workspace string, urgency pj.Urgency) pj.Queue {
	return pj.Queue{Name: name, Workspace: workspace, Kind: pj.KindRequest, Urgency: urgency, MaxWaiting: 1000}
}

// TestUrgentUnderOverload checks the target for urgent requests while deferred requests arrive at twice
// the capacity of the endpoints: urgent requests wait less than 50 ms at the 99th percentile.
func TestUrgentUnderOverload(t *testing.T) {
	for name, service := range map[string]time.Duration{"short requests": 50 * time.Millisecond, "long requests": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			capacity := 128 / service.Seconds()
			urgent := &stream{queue: queue("quote", "a", pj.Urgent), rate: capacity / 10, service: service}
			deferred := &stream{queue: queue("bulk", "b", pj.Deferred), rate: 2 * capacity, service: service}
			simulate(20*time.Second, urgent, deferred)
			t.Logf("urgent p99 %v of %d, deferred served %d, refused %d", p99(urgent.waits), len(urgent.waits), len(deferred.waits), deferred.refused)
			is.True(p99(urgent.waits) < 50*time.Millisecond)
			is.Equal(urgent.refused, 0)
		})
	}
}

// TestNeighbourUnderOverload checks the target for a workspace next to one that sends ten times its
// share: its wait at the 99th percentile is at most 1.2 times its wait alone, with a tolerance of one
// millisecond.
func TestNeighbourUnderOverload(t *testing.T) {
	is := is.New(t)
	const service = 100 * time.Millisecond
	small := func() *stream { return &stream{queue: queue("check", "a", pj.Normal), rate: 300, service: service} }
	alone, shared := small(), small()
	simulate(20*time.Second, alone)
	simulate(20*time.Second, shared, &stream{queue: queue("flood", "b", pj.Normal), rate: 6400, service: service})
	t.Logf("p99 alone %v, with the overloading neighbour %v", p99(alone.waits), p99(shared.waits))
	is.True(p99(shared.waits) <= p99(alone.waits)*12/10+time.Millisecond)
	is.Equal(shared.refused, 0)
}
