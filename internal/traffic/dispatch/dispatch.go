// Package dispatch sends a request to the endpoint that a cell's leader grants, and verifies that the
// response is complete and belongs to that request.
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

// HTTP headers of the protocol between entry VMs and endpoints.
const (
	HeaderRequestID = "X-Request-Id" // sent with the request and echoed in the response
	HeaderNotRun    = "X-Not-Run"    // "true" in a response that rejects the request without running it
	HeaderQueue     = "X-Queue"      // name of the queue, sent with the request
)

// Settings of the connections to endpoints.
const (
	maxConnsPerEndpoint     = 10 // from one VM, so that six VMs stay below an endpoint's limit of 64
	maxIdleConnsPerEndpoint = 4
	maxIdleConns            = 128
	dialTimeout             = time.Second
	idleConnTimeout         = 30 * time.Second
	endpointPath            = "/v1/requests"
	maxBufferedBytes        = 128 << 10 // larger responses of known length are streamed
)

// ErrTruncated is returned when a streamed response ended before its announced length. The part that has
// already been passed on must not look complete to the caller.
var ErrTruncated = errors.New("streamed response truncated")

// Granter obtains grants from the leader of a zone's cell. A grant permits sending one request to one endpoint.
type Granter interface {
	Grant(ctx context.Context, zone string, r pj.GrantRequest) (pj.Grant, error)
	Release(zone string, r pj.GrantRelease)
}

// Dispatcher is the last handler of the chain. Each call of Serve is one attempt of a request.
type Dispatcher struct {
	granter          Granter
	zones            []string // the local zone, then the others by distance
	vm               string
	maxResponseBytes int64
	transport        http.RoundTripper
	now              func() time.Time
	clock            pj.Clock
}

// New returns a dispatcher for a VM and a function that closes its connections. The clock must be the
// one by which pj.Grant.ExpiresAt is set.
func New(granter Granter, clock pj.Clock, vm string, zones []string, maxResponseBytes int64) (*Dispatcher, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConnsPerEndpoint,
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
		MaxIdleConns:        maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      2 << 10,
		WriteBufferSize:     2 << 10,
	}
	d := &Dispatcher{granter: granter, zones: zones, vm: vm, maxResponseBytes: maxResponseBytes, transport: transport, now: time.Now, clock: clock}
	return d, transport.CloseIdleConnections
}

// Serve implements pj.Handler.
func (d *Dispatcher) Serve(ctx context.Context, x *pj.Exchange) error {
	zone, g, err := d.acquireGrant(ctx, x)
	if err != nil {
		return notSent(err)
	}
	x.Waited += time.Duration(g.WaitedMS) * time.Millisecond
	// Once a grant has expired, for example because this process was paused, the leader counts its
	// slot as free again.
	if d.clock.Now() > g.ExpiresAt {
		d.granter.Release(zone, pj.GrantRelease{ID: g.ID})
		x.Endpoint = g.Endpoint
		return pj.Refuse(pj.CodeNoEndpoint, "the grant for endpoint %s expired", g.Endpoint)
	}
	x.Endpoint = g.Endpoint
	started := d.now()
	err = d.send(ctx, x, g)
	d.granter.Release(zone, pj.GrantRelease{
		ID: g.ID, LatencyMS: max(d.now().Sub(started).Milliseconds(), 1), Failed: err != nil && ctx.Err() == nil,
	})
	return err
}

// acquireGrant requests a grant from the local zone, then from the others as long as the request was not
// run and another zone may accept it. It also returns the zone that granted.
func (d *Dispatcher) acquireGrant(ctx context.Context, x *pj.Exchange) (string, pj.Grant, error) {
	r := pj.GrantRequest{
		Request: x.RequestID + "/" + strconv.Itoa(x.Attempts), Queue: x.Queue.Name, Workspace: x.Queue.Workspace,
		Urgency: x.Queue.Urgency, Entry: d.vm,
	}
	if x.Endpoint != "" {
		r.Avoid = []string{x.Endpoint}
	}
	var firstErr error
	for _, zone := range d.zones {
		r.WaitMS = x.Deadline.Sub(d.now()).Milliseconds()
		if r.WaitMS <= 0 {
			break
		}
		g, err := d.granter.Grant(ctx, zone, r)
		if err == nil {
			return zone, g, nil
		}
		if firstErr == nil {
			firstErr = err
		}
		if !mayTryOtherZone(err) {
			return "", pj.Grant{}, err
		}
	}
	if firstErr == nil || ctx.Err() != nil {
		firstErr = pj.Refuse(pj.CodeDeadline, "no slot became free within the time limit")
	}
	return "", pj.Grant{}, firstErr
}

// notSent returns the error of an attempt without a grant. Whatever became of the call for the grant, the request was not
// sent to an endpoint.
func notSent(err error) error {
	e := *pj.AsError(err)
	e.NotRun = true
	return &e
}

