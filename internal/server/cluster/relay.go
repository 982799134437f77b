package cluster

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of relaying: in a large fleet the other replicas call the workers for the leader, which then sends and
// receives a few large messages instead of a call for each order.
const (
	relayFrom    = 100                    // workers from which on it pays
	relayGap     = 15 * time.Millisecond  // least time between two messages on one way; what comes meanwhile goes together
	relayLate    = 300 * time.Millisecond // an order that a relay has held for longer isn't carried out
	relayTimeout = 700 * time.Millisecond // of one message
	relayAvoid   = 3 * time.Second        // for which a relay that couldn't be reached isn't used
)

// Reasons why an order that was passed on has no answer.
const (
	openRelayFailed = "the relay can't be reached"
	openRelaySilent = "the relay did not answer in time"
	openRelayLate   = "the relay held the order for too long and did not send it"
)

// ordersRequest is what the leader sends to a relay.
type ordersRequest struct {
	Leader string  `json:"leader"`
	Term   uint64  `json:"term"`
	Orders []order `json:"orders"`
}

// answersRequest is what a relay sends back.
type answersRequest struct {
	Term    uint64        `json:"term"`
	Answers []orderAnswer `json:"answers"`
}

// relays passes a leader's orders on. It belongs to the control goroutine.
type relays struct {
	replica *replica
	term    uint64
	number  uint64
	waiting map[uint64]*passed    // by number
	links   map[string]*relayLink // by VM
	ways    map[string]*relayLink // by availability zone of the workers
}

// passed is an order without an answer.
type passed struct {
	until time.Duration
	done  func(orderAnswer)
}

// relayLink is the way to one relay.
type relayLink struct {
	vm         string
	orders     []order // to be sent
	sending    bool
	sentAt     time.Duration
	avoidUntil time.Duration
}

func newRelays(r *replica, term uint64) *relays {
	return &relays{
		replica: r, term: term, waiting: make(map[uint64]*passed), links: make(map[string]*relayLink), ways: make(map[string]*relayLink),
	}
}

// pass queues an order for the relay of a zone; it reports whether there is one.
func (l *relays) pass(zone string, o order, done func(orderAnswer)) bool {
	link := l.ways[zone]
	now := l.replica.vm.clock.Now()
	if link == nil || now < link.avoidUntil {
		return false
	}
	l.number++
	o.Number = l.number
	l.waiting[o.Number] = &passed{until: now + o.timeout() + relayLate, done: done}
	link.orders = append(link.orders, o)
	return true
}

// choose picks the relay of each zone among the live replicas, none for small fleets.
func (l *relays) choose(now time.Duration, workers int) {
	ways := make(map[string]*relayLink)
	if workers >= relayFrom {
		used := make(map[string]int)
		for _, zone := range l.replica.zones() {
			if vm := l.replica.relayOf(now, zone, used); vm != "" {
				used[vm]++
				ways[zone] = l.link(vm)
			}
		}
	}
	for zone, link := range ways {
		if before := l.ways[zone]; before != link {
			l.replica.vm.log("relay_chosen", "zone", zone, "vm", link.vm, "workers", workers, "instead", before != nil)
		}
	}
	l.ways = ways
}

func (l *relays) link(vm string) *relayLink {
	if l.links[vm] == nil {
		l.links[vm] = &relayLink{vm: vm}
	}
	return l.links[vm]
}

// flush sends what is queued for relays whose time has come.
func (l *relays) flush(now time.Duration) {
	for _, link := range l.links {
		if len(link.orders) == 0 || link.sending || now < link.sentAt+relayGap {
			continue
		}
		link.sending, link.sentAt = true, now
		request := ordersRequest{Leader: l.replica.vm.options.Address, Term: l.term, Orders: link.orders}
		link.orders = nil
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
			defer cancel()
			err := l.replica.vm.transport.Call(ctx, link.vm, opOrders, request, nil)
			l.replica.loop.Post(func() { l.sent(link, request.Orders, err) })
		}()
	}
}

func (l *relays) sent(link *relayLink, orders []order, err error) {
	link.sending = false
	if err == nil {
		return
	}
	link.avoidUntil = l.replica.vm.clock.Now() + relayAvoid
	l.replica.vm.log("relay_failed", "vm", link.vm, "orders", len(orders), "avoided", relayAvoid, "err", err)
	orders = append(orders, link.orders...)
	link.orders = nil
	for _, o := range orders {
		l.answered(orderAnswer{Number: o.Number, Open: openRelayFailed})
	}
}

// answered reports one answer; what was given up before is ignored.
func (l *relays) answered(a orderAnswer) {
	if p := l.waiting[a.Number]; p != nil {
		delete(l.waiting, a.Number)
		p.done(a)
	}
}

// giveUp ends the orders whose answers are late.
func (l *relays) giveUp(now time.Duration) {
	for _, number := range slices.Collect(maps.Keys(l.waiting)) {
		if now >= l.waiting[number].until {
			l.answered(orderAnswer{Number: number, Open: openRelaySilent})
		}
	}
}

// runAnswers takes in what a relay sends back.
func (r *replica) runAnswers(_ context.Context, a answersRequest) (struct{}, error) {
	r.loop.Post(func() {
		if r.relays == nil || r.relays.term != a.Term {
			return
		}
		for _, answer := range a.Answers {
			r.relays.answered(answer)
		}
	})
	return struct{}{}, nil
}

// runOrders carries out orders for the leader, each by itself; the answers follow later.
func (r *replica) runOrders(ctx context.Context, q ordersRequest) (struct{}, error) {
	ctx = context.WithoutCancel(ctx)
	received := r.vm.clock.Now()
	for _, o := range q.Orders {
		go func() {
			a := orderAnswer{Number: o.Number, Open: openRelayLate}
			if r.vm.clock.Now() <= received+relayLate { // else this VM was suspended meanwhile
				a = r.vm.carryOut(ctx, o)
			}
			r.outbox.add(q.Leader, q.Term, a)
		}()
	}
	return struct{}{}, nil
}

// outbox gathers answers for leaders.
type outbox struct {
	vm *VM

	mu    sync.Mutex
	boxes map[string]*answersRequest // by leader; there is one while a goroutine sends
}

func newOutbox(v *VM) *outbox {
	return &outbox{vm: v, boxes: make(map[string]*answersRequest)}
}

// add queues an answer. Answers for an earlier term are dropped, because nobody waits for them.
func (b *outbox) add(leader string, term uint64, a orderAnswer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	box := b.boxes[leader]
	if box == nil {
		box = &answersRequest{Term: term}
		b.boxes[leader] = box
		go b.run(leader)
	}
	if term < box.Term {
		return
	}
	if term > box.Term {
		box.Term, box.Answers = term, nil
	}
	box.Answers = append(box.Answers, a)
}

// run sends what is queued for a leader until nothing is left.
func (b *outbox) run(leader string) {
	for request := b.take(leader); len(request.Answers) > 0; request = b.take(leader) {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		err := b.vm.transport.Call(ctx, leader, opAnswers, request, nil)
		cancel()
		if err != nil {
			b.vm.log("answers_lost", "leader", leader, "term", request.Term, "answers", len(request.Answers), "err", err)
		}
		time.Sleep(relayGap)
	}
}

func (b *outbox) take(leader string) answersRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	box := b.boxes[leader]
	taken := *box
	box.Answers = nil
	if len(taken.Answers) == 0 {
		delete(b.boxes, leader)
	}
	return taken
}
