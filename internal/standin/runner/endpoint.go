// Package runner is a stand-in for an endpoint: it announces itself, takes requests in slots, and
// answers them after some time, or wrongly if it is told to.
package runner

import (
	"context"
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

// Times of announcements.
const (
	announceTTL   = 5 * time.Second
	announceGap   = 50 * time.Millisecond  // between the answer to an announcement and the next one
	announceRetry = 150 * time.Millisecond // after an announcement that failed
	readTimeout   = 10 * time.Second
	maxBody       = 16 << 20
)

// Options configure a stand-in endpoint.
type Options struct {
	Name      string
	Zone      string
	Listen    string // IP; the port is chosen by the system
	Queues    []string
	Slots     int
	Service   time.Duration
	FailRate  float64 // part of the requests answered with status 500
	WrongRate float64 // part of the answers that belong to another request
	LostRate  float64 // part of the answers that break off
	Silent    bool    // take requests and never answer
	Random    func() float64
	Tally     *tally.Tally
}

// Runner is one stand-in endpoint.
type Runner struct {
	options  Options
	address  string
	server   *http.Server
	inFlight atomic.Int64
	leaving  atomic.Bool
	previous sync.Map // holds the last request id, for answers in the wrong order
}

// reply is the answer of the stand-in.
type reply struct {
	Request  string `json:"request"`
	Queue    string `json:"queue"`
	Endpoint string `json:"endpoint"`
	Echo     string `json:"echo"`
}

// New starts an endpoint and returns a function that closes it.
func New(options Options) (*Runner, func(), error) {
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
	r := &Runner{options: options, address: listener.Addr().String()}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: readTimeout}
	go func() {
		if err := r.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = listener.Close()
		}
	}()
	return r, func() { _ = r.server.Close() }, nil
}

// Address returns the IP and port of the endpoint.
func (r *Runner) Address() string {
	return r.address
}

// Leave makes the endpoint announce that it takes no new requests.
func (r *Runner) Leave() {
	r.leaving.Store(true)
}

// InFlight returns the number of requests that run now.
func (r *Runner) InFlight() int {
	return int(r.inFlight.Load())
}

// Announcement returns what the endpoint says of itself now.
func (r *Runner) Announcement() pj.Announcement {
	return pj.Announcement{
		Endpoint: r.options.Name, Address: r.address, Zone: r.options.Zone, Queues: r.options.Queues,
		Slots: r.options.Slots, InFlight: r.InFlight(), Leaving: r.leaving.Load(), TTLMS: announceTTL.Milliseconds(),
	}
}

// Run announces the endpoint until ctx ends, then says that it leaves.
func (r *Runner) Run(ctx context.Context, client *entry.Client) {
	for {
		gap := announceGap
		reply, err := r.announce(ctx, client)
		if err != nil {
			gap = announceRetry
		} else if reply.RenewWithinMS > 0 {
			gap = time.Duration(reply.RenewWithinMS) * time.Millisecond
		}
		select {
		case <-time.After(gap):
		case <-ctx.Done():
			r.Leave()
			_, _ = r.announce(context.Background(), client)
			return
		}
	}
}

func (r *Runner) announce(ctx context.Context, client *entry.Client) (pj.AnnouncementReply, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTTL)
	defer cancel()
	reply, err := client.Announce(ctx, r.Announcement())
	if err == nil {
		client.Prefer(reply.Entry)
	}
	return reply, err
}

func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(io.LimitReader(q.Body, maxBody))
	if err != nil {
		return
	}
	if r.inFlight.Add(1) > int64(r.options.Slots) {
		r.inFlight.Add(-1)
		r.options.Tally.Crowded()
		w.Header().Set(dispatch.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.inFlight.Add(-1)
	id := q.Header.Get(dispatch.HeaderRequestID)
	r.options.Tally.RequestRun(id)
	if !r.work(q.Context()) {
		return
	}
	r.answer(w, id, q.Header.Get(dispatch.HeaderQueue), string(body))
}

// work lets the service time pass and reports whether the caller is still there.
func (r *Runner) work(ctx context.Context) bool {
	if r.options.Silent {
		<-ctx.Done()
		return false
	}
	timer := time.NewTimer(r.options.Service)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (r *Runner) answer(w http.ResponseWriter, id, queue, echo string) {
	data, err := json.Marshal(reply{Request: id, Queue: queue, Endpoint: r.options.Name, Echo: echo})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answered := id
	if before, ok := r.previous.Swap("last", id); ok && r.options.Random() < r.options.WrongRate {
		answered, _ = before.(string)
	}
	w.Header().Set(dispatch.HeaderRequestID, answered)
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.options.Random() < r.options.FailRate:
		w.WriteHeader(http.StatusInternalServerError)
	case r.options.Random() < r.options.LostRate:
		w.Header().Set("Content-Length", fmt.Sprint(len(data)))
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Length", fmt.Sprint(len(data)))
		_, _ = w.Write(data)
	}
}
