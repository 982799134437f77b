//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The policy of the queues with advice: that of style-pass in the small deployments, but it allows all runners.
const (
	decisionMS  = 390.0
	perWorkerMS = 5.5
	validityMS  = 2000
)

// adviceService is the stand-in for the service that decides which runners may run a step.
type adviceService struct {
	address string

	mu      sync.Mutex
	number  int
	tickets map[string]issued
}

// issued is a ticket for the tasks of a step on a runner.
type issued struct {
	step, worker string
	until        time.Time
}

func newAdviceService(ctx context.Context) (*adviceService, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback(2)+":0")
	if err != nil {
		return nil, fmt.Errorf("listen for advice: %w", err)
	}
	s := &adviceService{address: listener.Addr().String(), tickets: make(map[string]issued)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", s.advise)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

func (s *adviceService) advise(out http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration((decisionMS + perWorkerMS*float64(len(q.Workers))) * float64(time.Millisecond)))
	good := [][2]string{}
	s.mu.Lock()
	for _, id := range q.Workers {
		s.number++
		ticket := fmt.Sprintf("t%d", s.number)
		s.tickets[ticket] = issued{step: q.Step, worker: id, until: time.Now().Add(validityMS * time.Millisecond)}
		good = append(good, [2]string{id, ticket})
	}
	s.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"good": good}) // the caller may have gone
}

// valid reports whether a start on a worker may go ahead; without a service every one may.
func (s *adviceService) valid(ticket, step, worker string) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tickets[ticket]
	return ok && t.step == step && t.worker == worker && time.Now().Before(t.until)
}
