package cluster

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Parameters of relaying. In a large fleet, the other replicas call the workers on behalf of the leader, which then sends
// and receives a few large messages instead of one call for each order.
const (
	minRelayWorkers  = 100                    // minimum number of workers for which replicas relay orders and serve reads
	minRelayInterval = 15 * time.Millisecond  // minimum time between two messages on one link; orders in between are batched
	maxRelayDelay    = 300 * time.Millisecond // an order that a relay has held for longer isn't sent to its worker
	relayTimeout     = 700 * time.Millisecond // of one message between the leader and a relay
	relayBackoff     = 3 * time.Second        // for which a relay isn't used after a failed call
)

// Reasons why the outcome of a relayed order is unknown.
const (
	unknownRelayUnreachable = "the relay can't be reached"
	unknownRelayTimeout     = "the relay did not answer in time"
	unknownRelayDelayed     = "the relay held the order for too long and did not send it"
)

// ordersRequest is a batch of orders from the leader to a relay.
type ordersRequest struct {
	Leader string  `json:"leader"`
	Term   uint64  `json:"term"`
	Orders []order `json:"orders"`
}

// orderResultsRequest is a batch of results from a relay to the leader.
type orderResultsRequest struct {
	Term    uint64        `json:"term"`
	Results []orderResult `json:"answers"`
}

// relays forwards a leader's orders to the relays of the workers' zones. It may only be used on the control goroutine.
type relays struct {
	replica    *replica
	term       uint64
	lastNumber uint64
	pending    map[uint64]*pendingOrder // by order.Number
	linkByVM   map[string]*relayLink    // of all candidates for relays, by VM
	linkByZone map[string]*relayLink    // of the relays in use, by availability zone of the workers
}

// pendingOrder is an order without a result.
type pendingOrder struct {
	deadline time.Duration
	done     func(orderResult)
}

// relayLink is the queue of orders for one relay, and its state.
type relayLink struct {
	vm           string
	orders       []order // queued for the next message
	sending      bool
	sentAt       time.Duration
	backoffUntil time.Duration
}

func newRelays(r *replica, term uint64) *relays {
	return &relays{
		replica: r, term: term, pending: make(map[uint64]*pendingOrder), linkByVM: make(map[string]*relayLink), linkByZone: make(map[string]*relayLink),
	}
}

// enqueue queues an order for the relay of a zone. It returns false if the zone has no relay or the relay is in backoff.
func (l *relays) enqueue(zone string, o order, done func(orderResult)) bool {
	link := l.linkByZone[zone]
	now := l.replica.vm.clock.Now()
	if link == nil || now < link.backoffUntil {
		return false
	}
	l.lastNumber++
	o.Number = l.lastNumber
	l.pending[o.Number] = &pendingOrder{deadline: now + o.timeout() + maxRelayDelay, done: done}
	link.orders = append(link.orders, o)
	return true
}

// assign chooses a relay for each zone among the live replicas, and none in a fleet of fewer than minRelayWorkers.
func (l *relays) assign(now time.Duration, workers int) {
	linkByZone := make(map[string]*relayLink)
	if workers >= minRelayWorkers {
		zonesServed := make(map[string]int)
		for _, zone := range l.replica.zones() {
			if vm := l.replica.relayFor(now, zone, zonesServed); vm != "" {
				zonesServed[vm]++
				linkByZone[zone] = l.link(vm)
			}
		}
	}
	for zone, link := range linkByZone {
		if previous := l.linkByZone[zone]; previous != link {
			l.replica.vm.log("relay_chosen", "zone", zone, "vm", link.vm, "workers", workers, "instead", previous != nil)
		}
	}
	l.linkByZone = linkByZone
}

func (l *relays) link(vm string) *relayLink {
	if l.linkByVM[vm] == nil {
		l.linkByVM[vm] = &relayLink{vm: vm}
	}
	return l.linkByVM[vm]
}

