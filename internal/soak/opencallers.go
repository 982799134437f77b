package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	pj "papayajunction"
)

// Parameters of the callers that use open connections.
const (
	openCallers       = 24
	openCallerPause   = 20 * time.Millisecond // between two requests of one caller
	openCallerTimeout = 12 * time.Second      // longer than a VM may hold a request, so that it is the VM that ends the connection
	openCallerIDBase  = 1 << 40               // of the ids of their jobs
	closeSlack        = 200 * time.Millisecond
)

// openTransport is an HTTP transport that keeps its connections open, and records the requests that were sent in full and whose connection ended without
// a complete answer, later than the slack after that: the VM had time to read them. The zero value is ready for use.
type openTransport struct {
	connections http.Transport
	slack       time.Duration

	mu         sync.Mutex
	requests   int
	incomplete []string
}

// RoundTrip implements http.RoundTripper.
func (t *openTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	x := exchange{transport: t, address: r.URL.Host}
	response, err := t.connections.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GetConn:      func(string) { x.ended() }, // the transport tries again what may be repeated
		WroteRequest: func(info httptrace.WroteRequestInfo) { x.written(info.Err == nil) },
	})))
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		if r.Context().Err() == nil {
			x.ended()
		}
		return nil, fmt.Errorf("exchange with %s: %w", r.URL.Host, err)
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// countRequest counts one request.
func (t *openTransport) countRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
}

// close closes the idle connections.
func (t *openTransport) close() {
	t.connections.CloseIdleConnections()
}

// exchange is one request and its attempts. Its methods are safe for concurrent use, as the transport calls them on goroutines of its own.
type exchange struct {
	transport *openTransport
	address   string

	mu     sync.Mutex
	sentAt time.Time // of the current attempt; zero if it wasn't sent in full
}

func (x *exchange) written(complete bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if complete {
		x.sentAt = time.Now()
	}
}

// ended is called when an attempt has ended without a complete answer, and before the first one.
func (x *exchange) ended() {
	x.mu.Lock()
	held := time.Since(x.sentAt)
	sent := !x.sentAt.IsZero()
	x.sentAt = time.Time{}
	x.mu.Unlock()
	if sent && held > x.transport.slack {
		x.transport.mu.Lock()
		defer x.transport.mu.Unlock()
		x.transport.incomplete = append(x.transport.incomplete, fmt.Sprintf("%s held a request for %v and didn't answer it, at %s", x.address, held.Round(time.Millisecond), time.Now().UTC().Format(time.RFC3339Nano)))
	}
}

// callOpenly sends requests of one caller to one entry until ctx ends, whether that entry is stopping or not. The connection stays open for as long
// as the entry lets it. Each second request is one that only the leader can answer.
func (l *load) callOpenly(ctx context.Context, client Client, transport *openTransport, entry, id string) {
	route, w := newWork(id)
	for ; ctx.Err() == nil; waitFor(ctx, openCallerPause) {
		transport.countRequest()
		err := client.Submit(ctx, entry, route, apiKey, w)
		switch _, permanent := refused(err); {
		case err == nil:
			l.mu.Lock()
			if l.jobs[id] == nil {
				l.jobs[id] = &job{accepted: true, key: apiKey}
			}
			l.mu.Unlock()
		case permanent:
			l.recordViolation("job %s was refused: %v", id, err)
		}
		transport.countRequest()
		if _, err := client.State(ctx, entry, route, apiKey, id); err != nil && pj.AsError(err).Code == pj.CodeUnknownJob && l.accepted(id) {
			l.recordViolation("job %s was accepted and is no longer found", id)
		}
	}
}

func (l *load) accepted(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[id] != nil && l.jobs[id].accepted
}

// startOpenCallers starts the callers that use open connections, and returns a function that waits for them after ctx has ended and records a violation
// for each request without a complete answer.
func (l *load) startOpenCallers(ctx context.Context, newClient func(http.RoundTripper, time.Duration) Client) (finish func(out io.Writer)) {
	transport := openTransport{slack: closeSlack}
	client := newClient(&transport, openCallerTimeout)
	transport.connections.MaxIdleConnsPerHost = openCallers
	entries := l.addresses(entryRole, frontPort)
	var callers sync.WaitGroup
	for i := range openCallers {
		callers.Go(func() { l.callOpenly(ctx, client, &transport, entries[i%len(entries)], jobID(openCallerIDBase+i)) })
	}
	return func(out io.Writer) {
		callers.Wait()
		transport.close()
		transport.mu.Lock()
		defer transport.mu.Unlock()
		for _, held := range transport.incomplete {
			l.recordViolation("%s", held)
		}
		_, _ = fmt.Fprintf(out, "open_connections requests=%d unanswered=%d\n", transport.requests, len(transport.incomplete))
	}
}
