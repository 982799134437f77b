// Package slots grants the request slots of endpoints. A grant allows one request to be sent to one
// endpoint; waiting requests are served in order of urgency, workspace share and arrival.
package slots

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/fairness"
	"papayajunction/internal/control/incarnation"
)

// Times and limits of grants, endpoint ejection and admission.
const (
	GrantValidity         = 400 * time.Millisecond // how long an unused grant stays valid
	grantFence            = 440 * time.Millisecond // GrantValidity on a clock that runs a tenth slower
	slotReclaimDelay      = 2 * time.Second        // time from a request's deadline until its slot is reclaimed if not released
	latencySmoothing      = 0.1                    // weight of a new sample in the moving average of latency
	defaultLatency        = 100 * time.Millisecond
	failurePenalty        = 4               // a failed request counts as this multiple of the latency
	ejectionThreshold     = 3               // consecutive failures after which an endpoint is ejected
	baseEjectionTime      = 2 * time.Second // doubled with each consecutive ejection
	maxEjectionTime       = 30 * time.Second
	AnyQueue              = "*" // announced by an endpoint that serves every queue
	MaxTTL                = 30 * time.Second
	deadlineSlack         = 1.5 // a request is refused if its forecast wait exceeds its allowed wait by this factor
	minWaitingForForecast = 8   // with fewer waiting requests no wait is forecast
	maxSlotsPerEndpoint   = 1024
	headroomDivisor       = 32 // workspaces above their fair share leave 1/headroomDivisor of the slots free
)

// Table holds the cell leader's state of endpoints, grants and waiting requests.
type Table struct {
	ledger         *fairness.Ledger
	rand           pj.Rand
	endpoints      map[string]*endpoint
	endpointNames  []string              // sorted
	waitQueues     map[string]*waitQueue // by queue name
	grants         map[string]*grant
	waiters        map[string]*waitingRequest // by request id
	grantByRequest map[string]string          // grant id by request id
	fenceUntil     time.Duration
	term           uint64
	nextID         uint64
	inherited      int // requests granted by earlier leaders that may still be in flight
}

type endpoint struct {
	announcement   pj.EndpointAnnouncement
	contacts       incarnation.Contacts
	incarnation    string // of the last current announcement, or ""
	sequence       uint64 // of that announcement
	queues         map[string]struct{}
	expiresAt      time.Duration
	used           int
	inherited      int  // requests granted by earlier leaders that may still be in flight here
	inheritedKnown bool // inherited has been counted; until then the endpoint gets no requests
	latency        time.Duration
	failures       int
	ejections      int
	ejectedUntil   time.Duration
}

type grant struct {
	request   pj.GrantRequest
	endpoint  string
	reclaimAt time.Duration
	workspace string
}

type waitQueue struct {
	queue        pj.Queue
	waiting      []*waitingRequest // oldest first; includes requests that are done, until head removes them
	waitingCount int               // requests in waiting that are not done
	latency      time.Duration
	inFlight     int
}

type waitingRequest struct {
	request  pj.GrantRequest
	arrived  time.Duration
	deadline time.Duration
	reply    func(pj.Grant, error)
	done     bool
}

// New returns the table of a leader elected at time now in the given term.
func New(now time.Duration, term uint64, ledger *fairness.Ledger, rand pj.Rand) *Table {
	return &Table{
		ledger: ledger, rand: rand, term: term,
		endpoints:      make(map[string]*endpoint),
		waitQueues:     make(map[string]*waitQueue),
		grants:         make(map[string]*grant),
		waiters:        make(map[string]*waitingRequest),
		grantByRequest: make(map[string]string),
		fenceUntil:     now + grantFence,
	}
}