// flush sends the queued orders of each link that has no message in flight and sent its last one at least minRelayInterval
// ago.
func (l *relays) flush(now time.Duration) {
	for _, link := range l.linkByVM {
		if len(link.orders) == 0 || link.sending || now < link.sentAt+minRelayInterval {
			continue
		}
		link.sending, link.sentAt = true, now
		request := ordersRequest{Leader: l.replica.vm.options.Address, Term: l.term, Orders: link.orders}
		link.orders = nil
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
			defer cancel()
			err := l.replica.vm.transport.Call(ctx, link.vm, opOrders, request, nil)
			l.replica.loop.Post(func() { l.handleSent(link, request.Orders, err) })
		}()
	}
}

func (l *relays) handleSent(link *relayLink, orders []order, err error) {
	link.sending = false
	if err == nil {
		return
	}
	link.backoffUntil = l.replica.vm.clock.Now() + relayBackoff
	l.replica.vm.log("relay_failed", "vm", link.vm, "orders", len(orders), "avoided", relayBackoff, "err", err)
	orders = append(orders, link.orders...)
	link.orders = nil
	for _, o := range orders {
		l.complete(orderResult{Number: o.Number, Unknown: unknownRelayUnreachable})
	}
}

// complete reports the result of an order. Results of orders that have expired are ignored.
func (l *relays) complete(result orderResult) {
	if p := l.pending[result.Number]; p != nil {
		delete(l.pending, result.Number)
		p.done(result)
	}
}

// expire ends the orders whose deadline has passed.
func (l *relays) expire(now time.Duration) {
	for _, number := range slices.Collect(maps.Keys(l.pending)) {
		if now >= l.pending[number].deadline {
			l.complete(orderResult{Number: number, Unknown: unknownRelayTimeout})
		}
	}
}

// runOrderResults reports the results that a relay returns. Results of an earlier term are ignored.
func (r *replica) runOrderResults(_ context.Context, q orderResultsRequest) (struct{}, error) {
	r.loop.Post(func() {
		if r.relays == nil || r.relays.term != q.Term {
			return
		}
		for _, result := range q.Results {
			r.relays.complete(result)
		}
	})
	return struct{}{}, nil
}

// runOrders executes orders on behalf of the leader, each in a goroutine of its own. The results are sent separately
// through the outbox.
func (r *replica) runOrders(ctx context.Context, q ordersRequest) (struct{}, error) {
	ctx = context.WithoutCancel(ctx)
	received := r.vm.clock.Now()
	for _, o := range q.Orders {
		go func() {
			result := orderResult{Number: o.Number, Unknown: unknownRelayDelayed}
			if r.vm.clock.Now() <= received+maxRelayDelay { // otherwise this VM was suspended in between
				result = r.vm.execute(ctx, o)
			}
			r.outbox.add(q.Leader, q.Term, result)
		}()
	}
	return struct{}{}, nil
}

// outbox batches results of relayed orders for the leaders that sent them.
type outbox struct {
	vm *VM

	mu      sync.Mutex
	batches map[string]*orderResultsRequest // by leader; an entry exists while a goroutine sends to that leader
}

func newOutbox(v *VM) *outbox {
	return &outbox{vm: v, batches: make(map[string]*orderResultsRequest)}
}

// add queues a result. Results of an earlier term are dropped, because that leader no longer waits for them.
func (b *outbox) add(leader string, term uint64, result orderResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.batches[leader]
	if batch == nil {
		batch = &orderResultsRequest{Term: term}
		b.batches[leader] = batch
		go b.sendUntilEmpty(leader)
	}
	if term < batch.Term {
		return
	}
	if term > batch.Term {
		batch.Term, batch.Results = term, nil
	}
	batch.Results = append(batch.Results, result)
}

// sendUntilEmpty sends the queued results for a leader in batches until none are left. Batches that can't be sent are
// dropped; the leader's orders then expire.
func (b *outbox) sendUntilEmpty(leader string) {
	for request := b.take(leader); len(request.Results) > 0; request = b.take(leader) {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		err := b.vm.transport.Call(ctx, leader, opOrderResults, request, nil)
		cancel()
		if err != nil {
			b.vm.log("answers_lost", "leader", leader, "term", request.Term, "answers", len(request.Results), "err", err)
		}
		time.Sleep(minRelayInterval)
	}
}

func (b *outbox) take(leader string) orderResultsRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.batches[leader]
	request := *batch
	batch.Results = nil
	if len(request.Results) == 0 {
		delete(b.batches, leader)
	}
	return request
}
