// Package slots grants the request slots of endpoints: who may send which request where, in order
// of urgency, share and arrival.
package slots

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/fairness"
)

// Times and bounds of grants.
const (
	GrantValid      = 400 * time.Millisecond // how long a grant may stay unused
	grantFence      = 440 * time.Millisecond // GrantValid by a clock that is a tenth slower
	holdMargin      = 2 * time.Second        // added to a request's deadline before its slot is taken back
	latencyGain     = 0.1
	defaultLatency  = 100 * time.Millisecond
	failurePenalty  = 4               // times the latency that a failed request counts as
	ejectFailures   = 3               // failures in a row that put an endpoint aside
	ejectTime       = 2 * time.Second // doubled with each ejection in a row
	maxEject        = 30 * time.Second
	AnyQueue        = "*" // announced by endpoints that serve every queue
	MaxTTL          = 30 * time.Second
	deadlineSlack   = 1.5 // how far an expected wait may exceed the deadline before refusal
	minForForecast  = 8   // waiting requests below which no wait is forecast
	maxSlotsAllowed = 1024
	sparePart       = 32 // one slot in sparePart is left free by workspaces beyond their share
)

// Table is the cell leader's account of endpoints, grants and waiting requests.
type Table struct {
	ledger     *fairness.Ledger
	rand       pj.Rand
	endpoints  map[string]*endpoint
	names      []string
	lanes      map[string]*lane // by queue
	grants     map[string]*grant
	byRequest  map[string]*waiter // waiting requests
	granted    map[string]string  // request to grant
	fenceUntil time.Duration
	term       uint64
	nextID     uint64
	unknown    int // requests in flight that an earlier leader granted
}

type endpoint struct {
	announced   pj.Announcement
	serves      map[string]struct{}
	until       time.Duration
	used        int
	unknown     int // in flight when this leader took over
	settled     bool
	latency     time.Duration
	failures    int
	ejections   int
	ejectedTill time.Duration
}

type grant struct {
	request   pj.GrantRequest
	endpoint  string
	until     time.Duration
	workspace string
}

type lane struct {
	queue    pj.Queue
	waiting  []*waiter // with some that are done
	live     int
	latency  time.Duration
	inFlight int
}

type waiter struct {
	request  pj.GrantRequest
	arrived  time.Duration
	deadline time.Duration
	reply    func(pj.Grant, error)
	done     bool
}

// New returns a table for a leader that was elected in the given term at now.
func New(now time.Duration, term uint64, ledger *fairness.Ledger, rand pj.Rand) *Table {
	return &Table{
		ledger: ledger, rand: rand, term: term,
		endpoints:  make(map[string]*endpoint),
		lanes:      make(map[string]*lane),
		grants:     make(map[string]*grant),
		byRequest:  make(map[string]*waiter),
		granted:    make(map[string]string),
		fenceUntil: now + grantFence,
	}
}

// Request asks for a slot. reply is called once, at once or later.
func (t *Table) Request(now time.Duration, q pj.Queue, r pj.GrantRequest, reply func(pj.Grant, error)) {
	l := t.lane(q)
	if !t.anyEndpoint(now, q.Name) {
		reply(pj.Grant{}, pj.Refuse(pj.CodeNoEndpoint, "no endpoint in this zone serves queue %s", q.Name))
		return
	}
	if l.live >= max(q.MaxWaiting, 1) {
		reply(pj.Grant{}, overloaded("queue %s has %d requests waiting already", q.Name, l.live))
		return
	}
	wait := time.Duration(r.WaitMS) * time.Millisecond
	if forecast := t.forecast(now, l); float64(forecast) > deadlineSlack*float64(wait) {
		reply(pj.Grant{}, overloaded("queue %s would keep this request waiting for about %v", q.Name, forecast.Round(time.Millisecond)))
		return
	}
	w := &waiter{request: r, arrived: now, deadline: now + wait, reply: reply}
	l.waiting = append(l.waiting, w)
	l.live++
	t.byRequest[r.Request] = w
	t.Pump(now)
}

func overloaded(format string, args ...any) *pj.Error {
	e := pj.Refuse(pj.CodeOverloaded, format, args...)
	e.RetryAfter = pj.Duration(time.Second)
	return e
}