// Request requests a slot. reply is called once, immediately or later.
func (t *Table) Request(now time.Duration, q pj.Queue, r pj.GrantRequest, reply func(pj.Grant, error)) {
	wq := t.waitQueue(q)
	if !t.hasEndpoint(now, q.Name) {
		reply(pj.Grant{}, pj.Refuse(pj.CodeNoEndpoint, "no endpoint in this zone serves queue %s", q.Name))
		return
	}
	if wq.waitingCount >= max(q.MaxWaiting, 1) {
		reply(pj.Grant{}, overloaded("queue %s already has %d requests waiting", q.Name, wq.waitingCount))
		return
	}
	wait := time.Duration(r.WaitMS) * time.Millisecond
	if forecast := t.forecast(now, wq); float64(forecast) > deadlineSlack*float64(wait) {
		reply(pj.Grant{}, overloaded("a request of queue %s would wait for about %v, which is too long for its deadline", q.Name, forecast.Round(time.Millisecond)))
		return
	}
	if earlier := t.waiters[r.Request]; earlier != nil {
		// The caller has sent the request again because it no longer waits for the reply to the earlier one.
		t.finish(earlier, pj.Grant{}, pj.Refuse(pj.CodeDeadline, "request %s was sent again", r.Request))
	}
	w := &waitingRequest{request: r, arrived: now, deadline: now + wait, reply: reply}
	wq.waiting = append(wq.waiting, w)
	wq.waitingCount++
	t.waiters[r.Request] = w
	t.GrantWaiting(now)
}

func overloaded(format string, args ...any) *pj.Error {
	e := pj.Refuse(pj.CodeOverloaded, format, args...)
	e.RetryAfter = pj.Duration(time.Second)
	return e
}

// forecast estimates the wait of a request that joins the queue now.
func (t *Table) forecast(now time.Duration, wq *waitQueue) time.Duration {
	if wq.waitingCount < minWaitingForForecast || wq.latency == 0 {
		return 0
	}
	slots := 0
	for _, e := range t.endpoints {
		if t.serves(now, e, wq.queue.Name) {
			slots += e.announcement.Slots
		}
	}
	slots = min(slots, int(max(t.ledger.Limit(wq.queue.Workspace)[pj.Slots], 1)))
	return wq.latency * time.Duration(wq.waitingCount+1) / time.Duration(max(slots, 1))
}

func (t *Table) waitQueue(q pj.Queue) *waitQueue {
	wq := t.waitQueues[q.Name]
	if wq == nil {
		wq = &waitQueue{}
		t.waitQueues[q.Name] = wq
	}
	wq.queue = q
	return wq
}

// serves reports whether an endpoint accepts requests of the queue.
func (t *Table) serves(now time.Duration, e *endpoint, queue string) bool {
	if e.announcement.Draining || now > e.expiresAt {
		return false
	}
	if _, all := e.queues[AnyQueue]; all {
		return true
	}
	_, ok := e.queues[queue]
	return ok
}

func (t *Table) hasEndpoint(now time.Duration, queue string) bool {
	if now < t.fenceUntil {
		return true // endpoints have not had time to announce themselves to this leader
	}
	for _, e := range t.endpoints {
		if t.serves(now, e, queue) {
			return true
		}
	}
	return false
}

// Abandon removes a waiting request whose caller has disconnected, or releases a grant that did not
// reach the caller.
func (t *Table) Abandon(now time.Duration, queue, request string) {
	if w := t.waiters[request]; w != nil && w.request.Queue == queue {
		t.finish(w, pj.Grant{}, pj.Refuse(pj.CodeDeadline, "the caller disconnected"))
		return
	}
	if id, ok := t.grantByRequest[request]; ok {
		t.Release(now, pj.GrantRelease{ID: id})
	}
}

// finish replies to a waiting request and marks it as done; it stays in its queue until head removes
// it.
func (t *Table) finish(w *waitingRequest, g pj.Grant, err error) {
	if w.done {
		return
	}
	w.done = true
	delete(t.waiters, w.request.Request)
	if wq := t.waitQueues[w.request.Queue]; wq != nil {
		wq.waitingCount--
	}
	w.reply(g, err)
}

