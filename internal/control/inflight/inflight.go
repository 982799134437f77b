// Package inflight tracks the submissions whose commit is in flight. Until it ends, the replicated state doesn't tell whether there is work
// under the id, so calls that concern the id wait for it.
package inflight

// Submissions is the set of submissions in flight, by id. The zero value is empty. It is not safe for concurrent use.
type Submissions struct {
	waiting map[string][]func(error)
}

// Begin adds a submission.
func (s *Submissions) Begin(id string) {
	if s.waiting == nil {
		s.waiting = make(map[string][]func(error))
	}
	s.waiting[id] = nil
}

// End removes a submission and calls, in their order, the functions that wait for it with its error.
func (s *Submissions) End(id string, err error) {
	waiting := s.waiting[id]
	delete(s.waiting, id)
	for _, next := range waiting {
		next(err)
	}
}

// Await makes next wait for the submission under the id. It reports false, and doesn't keep next, if there is none in flight.
func (s *Submissions) Await(id string, next func(error)) bool {
	waiting, ok := s.waiting[id]
	if ok {
		s.waiting[id] = append(waiting, next)
	}
	return ok
}

// Contains reports whether a submission under the id is in flight.
func (s *Submissions) Contains(id string) bool {
	_, ok := s.waiting[id]
	return ok
}