// mayTryOtherZone reports whether another zone may still accept the request.
func mayTryOtherZone(err error) bool {
	switch pj.AsError(err).Code {
	case pj.CodeNoEndpoint, pj.CodeNoQuorum, pj.CodeNotLeader, pj.CodeOverloaded:
		return true
	default:
		return false
	}
}

// send sends the request to the endpoint and receives the response.
func (d *Dispatcher) send(ctx context.Context, x *pj.Exchange, g pj.Grant) error {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		http.MethodPost, "http://"+g.Address+endpointPath, bytes.NewReader(x.Body))
	if err != nil {
		return pj.Refuse(pj.CodeNoEndpoint, "address %q of endpoint %s is invalid: %v", g.Address, g.Endpoint, err)
	}
	request.Header.Set(HeaderRequestID, x.RequestID)
	request.Header.Set(HeaderQueue, x.Queue.Name)
	if x.ContentType != "" {
		request.Header.Set("Content-Type", x.ContentType)
	}
	request.GetBody = nil // so that the transport never sends the request a second time
	response, err := d.transport.RoundTrip(request)
	if err != nil {
		return d.sendError(ctx, x, g, connected, err)
	}
	defer func() { _ = response.Body.Close() }()
	if d.canStream(x, response) {
		return d.stream(x, g, response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, d.maxResponseBytes+1))
	if err == nil && isRejection(x, response) {
		return pj.Refuse(pj.CodeNoEndpoint, "endpoint %s rejected the request without running it", g.Endpoint)
	}
	x.Sent = true
	if err != nil {
		return outcomeUnknown(ctx, "the response of endpoint %s was truncated", g.Endpoint)
	}
	return d.accept(x, g, response, body)
}

// isRejection reports whether the endpoint rejected this request without running it. A rejection needn't echo the
// request's id, but one with another id is the response to another request.
func isRejection(x *pj.Exchange, response *http.Response) bool {
	id := response.Header.Get(HeaderRequestID)
	return response.Header.Get(HeaderNotRun) == "true" && (id == "" || id == x.RequestID)
}

// canStream reports whether the caller accepts a stream and the response is large, of known and allowed
// length, no server error, and belongs to this request.
func (d *Dispatcher) canStream(x *pj.Exchange, response *http.Response) bool {
	return x.Stream != nil && response.ContentLength > maxBufferedBytes && response.ContentLength <= d.maxResponseBytes &&
		response.StatusCode < http.StatusInternalServerError && response.Header.Get(HeaderNotRun) != "true" &&
		response.Header.Get(HeaderRequestID) == x.RequestID
}

// stream passes a large response on as it arrives. Bytes already sent can't be revoked, so if the
// response is truncated, the caller's connection must be aborted too.
func (d *Dispatcher) stream(x *pj.Exchange, g pj.Grant, response *http.Response) error {
	x.Sent = true
	x.Response = pj.Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Streamed: true}
	callerWriter := x.Stream(x.Response, response.ContentLength)
	if n, err := io.Copy(callerWriter, response.Body); err != nil || n != response.ContentLength {
		return fmt.Errorf("endpoint %s sent %d of %d bytes: %w", g.Endpoint, n, response.ContentLength, ErrTruncated)
	}
	return nil
}

// sendError returns the error for a request without a response: "not run" only if no connection to the
// endpoint was made, since otherwise it may have run the request.
func (d *Dispatcher) sendError(ctx context.Context, x *pj.Exchange, g pj.Grant, connected bool, err error) error {
	if connected {
		x.Sent = true
		return outcomeUnknown(ctx, "endpoint %s did not respond", g.Endpoint)
	}
	if ctx.Err() != nil {
		return pj.Refuse(pj.CodeDeadline, "the time limit expired before endpoint %s was reached", g.Endpoint)
	}
	return pj.Refuse(pj.CodeNoEndpoint, "endpoint %s is unreachable: %v", g.Endpoint, err)
}

func outcomeUnknown(ctx context.Context, format string, args ...any) *pj.Error {
	e := pj.Fail(pj.CodeOutcomeUnknown, format+"; it may have run the request", args...)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Code = pj.CodeDeadline
	}
	return e
}

// accept stores a response in the exchange once it has verified that the response is complete and belongs
// to this request.
func (d *Dispatcher) accept(x *pj.Exchange, g pj.Grant, response *http.Response, body []byte) error {
	if id := response.Header.Get(HeaderRequestID); id != x.RequestID {
		return pj.Fail(pj.CodeBadResponse, "endpoint %s sent the response to another request", g.Endpoint)
	}
	if int64(len(body)) > d.maxResponseBytes {
		return pj.Fail(pj.CodeBadResponse, "the response of endpoint %s is larger than %d bytes", g.Endpoint, d.maxResponseBytes)
	}
	if length := response.ContentLength; length >= 0 && length != int64(len(body)) {
		return pj.Fail(pj.CodeBadResponse, "the response of endpoint %s has %d bytes instead of the announced %d", g.Endpoint, len(body), length)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return pj.Fail(pj.CodeBadResponse, "endpoint %s failed with status %d", g.Endpoint, response.StatusCode)
	}
	x.Response = pj.Response{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}
	return nil
}
