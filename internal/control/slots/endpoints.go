package slots

import (
	"slices"
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/incarnation"
)

// Announce processes an endpoint's announcement. reconciled reports that no request granted by an
// earlier leader is in flight on the endpoint any more.
func (t *Table) Announce(now time.Duration, a pj.EndpointAnnouncement) (reconciled bool, err error) {
	if a.Endpoint == "" || a.Address == "" || a.Slots < 1 || a.Slots > maxSlotsPerEndpoint || a.TTLMS <= 0 {
		return false, pj.Refuse(pj.CodeBadRequest,
			"an announcement needs endpoint, address, ttl_ms and 1 to %d slots", maxSlotsPerEndpoint)
	}
	e := t.endpoints[a.Endpoint]
	if e == nil {
		e = &endpoint{latency: defaultLatency}
		t.endpoints[a.Endpoint] = e
		t.endpointNames = append(t.endpointNames, a.Endpoint)
		slices.Sort(t.endpointNames)
	}
	current, err := t.isCurrent(now, e, a)
	if err != nil {
		return false, err
	}
	if !current && e.inheritedKnown {
		return false, nil // the endpoint has sent one that was current
	}
	e.announcement = a
	e.queues = make(map[string]struct{}, len(a.Queues))
	for _, q := range a.Queues {
		e.queues[q] = struct{}{}
	}
	e.expiresAt = now + min(time.Duration(a.TTLMS)*time.Millisecond, MaxTTL)
	if current {
		t.countInherited(now, e)
	}
	t.GrantWaiting(now)
	return e.inheritedKnown && e.inherited == 0, nil
}

// isCurrent reports whether an announcement was certainly sent after all grants of earlier leaders had expired, by the present
// incarnation of the endpoint. Until an endpoint has sent one, its announcements say only that it exists. An overtaken
// announcement is an error. Endpoints of earlier versions don't name their incarnation; each announcement of them counts.
func (t *Table) isCurrent(now time.Duration, e *endpoint, a pj.EndpointAnnouncement) (bool, error) {
	if a.Incarnation == "" {
		return true, nil
	}
	m := incarnation.Message{Incarnation: a.Incarnation, Sequence: a.Sequence, Term: a.Term}
	if now < t.fenceUntil || !e.contacts.IsCurrent(m, t.term) {
		return false, nil
	}
	if a.Incarnation == e.incarnation && a.Sequence <= e.sequence {
		return false, pj.Refuse(pj.CodeConflict, "endpoint %s has sent a later announcement", a.Endpoint)
	}
	if e.contacts.Precedes(a.Incarnation, e.incarnation) {
		return false, pj.Refuse(pj.CodeConflict, "another incarnation of endpoint %s has taken its place", a.Endpoint)
	}
	e.incarnation = a.Incarnation
	e.sequence = a.Sequence
	return true, nil
}

// Term returns the term that replies to announcements name, or 0 while grants of earlier leaders may be used: an announcement
// that names the term was sent after they had expired.
func (t *Table) Term(now time.Duration) uint64 {
	if now < t.fenceUntil {
		return 0
	}
	return t.term
}

// countInherited counts the requests granted by earlier leaders that are still in flight on an endpoint. An
// announcement from before the last of these grants expired is ignored, because such a grant could
// still be used after it.
func (t *Table) countInherited(now time.Duration, e *endpoint) {
	if now < t.fenceUntil {
		return
	}
	before := e.inherited
	if !e.inheritedKnown {
		e.inheritedKnown = true
		e.inherited = e.announcement.InFlight
	} else {
		e.inherited = min(e.inherited, e.announcement.InFlight)
	}
	t.inherited += e.inherited - before
}

// chooseEndpoint returns the less loaded of two random endpoints that have a free slot (power of two
// choices). Avoided and ejected endpoints are used only if no other has a free slot.
func (t *Table) chooseEndpoint(now time.Duration, queue string, avoid []string) string {
	var free, avoided []string
	for _, name := range t.endpointNames {
		e := t.endpoints[name]
		if !e.inheritedKnown || !t.serves(now, e, queue) || e.used+e.inherited >= e.announcement.Slots {
			continue
		}
		if slices.Contains(avoid, name) || now < e.ejectedUntil {
			avoided = append(avoided, name)
			continue
		}
		free = append(free, name)
	}
	if len(free) == 0 {
		free = avoided
	}
	switch len(free) {
	case 0:
		return ""
	case 1:
		return free[0]
	}
	i := t.randomIntN(len(free))
	j := t.randomIntN(len(free) - 1)
	if j >= i {
		j++
	}
	if t.load(free[j]) < t.load(free[i]) {
		return free[j]
	}
	return free[i]
}

func (t *Table) randomIntN(n int) int {
	if t.rand == nil {
		return 0
	}
	return int(t.rand.Int64N(int64(n)))
}

// load returns the endpoint's load for chooseEndpoint: its latency, multiplied by its number of requests in flight plus
// one and divided by its number of free slots.
func (t *Table) load(name string) float64 {
	e := t.endpoints[name]
	free := max(e.announcement.Slots-e.used-e.inherited, 1)
	return float64(e.latency) * float64(e.used+e.inherited+1) / float64(free)
}

// Endpoints returns the status of all endpoints for operators.
func (t *Table) Endpoints(now time.Duration) []pj.EndpointStatus {
	list := make([]pj.EndpointStatus, 0, len(t.endpointNames))
	for _, name := range t.endpointNames {
		e := t.endpoints[name]
		state := "serving"
		switch {
		case now > e.expiresAt:
			state = "silent"
		case e.announcement.Draining:
			state = "leaving"
		case now < e.ejectedUntil:
			state = "set aside after failures"
		}
		list = append(list, pj.EndpointStatus{
			Name: name, State: state, Queues: e.announcement.Queues, Slots: e.announcement.Slots, Used: e.used + e.inherited,
		})
	}
	return list
}
