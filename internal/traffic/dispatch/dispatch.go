// Package dispatch sends a request to the endpoint that a cell's leader grants, and checks that
// what comes back is the whole answer to that request.
package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	pj "papayajunction"
)

// Headers between the system and endpoints.
const (
	HeaderRequestID = "X-Request-Id" // sent with the request and repeated by the answer
	HeaderNotRun    = "X-Not-Run"    // "true" in an answer that refuses the request unrun
	HeaderQueue     = "X-Queue"
)

// Bounds of connections to endpoints.
const (
	connectionsPerEndpoint = 10 // of one VM; six VMs stay below an endpoint's 64
	idlePerEndpoint        = 4
	idleConnections        = 128
	dialTimeout            = time.Second
	idleTimeout            = 30 * time.Second
	endpointPath           = "/v1/requests"
	bufferBytes            = 128 << 10 // larger answers of known length are streamed
)

// ErrBrokenOff is returned when a streamed answer ended before its announced length; what the caller
// has must not look whole.
var ErrBrokenOff = errors.New("a streamed answer broke off")

// Granter hands out the right to send a request to an endpoint.
type Granter interface {
	Grant(ctx context.Context, zone string, r pj.GrantRequest) (pj.Grant, error)
	Release(zone string, r pj.GrantRelease)
}

// Dispatcher is the last handler of the chain: one try of one request.
type Dispatcher struct {
	granter   Granter
	zones     []string // own zone first, then the others, nearest first
	entry     string
	maxAnswer int64
	transport http.RoundTripper
	now       func() time.Time
	clock     pj.Clock
}

// New returns a dispatcher for a VM and a function that closes its connections. The clock is the one
// that grants are stamped with.
func New(granter Granter, clock pj.Clock, entry string, zones []string, maxAnswer int64) (*Dispatcher, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connectionsPerEndpoint,
		MaxIdleConnsPerHost: idlePerEndpoint,
		MaxIdleConns:        idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      2 << 10,
		WriteBufferSize:     2 << 10,
	}
	d := &Dispatcher{granter: granter, zones: zones, entry: entry, maxAnswer: maxAnswer, transport: transport, now: time.Now, clock: clock}
	return d, transport.CloseIdleConnections
}

// Serve is part of pj.Handler.
func (d *Dispatcher) Serve(ctx context.Context, x *pj.Exchange) error {
	zone, g, err := d.grant(ctx, x)
	if err != nil {
		return err
	}
	x.Waited += time.Duration(g.WaitedMS) * time.Millisecond
	// The leader counts the slot as free again when the grant has lapsed, for example because this
	// process was paused.
	if d.clock.Now() > g.Until {
		d.granter.Release(zone, pj.GrantRelease{ID: g.ID})
		x.Endpoint = g.Endpoint
		return pj.Refuse(pj.CodeNoEndpoint, "the grant for endpoint %s had lapsed", g.Endpoint)
	}
	x.Endpoint = g.Endpoint
	started := d.now()
	err = d.send(ctx, x, g)
	d.granter.Release(zone, pj.GrantRelease{
		ID: g.ID, LatencyMS: max(d.now().Sub(started).Milliseconds(), 1), Failed: err != nil && ctx.Err() == nil,
	})
	return err
}

// grant asks the own zone, then the others, as long as the answer is that none was run.
func (d *Dispatcher) grant(ctx context.Context, x *pj.Exchange) (string, pj.Grant, error) {
	r := pj.GrantRequest{
		Request: x.RequestID + "/" + strconv.Itoa(x.Attempts), Queue: x.Queue.Name, Workspace: x.Queue.Workspace,
		Urgency: x.Queue.Urgency, Entry: d.entry,
	}
	if x.Endpoint != "" {
		r.Avoid = []string{x.Endpoint}
	}
	var first error
	for _, zone := range d.zones {
		r.WaitMS = x.Deadline.Sub(d.now()).Milliseconds()
		if r.WaitMS <= 0 {
			break
		}
		g, err := d.granter.Grant(ctx, zone, r)
		if err == nil {
			return zone, g, nil
		}
		if first == nil {
			first = err
		}
		if !elsewhere(err) {
			return "", pj.Grant{}, err
		}
	}
	if first == nil || ctx.Err() != nil {
		first = pj.Refuse(pj.CodeDeadline, "no slot became free within the time limit")
	}
	return "", pj.Grant{}, first
}