// head removes requests that are done from the front, and returns the longest waiting request or nil.
func (wq *waitQueue) head() *waitingRequest {
	for len(wq.waiting) > 0 && wq.waiting[0].done {
		wq.waiting[0] = nil
		wq.waiting = wq.waiting[1:]
	}
	if len(wq.waiting) == 0 {
		return nil
	}
	return wq.waiting[0]
}

// Release returns a granted slot and records the latency and outcome of its request.
func (t *Table) Release(now time.Duration, r pj.GrantRelease) {
	g := t.grants[r.ID]
	if g == nil {
		return
	}
	t.removeGrant(r.ID, g)
	e := t.endpoints[g.endpoint]
	if e != nil && r.LatencyMS > 0 {
		t.recordOutcome(now, e, r)
	}
	if wq := t.waitQueues[g.request.Queue]; wq != nil && r.LatencyMS > 0 {
		wq.latency = ewma(wq.latency, time.Duration(r.LatencyMS)*time.Millisecond)
	}
	t.GrantWaiting(now)
}

func (t *Table) removeGrant(id string, g *grant) {
	delete(t.grants, id)
	if t.grantByRequest[g.request.Request] == id {
		delete(t.grantByRequest, g.request.Request)
	}
	t.ledger.Refund(g.workspace, pj.Resources{pj.Slots: 1})
	if e := t.endpoints[g.endpoint]; e != nil {
		e.used--
	}
	if wq := t.waitQueues[g.request.Queue]; wq != nil {
		wq.inFlight--
	}
}

func (t *Table) recordOutcome(now time.Duration, e *endpoint, r pj.GrantRelease) {
	latency := time.Duration(r.LatencyMS) * time.Millisecond
	if !r.Failed {
		e.failures = 0
		e.ejections = 0
		e.latency = ewma(e.latency, latency)
		return
	}
	e.latency = ewma(e.latency, failurePenalty*max(latency, e.latency))
	e.failures++
	if e.failures >= ejectionThreshold {
		e.failures = 0
		e.ejectedUntil = now + min(baseEjectionTime<<e.ejections, maxEjectionTime)
		e.ejections = min(e.ejections+1, 8)
	}
}

func ewma(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencySmoothing*float64(sample-old))
}

// Tick expires waiting requests, announcements and grants that were never released, then grants the
// free slots.
func (t *Table) Tick(now time.Duration) {
	for _, wq := range t.waitQueues {
		for _, w := range wq.waiting {
			if now >= w.deadline {
				t.finish(w, pj.Grant{}, pj.Refuse(pj.CodeDeadline, "no slot became free within the time limit"))
			}
		}
	}
	for id, g := range t.grants {
		if now > g.reclaimAt {
			t.removeGrant(id, g)
		}
	}
	for _, name := range slices.Clone(t.endpointNames) {
		if e := t.endpoints[name]; now > e.expiresAt+MaxTTL && e.used == 0 {
			t.inherited -= e.inherited
			delete(t.endpoints, name)
			t.endpointNames = slices.DeleteFunc(t.endpointNames, func(n string) bool { return n == name })
		}
	}
	t.GrantWaiting(now)
}

// GrantWaiting grants free slots to waiting requests. It grants nothing until the grants of earlier
// leaders have expired.
func (t *Table) GrantWaiting(now time.Duration) {
	if now < t.fenceUntil {
		return
	}
	skipped := make(map[*waitQueue]struct{})
	for {
		wq := t.nextQueue(skipped)
		if wq == nil {
			return
		}
		if !t.grantHead(now, wq) {
			skipped[wq] = struct{}{}
		}
	}
}

