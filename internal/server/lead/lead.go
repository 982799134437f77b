// Package lead finds the leader of a replicated group and calls it.
package lead

import (
	"context"
	"errors"
	"sync"
	"time"

	pj "papayajunction"
)

// tryAgain is the pause after all members were asked in vain.
const tryAgain = 60 * time.Millisecond

// hintsMost is how many hints of members are followed for each member in one call.
const hintsMost = 4

// Finder remembers which VM last led a group. The zero value knows nothing.
type Finder struct {
	mu  sync.Mutex
	vms map[string]string
}

// Leader returns the VM that last led a group, or "".
func (f *Finder) Leader(group string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[group]
}

// SetLeader notes that a VM leads a group.
func (f *Finder) SetLeader(group, vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.vms == nil {
		f.vms = make(map[string]string)
	}
	f.vms[group] = vm
}

// Call is one call to the leader of a group, whichever VM that is. Run asks one VM; it must be
// idempotent, because it is tried again when an answer was lost.
type Call struct {
	Group   string
	Members []string      // VMs to ask, the most likely first
	Stale   time.Duration // a try that took longer is not repeated, because what it says is old; 0 for no bound
	Clock   pj.Clock
	Run     func(ctx context.Context, vm string) error
}

// Do asks VMs until one answers as the leader, or ctx ends. It returns when the try that was answered
// had been sent.
func (f *Finder) Do(ctx context.Context, c Call) (time.Duration, error) {
	s := search{members: c.Members, next: f.Leader(c.Group)}
	t := tries{group: c.Group, stale: c.Stale}
	for ctx.Err() == nil {
		vm, wrapped := s.pick()
		if vm == "" {
			return 0, pj.Refuse(pj.CodeNoQuorum, "no VM is a replica of %s", c.Group)
		}
		if wrapped && !Pause(ctx, tryAgain) {
			break
		}
		sent := c.Clock.Now()
		err := c.Run(ctx, vm)
		if err == nil {
			f.SetLeader(c.Group, vm)
			return sent, nil
		}
		if t.ended(&s, err, vm, c.Clock.Now()-sent) {
			return 0, t.final(err)
		}
	}
	return 0, t.noLeader()
}

// tries is what was learned from the tries of one call.
type tries struct {
	group     string
	stale     time.Duration
	uncertain bool  // some try may have had an effect
	last      error // of the last try
}

// ended takes in a failed try and reports whether the call ends with it.
func (t *tries) ended(s *search, err error, vm string, took time.Duration) bool {
	t.last = err
	stale := t.stale > 0 && took > t.stale
	var e *pj.Error
	if !errors.As(err, &e) {
		t.uncertain = true
		return stale
	}
	s.hint(e.Leader, vm)
	switch e.Code {
	case pj.CodeOutcomeUnknown:
		t.uncertain = true
		return stale
	case pj.CodeNotLeader, pj.CodeNoQuorum:
		return stale
	default:
		return true
	}
}

// final returns the error with which the call ends.
func (t *tries) final(err error) error {
	var e *pj.Error
	if !errors.As(err, &e) {
		return pj.Refuse(pj.CodeNotLeader, "the leader of %s was lost", t.group)
	}
	if t.uncertain {
		return pj.ClearNotRun(err)
	}
	return err
}

func (t *tries) noLeader() error {
	if t.uncertain {
		return pj.Fail(pj.CodeOutcomeUnknown, "the leader of %s did not answer in time: %v", t.group, t.last)
	}
	e := pj.Refuse(pj.CodeNoQuorum, "%s has no leader with a quorum that can be reached: %v", t.group, t.last)
	e.RetryAfter = pj.Duration(time.Second)
	return e
}

// Pause waits and reports whether ctx is still alive.
func Pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// search goes through the members of a group, led by what they say of their leader.
type search struct {
	members []string
	next    string
	at      int
}

// pick returns the VM to ask next; wrapped says that all members were asked before.
func (s *search) pick() (vm string, wrapped bool) {
	if s.next != "" {
		vm = s.next
		s.next = ""
		return vm, false
	}
	if len(s.members) == 0 {
		return "", false
	}
	wrapped = s.at > 0 && s.at%len(s.members) == 0
	vm = s.members[s.at%len(s.members)]
	s.at++
	return vm, wrapped
}

func (s *search) hint(leader, from string) {
	if leader != "" && leader != from && s.at <= hintsMost*len(s.members) {
		s.next = leader
		s.at++
	}
}