// elsewhere reports whether another zone may still take the request.
func elsewhere(err error) bool {
	switch pj.AsError(err).Code {
	case pj.CodeNoEndpoint, pj.CodeNoQuorum, pj.CodeNotLeader, pj.CodeOverloaded:
		return true
	default:
		return false
	}
}

// send carries the request to the endpoint and takes in the whole answer.
func (d *Dispatcher) send(ctx context.Context, x *pj.Exchange, g pj.Grant) error {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		http.MethodPost, "http://"+g.Address+endpointPath, bytes.NewReader(x.Body))
	if err != nil {
		return pj.Refuse(pj.CodeNoEndpoint, "address %q of endpoint %s can't be used: %v", g.Address, g.Endpoint, err)
	}
	request.Header.Set(HeaderRequestID, x.RequestID)
	request.Header.Set(HeaderQueue, x.Queue.Name)
	if x.ContentType != "" {
		request.Header.Set("Content-Type", x.ContentType)
	}
	request.GetBody = nil // so that the transport never sends the request a second time
	response, err := d.transport.RoundTrip(request)
	if err != nil {
		return d.failed(ctx, x, g, connected, err)
	}
	defer func() { _ = response.Body.Close() }()
	if d.streams(x, response) {
		return d.stream(x, g, response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, d.maxAnswer+1))
	if response.Header.Get(HeaderNotRun) == "true" && err == nil {
		return pj.Refuse(pj.CodeNoEndpoint, "endpoint %s refused the request unrun", g.Endpoint)
	}
	x.Sent = true
	if err != nil {
		return unknown(ctx, "the answer of endpoint %s broke off", g.Endpoint)
	}
	return d.check(x, g, response, body)
}

// streams reports whether an answer is large, of known and allowed length, and this request's own.
func (d *Dispatcher) streams(x *pj.Exchange, response *http.Response) bool {
	return x.Stream != nil && response.ContentLength > bufferBytes && response.ContentLength <= d.maxAnswer &&
		response.StatusCode < http.StatusInternalServerError && response.Header.Get(HeaderNotRun) != "true" &&
		response.Header.Get(HeaderRequestID) == x.RequestID
}

// stream passes a large answer on as it comes. It can't be taken back, so if it breaks off, the
// caller's connection must break off too.
func (d *Dispatcher) stream(x *pj.Exchange, g pj.Grant, response *http.Response) error {
	x.Sent = true
	x.Answer = pj.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Streamed: true}
	out := x.Stream(x.Answer, response.ContentLength)
	if n, err := io.Copy(out, response.Body); err != nil || n != response.ContentLength {
		return fmt.Errorf("endpoint %s sent %d of %d bytes: %w", g.Endpoint, n, response.ContentLength, ErrBrokenOff)
	}
	return nil
}

// failed tells an endpoint that was never reached from one that may have run the request.
func (d *Dispatcher) failed(ctx context.Context, x *pj.Exchange, g pj.Grant, connected bool, err error) error {
	if connected {
		x.Sent = true
		return unknown(ctx, "endpoint %s gave no answer", g.Endpoint)
	}
	if ctx.Err() != nil {
		return pj.Refuse(pj.CodeDeadline, "the time limit ended before endpoint %s was reached", g.Endpoint)
	}
	return pj.Refuse(pj.CodeNoEndpoint, "endpoint %s can't be reached: %v", g.Endpoint, err)
}

func unknown(ctx context.Context, format string, args ...any) *pj.Error {
	e := pj.Fail(pj.CodeOutcomeUnknown, format+"; it may have run the request", args...)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Code = pj.CodeDeadline
	}
	return e
}

// check makes sure that the answer is whole and belongs to this request.
func (d *Dispatcher) check(x *pj.Exchange, g pj.Grant, response *http.Response, body []byte) error {
	if id := response.Header.Get(HeaderRequestID); id != x.RequestID {
		return pj.Fail(pj.CodeBadAnswer, "endpoint %s answered another request than the one sent", g.Endpoint)
	}
	if int64(len(body)) > d.maxAnswer {
		return pj.Fail(pj.CodeBadAnswer, "the answer of endpoint %s is larger than %d bytes", g.Endpoint, d.maxAnswer)
	}
	if length := response.ContentLength; length >= 0 && length != int64(len(body)) {
		return pj.Fail(pj.CodeBadAnswer, "the answer of endpoint %s is %d bytes long instead of %d", g.Endpoint, len(body), length)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return pj.Fail(pj.CodeBadAnswer, "endpoint %s failed with status %d", g.Endpoint, response.StatusCode)
	}
	x.Answer = pj.Answer{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}
	return nil
}