// nextQueue returns the queue to serve next: the most urgent, then the smallest workspace share, then
// the longest wait. It ignores the skipped queues.
func (t *Table) nextQueue(skipped map[*waitQueue]struct{}) *waitQueue {
	var best *waitQueue
	for _, wq := range t.waitQueues {
		if _, skip := skipped[wq]; skip || wq.head() == nil {
			continue
		}
		if best == nil || t.servedBefore(wq, best) {
			best = wq
		}
	}
	return best
}

func (t *Table) servedBefore(a, b *waitQueue) bool {
	return cmp.Or(
		cmp.Compare(a.queue.Urgency.Rank(), b.queue.Urgency.Rank()),
		cmp.Compare(t.ledger.Share(a.queue.Workspace), t.ledger.Share(b.queue.Workspace)),
		cmp.Compare(a.waiting[0].arrived, b.waiting[0].arrived),
		cmp.Compare(a.queue.Name, b.queue.Name),
	) < 0
}

func (t *Table) grantHead(now time.Duration, wq *waitQueue) bool {
	w := wq.head()
	slot := pj.Resources{pj.Slots: int64(1 + t.inherited)}
	if !t.ledger.Allows(wq.queue.Workspace, slot) {
		return false
	}
	if !t.ledger.WithinFairShare(wq.queue.Workspace) && !t.hasHeadroom(now) {
		return false
	}
	name := t.chooseEndpoint(now, wq.queue.Name, w.request.Avoid)
	if name == "" {
		return false
	}
	t.finish(w, t.addGrant(now, wq, w, name), nil)
	return true
}

// hasHeadroom reports whether enough slots are free for a workspace above its fair share to use one.
func (t *Table) hasHeadroom(now time.Duration) bool {
	slots, used := 0, 0
	for _, e := range t.endpoints {
		if e.inheritedKnown && !e.announcement.Draining && now <= e.expiresAt {
			slots += e.announcement.Slots
			used += e.used + e.inherited
		}
	}
	return slots-used > slots/headroomDivisor
}

func (t *Table) addGrant(now time.Duration, wq *waitQueue, w *waitingRequest, name string) pj.Grant {
	t.nextID++
	id := fmt.Sprintf("%d-%d", t.term, t.nextID)
	e := t.endpoints[name]
	e.used++
	wq.inFlight++
	t.ledger.Charge(wq.queue.Workspace, pj.Resources{pj.Slots: 1})
	t.grantByRequest[w.request.Request] = id
	t.grants[id] = &grant{
		request: w.request, endpoint: name, workspace: wq.queue.Workspace,
		reclaimAt: w.deadline + slotReclaimDelay,
	}
	return pj.Grant{
		ID: id, Endpoint: name, Address: e.announcement.Address,
		ValidMS: GrantValidity.Milliseconds(), WaitedMS: (now - w.arrived).Milliseconds(),
	}
}

// SlotsUsed returns the number of slots granted to a workspace.
func (t *Table) SlotsUsed(workspace string) int64 {
	return t.ledger.Usage(workspace)[pj.Slots]
}

// Capacity returns the number of slots of all live endpoints.
func (t *Table) Capacity(now time.Duration) int64 {
	slots := int64(0)
	for _, e := range t.endpoints {
		if now <= e.expiresAt && !e.announcement.Draining {
			slots += int64(e.announcement.Slots)
		}
	}
	return slots
}

// EachQueue calls visit for each queue that has had requests in this term, with its numbers of waiting
// and running requests.
func (t *Table) EachQueue(visit func(q pj.Queue, waiting, running int)) {
	for _, name := range slices.Sorted(maps.Keys(t.waitQueues)) {
		wq := t.waitQueues[name]
		visit(wq.queue, wq.waitingCount, wq.inFlight)
	}
}

// FailWaiting replies to every waiting request with err, because this VM no longer leads the cell.
func (t *Table) FailWaiting(err error) {
	for _, wq := range t.waitQueues {
		for _, w := range wq.waiting {
			t.finish(w, pj.Grant{}, err)
		}
		wq.waiting = nil
	}
}