// forecast returns how long a request that joins the lane now would probably wait.
func (t *Table) forecast(now time.Duration, l *lane) time.Duration {
	if l.live < minForForecast || l.latency == 0 {
		return 0
	}
	slots := 0
	for _, e := range t.endpoints {
		if t.serves(now, e, l.queue.Name) {
			slots += e.announced.Slots
		}
	}
	slots = min(slots, int(max(t.ledger.Limit(l.queue.Workspace)[pj.Slots], 1)))
	return l.latency * time.Duration(l.live+1) / time.Duration(max(slots, 1))
}

func (t *Table) lane(q pj.Queue) *lane {
	l := t.lanes[q.Name]
	if l == nil {
		l = &lane{}
		t.lanes[q.Name] = l
	}
	l.queue = q
	return l
}

// serves reports whether an endpoint takes requests of the queue.
func (t *Table) serves(now time.Duration, e *endpoint, queue string) bool {
	if e.announced.Leaving || now > e.until {
		return false
	}
	if _, all := e.serves[AnyQueue]; all {
		return true
	}
	_, ok := e.serves[queue]
	return ok
}

func (t *Table) anyEndpoint(now time.Duration, queue string) bool {
	if now < t.fenceUntil {
		return true // endpoints have had no time to announce themselves
	}
	for _, e := range t.endpoints {
		if t.serves(now, e, queue) {
			return true
		}
	}
	return false
}

// Abandon drops a waiting request whose caller has gone, and takes back a grant that the caller
// never learned of.
func (t *Table) Abandon(now time.Duration, queue, request string) {
	if w := t.byRequest[request]; w != nil && w.request.Queue == queue {
		t.finish(w, pj.Grant{}, pj.Refuse(pj.CodeDeadline, "the caller has gone"))
		return
	}
	if id, ok := t.granted[request]; ok {
		t.Release(now, pj.GrantRelease{ID: id})
	}
}

// finish ends a request's wait; its lane skips it later.
func (t *Table) finish(w *waiter, g pj.Grant, err error) {
	if w.done {
		return
	}
	w.done = true
	delete(t.byRequest, w.request.Request)
	if l := t.lanes[w.request.Queue]; l != nil {
		l.live--
	}
	w.reply(g, err)
}

// first returns the request that has waited longest, or nil.
func (l *lane) first() *waiter {
	for len(l.waiting) > 0 && l.waiting[0].done {
		l.waiting[0] = nil
		l.waiting = l.waiting[1:]
	}
	if len(l.waiting) == 0 {
		return nil
	}
	return l.waiting[0]
}

// Release gives a slot back.
func (t *Table) Release(now time.Duration, r pj.GrantRelease) {
	g := t.grants[r.ID]
	if g == nil {
		return
	}
	t.drop(r.ID, g)
	e := t.endpoints[g.endpoint]
	if e != nil {
		t.observe(now, e, r)
	}
	if l := t.lanes[g.request.Queue]; l != nil && r.LatencyMS > 0 {
		l.latency = blend(l.latency, time.Duration(r.LatencyMS)*time.Millisecond)
	}
	t.Pump(now)
}

func (t *Table) drop(id string, g *grant) {
	delete(t.grants, id)
	if t.granted[g.request.Request] == id {
		delete(t.granted, g.request.Request)
	}
	t.ledger.Refund(g.workspace, pj.Resources{pj.Slots: 1})
	if e := t.endpoints[g.endpoint]; e != nil {
		e.used--
	}
	if l := t.lanes[g.request.Queue]; l != nil {
		l.inFlight--
	}
}

func (t *Table) observe(now time.Duration, e *endpoint, r pj.GrantRelease) {
	latency := time.Duration(r.LatencyMS) * time.Millisecond
	if !r.Failed {
		e.failures = 0
		e.ejections = 0
		e.latency = blend(e.latency, latency)
		return
	}
	e.latency = blend(e.latency, failurePenalty*max(latency, e.latency))
	e.failures++
	if e.failures >= ejectFailures {
		e.failures = 0
		e.ejectedTill = now + min(ejectTime<<e.ejections, maxEject)
		e.ejections = min(e.ejections+1, 8)
	}
}

func blend(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyGain*float64(sample-old))
}

