// Package inflight tracks the submissions whose commit is in flight. Until it ends, the replicated state doesn't tell whether there is work
// under the id, so calls that concern the id wait for it.
package inflight

import (
	pj "papayajunction"
)

// Submissions is the set of submissions in flight, by id. The zero value is empty. It is not safe for concurrent use.
type Submissions struct {
	waiting map[string][]waiter
}

// waiter is a call that concerns an id whose submission is in flight.
type waiter struct {
	proceed func()
	fail    func(error)
}

// Begin adds a submission.
func (s *Submissions) Begin(id string) {
	if s.waiting == nil {
		s.waiting = make(map[string][]waiter)
	}
	s.waiting[id] = nil
}

// End removes a submission and lets the calls that wait for it proceed, in their order. If it failed, they fail with its error, but without
// NotRun: it may still be committed.
func (s *Submissions) End(id string, err error) {
	waiting := s.waiting[id]
	delete(s.waiting, id)
	for _, w := range waiting {
		if err != nil {
			w.fail(pj.ClearNotRun(err))
			continue
		}
		w.proceed()
	}
}

// Await makes a call wait for the submission under the id. If there is none in flight, it returns false and calls nothing.
func (s *Submissions) Await(id string, proceed func(), fail func(error)) bool {
	waiting, ok := s.waiting[id]
	if ok {
		s.waiting[id] = append(waiting, waiter{proceed: proceed, fail: fail})
	}
	return ok
}

// Contains reports whether a submission under the id is in flight.
func (s *Submissions) Contains(id string) bool {
	_, ok := s.waiting[id]
	return ok
}
