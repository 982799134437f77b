package slots_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/fairness"
	"papayajunction/internal/control/slots"
)

// end is the end of a request on an endpoint.
type end struct {
	at      time.Duration
	grant   string
	service time.Duration
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *ends) Push(x any) { *e = append(*e, x.(end)) }

// Pop is part of heap.Interface.
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// stream is requests of one queue that arrive at random.
type stream struct {
	queue   pj.Queue
	rate    float64 // a second
	service time.Duration
	next    time.Duration
	waits   []time.Duration
	refused int
}

// carry runs streams through a zone of 16 endpoints with 8 slots each for some time.
func carry(span time.Duration, streams ...*stream) {
	r := rand.New(rand.NewPCG(1, 1))
	ledger := fairness.New()
	ledger.SetCapacity(pj.Resources{pj.Slots: 128})
	for _, s := range streams {
		ledger.SetWeight(s.queue.Workspace, 1)
		ledger.SetLimit(s.queue.Workspace, pj.Resources{pj.Slots: 128})
	}
	table := slots.New(0, 1, ledger, r)
	now := time.Second
	running := &ends{}
	announce := func() {
		for i := range 16 {
			_, _ = table.Announce(now, pj.Announcement{
				Endpoint: string(rune('a' + i)), Address: "127.0.0.1:1", Queues: []string{"*"}, Slots: 8, TTLMS: 60000,
			})
		}
	}
	announce()
	request := func(s *stream) {
		asked := now
		service := time.Duration(float64(s.service) * (0.5 + r.Float64()))
		table.Request(now, s.queue, pj.GrantRequest{Request: "r", Queue: s.queue.Name, WaitMS: 5000}, func(g pj.Grant, err error) {
			if err != nil {
				s.refused++
				return
			}
			s.waits = append(s.waits, now-asked)
			heap.Push(running, end{at: now + service, grant: g.ID, service: service})
		})
	}
	for now < span {
		next := slices.MinFunc(streams, func(a, b *stream) int { return int(a.next - b.next) })
		if running.Len() > 0 && (*running)[0].at <= next.next {
			e, _ := heap.Pop(running).(end)
			now = e.at
			table.Release(now, pj.GrantRelease{ID: e.grant, LatencyMS: e.service.Milliseconds()})
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

// TestUrgentUnderOverload holds the target for urgent requests while deferred ones ask for twice
// what the endpoints can do: they wait less than 50 ms at the 99th percentile.
func TestUrgentUnderOverload(t *testing.T) {
	for name, service := range map[string]time.Duration{"short requests": 50 * time.Millisecond, "long requests": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			capacity := 128 / service.Seconds()
			urgent := &stream{queue: queue("quote", "a", pj.Urgent), rate: capacity / 10, service: service}
			deferred := &stream{queue: queue("bulk", "b", pj.Deferred), rate: 2 * capacity, service: service}
			carry(20*time.Second, urgent, deferred)
			t.Logf("urgent p99 %v of %d, deferred served %d, refused %d", p99(urgent.waits), len(urgent.waits), len(deferred.waits), deferred.refused)
			is.True(p99(urgent.waits) < 50*time.Millisecond)
			is.Equal(urgent.refused, 0)
		})
	}
}

// TestNeighbourUnderOverload holds the target for a workspace beside one that sends ten times its
// share: its waiting time at the 99th percentile is at most 1.2 times what it is alone, give or
// take the grain of a millisecond.
func TestNeighbourUnderOverload(t *testing.T) {
	is := is.New(t)
	const service = 100 * time.Millisecond
	small := func() *stream { return &stream{queue: queue("check", "a", pj.Normal), rate: 300, service: service} }
	alone, beside := small(), small()
	carry(20*time.Second, alone)
	carry(20*time.Second, beside, &stream{queue: queue("flood", "b", pj.Normal), rate: 6400, service: service})
	t.Logf("p99 alone %v, beside the flood %v", p99(alone.waits), p99(beside.waits))
	is.True(p99(beside.waits) <= p99(alone.waits)*12/10+time.Millisecond)
	is.Equal(beside.refused, 0)
}