// Tick ends what has run out: waiting requests, announcements, grants that were never given back.
func (t *Table) Tick(now time.Duration) {
	for _, l := range t.lanes {
		for _, w := range l.waiting {
			if now >= w.deadline {
				t.finish(w, pj.Grant{}, pj.Refuse(pj.CodeDeadline, "no slot became free within the time limit"))
			}
		}
	}
	for id, g := range t.grants {
		if now > g.until {
			t.drop(id, g)
		}
	}
	for _, name := range slices.Clone(t.names) {
		if e := t.endpoints[name]; now > e.until+MaxTTL && e.used == 0 {
			t.unknown -= e.unknown
			delete(t.endpoints, name)
			t.names = slices.DeleteFunc(t.names, func(n string) bool { return n == name })
		}
	}
	t.Pump(now)
}

// Pump grants free slots to waiting requests.
func (t *Table) Pump(now time.Duration) {
	if now < t.fenceUntil {
		return
	}
	skipped := make(map[*lane]struct{})
	for {
		l := t.nextLane(skipped)
		if l == nil {
			return
		}
		if !t.grantFirst(now, l) {
			skipped[l] = struct{}{}
		}
	}
}

// nextLane returns the lane to serve next: most urgent, then smallest share, then longest wait.
func (t *Table) nextLane(skipped map[*lane]struct{}) *lane {
	var best *lane
	for _, l := range t.lanes {
		if _, skip := skipped[l]; skip || l.first() == nil {
			continue
		}
		if best == nil || t.before(l, best) {
			best = l
		}
	}
	return best
}

func (t *Table) before(a, b *lane) bool {
	return cmp.Or(
		cmp.Compare(a.queue.Urgency.Rank(), b.queue.Urgency.Rank()),
		cmp.Compare(t.ledger.Share(a.queue.Workspace), t.ledger.Share(b.queue.Workspace)),
		cmp.Compare(a.waiting[0].arrived, b.waiting[0].arrived),
		cmp.Compare(a.queue.Name, b.queue.Name),
	) < 0
}

func (t *Table) grantFirst(now time.Duration, l *lane) bool {
	w := l.first()
	slot := pj.Resources{pj.Slots: int64(1 + t.unknown)}
	if !t.ledger.Allows(l.queue.Workspace, slot) {
		return false
	}
	if !t.ledger.WithinShare(l.queue.Workspace) && !t.spare(now) {
		return false
	}
	name := t.choose(now, l.queue.Name, w.request.Avoid)
	if name == "" {
		return false
	}
	t.finish(w, t.give(now, l, w, name), nil)
	return true
}

// spare reports whether enough slots are free for a workspace beyond its share to take one.
func (t *Table) spare(now time.Duration) bool {
	slots, used := 0, 0
	for _, e := range t.endpoints {
		if e.settled && !e.announced.Leaving && now <= e.until {
			slots += e.announced.Slots
			used += e.used + e.unknown
		}
	}
	return slots-used > slots/sparePart
}

func (t *Table) give(now time.Duration, l *lane, w *waiter, name string) pj.Grant {
	t.nextID++
	id := fmt.Sprintf("%d-%d", t.term, t.nextID)
	e := t.endpoints[name]
	e.used++
	l.inFlight++
	t.ledger.Charge(l.queue.Workspace, pj.Resources{pj.Slots: 1})
	t.granted[w.request.Request] = id
	t.grants[id] = &grant{
		request: w.request, endpoint: name, workspace: l.queue.Workspace,
		until: w.deadline + holdMargin,
	}
	return pj.Grant{
		ID: id, Endpoint: name, Address: e.announced.Address,
		ValidMS: GrantValid.Milliseconds(), WaitedMS: (now - w.arrived).Milliseconds(),
	}
}

// SlotsUsed returns the number of grants of each workspace.
func (t *Table) SlotsUsed(workspace string) int64 {
	return t.ledger.Use(workspace)[pj.Slots]
}

// Capacity returns the slots of all live endpoints.
func (t *Table) Capacity(now time.Duration) int64 {
	slots := int64(0)
	for _, e := range t.endpoints {
		if now <= e.until && !e.announced.Leaving {
			slots += int64(e.announced.Slots)
		}
	}
	return slots
}

// Waiting calls visit for each queue with waiting or running requests.
func (t *Table) Waiting(visit func(q pj.Queue, waiting, running int)) {
	for _, name := range slices.Sorted(maps.Keys(t.lanes)) {
		l := t.lanes[name]
		visit(l.queue, l.live, l.inFlight)
	}
}

// Fail ends every waiting request, because this VM leads no more.
func (t *Table) Fail(err error) {
	for _, l := range t.lanes {
		for _, w := range l.waiting {
			t.finish(w, pj.Grant{}, err)
		}
		l.waiting = nil
	}
}
