package slots

import (
	"slices"
	"time"

	pj "papayajunction"
)

// Announce takes in an endpoint's announcement. settled says that the endpoint gets requests.
func (t *Table) Announce(now time.Duration, a pj.Announcement) (settled bool, err error) {
	if a.Endpoint == "" || a.Address == "" || a.Slots < 1 || a.Slots > maxSlotsAllowed || a.TTLMS <= 0 {
		return false, pj.Refuse(pj.CodeBadRequest,
			"an announcement needs endpoint, address, ttl_ms and 1 to %d slots", maxSlotsAllowed)
	}
	e := t.endpoints[a.Endpoint]
	if e == nil {
		e = &endpoint{latency: defaultLatency}
		t.endpoints[a.Endpoint] = e
		t.names = append(t.names, a.Endpoint)
		slices.Sort(t.names)
	}
	e.announced = a
	e.serves = make(map[string]struct{}, len(a.Queues))
	for _, q := range a.Queues {
		e.serves[q] = struct{}{}
	}
	e.until = now + min(time.Duration(a.TTLMS)*time.Millisecond, MaxTTL)
	t.settle(now, e)
	t.Pump(now)
	return e.settled && e.unknown == 0, nil
}

// settle finds out how many requests of earlier leaders an endpoint still runs. An announcement
// that came before the last of their grants has lapsed says too little.
func (t *Table) settle(now time.Duration, e *endpoint) {
	if now < t.fenceUntil {
		return
	}
	before := e.unknown
	if !e.settled {
		e.settled = true
		e.unknown = e.announced.InFlight
	} else {
		e.unknown = min(e.unknown, e.announced.InFlight)
	}
	t.unknown += e.unknown - before
}

// choose returns the less loaded of two endpoints taken at random among those that have a free
// slot; an avoided one only if there is no other.
func (t *Table) choose(now time.Duration, queue string, avoid []string) string {
	var free, avoided []string
	for _, name := range t.names {
		e := t.endpoints[name]
		if !e.settled || !t.serves(now, e, queue) || e.used+e.unknown >= e.announced.Slots {
			continue
		}
		if slices.Contains(avoid, name) || now < e.ejectedTill {
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
	i := t.random(len(free))
	j := t.random(len(free) - 1)
	if j >= i {
		j++
	}
	if t.load(free[j]) < t.load(free[i]) {
		return free[j]
	}
	return free[i]
}

func (t *Table) random(n int) int {
	if t.rand == nil {
		return 0
	}
	return int(t.rand.Int64N(int64(n)))
}

// load estimates how long a request would take on the endpoint, relative to its free slots.
func (t *Table) load(name string) float64 {
	e := t.endpoints[name]
	free := max(e.announced.Slots-e.used-e.unknown, 1)
	return float64(e.latency) * float64(e.used+e.unknown+1) / float64(free)
}

// Endpoints returns the endpoints for the operators' view.
func (t *Table) Endpoints(now time.Duration) []pj.EndpointStatus {
	list := make([]pj.EndpointStatus, 0, len(t.names))
	for _, name := range t.names {
		e := t.endpoints[name]
		state := "serving"
		switch {
		case now > e.until:
			state = "silent"
		case e.announced.Leaving:
			state = "leaving"
		case now < e.ejectedTill:
			state = "set aside after failures"
		}
		list = append(list, pj.EndpointStatus{
			Name: name, State: state, Queues: e.announced.Queues, Slots: e.announced.Slots, Used: e.used + e.unknown,
		})
	}
	return list
}
