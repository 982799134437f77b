// Package endpoint is a stand-in for an endpoint: it announces itself, accepts as many requests at once as it has slots,
// and responds to each after a fixed service time, with configurable rates of failures.
package endpoint

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
	"papayajunction/internal/standin/tally"
	"papayajunction/internal/traffic/dispatch"
)

// Announcement timing and request limits.
const (
	announceTTL        = 5 * time.Second
	announceDelay      = 50 * time.Millisecond  // from the reply to an announcement to the next announcement, if the reply sets no time
	announceRetryDelay = 150 * time.Millisecond // after a failed announcement
	readTimeout        = 10 * time.Second
	maxBodyBytes       = 16 << 20
)

// Options configure a stand-in endpoint.
type Options struct {
	Name           string
	Zone           string
	Listen         string // IP; the port is chosen by the system
	Queues         []string
	Slots          int
	ServiceTime    time.Duration
	FailRate       float64 // fraction of responses with status 500
	MismatchRate   float64 // fraction of responses that carry the id of the previous request
	TruncationRate float64 // fraction of responses that are truncated at half their length
	Unresponsive   bool    // accept requests and never respond
	Random         func() float64
	Tally          *tally.Tally
}

// Endpoint is a stand-in endpoint.
type Endpoint struct {
	options     Options
	incarnation string
	sequence    atomic.Uint64 // of the last announcement
	term        atomic.Uint64 // highest term of a leader in the replies
	address     string
	server      *http.Server
	inFlight    atomic.Int64
	draining    atomic.Bool
	lastRequest sync.Map // id of the previous request under the key "last", for responses with a wrong id
}

// response is the body of a response.
type response struct {
	Request  string `json:"request"`
	Queue    string `json:"queue"`
	Endpoint string `json:"endpoint"`
	Echo     string `json:"echo"`
}

// New starts an endpoint and returns it with a function that closes it.
func New(options Options) (*Endpoint, func(), error) {
	if options.Random == nil {
		options.Random = func() float64 { return 1 }
	}
	if options.Tally == nil {
		options.Tally = &tally.Tally{}
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(options.Listen, "0"))
	if err != nil {
		return nil, nil, fmt.Errorf("listen for endpoint %s: %w", options.Name, err)
	}
	e := &Endpoint{options: options, incarnation: rand.Text(), address: listener.Addr().String()}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: readTimeout}
	go func() {
		if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = listener.Close()
		}
	}()
	return e, func() { _ = e.server.Close() }, nil
}

// Address returns the IP and port of the endpoint.
func (e *Endpoint) Address() string {
	return e.address
}

// Drain makes the endpoint announce that it accepts no new requests.
func (e *Endpoint) Drain() {
	e.draining.Store(true)
}

// InFlight returns the number of requests being served.
func (e *Endpoint) InFlight() int {
	return int(e.inFlight.Load())
}

// Announcement returns the next announcement.
func (e *Endpoint) Announcement() pj.EndpointAnnouncement {
	return pj.EndpointAnnouncement{
		Incarnation: e.incarnation, Sequence: e.sequence.Add(1), Term: e.term.Load(),
		Endpoint: e.options.Name, Address: e.address, Zone: e.options.Zone, Queues: e.options.Queues,
		Slots: e.options.Slots, InFlight: e.InFlight(), Draining: e.draining.Load(), TTLMS: announceTTL.Milliseconds(),
	}
}

// Run announces the endpoint repeatedly until ctx ends, and then once more as draining.
func (e *Endpoint) Run(ctx context.Context, client *entry.Client) {
	for {
		delay := announceDelay
		reply, err := e.announce(ctx, client)
		if err != nil {
			delay = announceRetryDelay
		} else if reply.RenewWithinMS > 0 {
			delay = time.Duration(reply.RenewWithinMS) * time.Millisecond
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			e.Drain()
			_, _ = e.announce(context.Background(), client)
			return
		}
	}
}

func (e *Endpoint) announce(ctx context.Context, client *entry.Client) (pj.EndpointAnnouncementReply, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTTL)
	defer cancel()
	reply, err := client.Announce(ctx, e.Announcement())
	if err == nil {
		client.Prefer(reply.NextEntry)
		e.term.Store(max(e.term.Load(), reply.Term))
	}
	return reply, err
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if e.inFlight.Add(1) > int64(e.options.Slots) {
		e.inFlight.Add(-1)
		e.options.Tally.SlotsExceeded()
		w.Header().Set(dispatch.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.inFlight.Add(-1)
	id := r.Header.Get(dispatch.HeaderRequestID)
	e.options.Tally.RequestRun(id)
	if !e.simulateService(r.Context()) {
		return
	}
	e.respond(w, id, r.Header.Get(dispatch.HeaderQueue), string(body))
}

// simulateService waits for the service time and reports whether the caller is still connected.
func (e *Endpoint) simulateService(ctx context.Context) bool {
	if e.options.Unresponsive {
		<-ctx.Done()
		return false
	}
	timer := time.NewTimer(e.options.ServiceTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (e *Endpoint) respond(w http.ResponseWriter, id, queue, echo string) {
	data, err := json.Marshal(response{Request: id, Queue: queue, Endpoint: e.options.Name, Echo: echo})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	responseID := id
	if previous, ok := e.lastRequest.Swap("last", id); ok && e.options.Random() < e.options.MismatchRate {
		responseID, _ = previous.(string)
	}
	w.Header().Set(dispatch.HeaderRequestID, responseID)
	w.Header().Set("Content-Type", "application/json")
	switch {
	case e.options.Random() < e.options.FailRate:
		w.WriteHeader(http.StatusInternalServerError)
	case e.options.Random() < e.options.TruncationRate:
		w.Header().Set("Content-Length", fmt.Sprint(len(data)))
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Length", fmt.Sprint(len(data)))
		_, _ = w.Write(data)
	}
}
