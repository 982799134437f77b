// Package entry is the client of the entry VMs' HTTP interface.
package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	pj "papayajunction"
)

const (
	dialTimeout        = time.Second
	maxIdleConnsPerVM  = 256
	maxResponseBytes   = 64 << 20
	attemptsPerAddress = 2
	retryDelay         = 100 * time.Millisecond
)

// Client sends its calls to one entry VM and fails over to the next when that VM can't serve them.
type Client struct {
	addresses []string
	key       string
	scheme    string
	http      *http.Client
	current   atomic.Uint64 // counter; modulo the number of addresses, the index of the VM in use
}

// Option configures a Client in New.
type Option func(*Client, *http.Transport)

// WithTLS makes the client use TLS with the given configuration; nil has no effect.
func WithTLS(config *tls.Config) Option {
	return func(c *Client, t *http.Transport) {
		if config != nil {
			c.scheme = "https://"
			t.TLSClientConfig = config.Clone()
		}
	}
}

// New returns a client for the entry VMs at the given addresses (IP and port) and a function that
// closes its connections. The key may be empty.
func New(addresses []string, key string, options ...Option) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerVM,
	}
	c := &Client{addresses: addresses, key: key, scheme: "http://", http: &http.Client{Transport: transport}}
	for _, option := range options {
		option(c, transport)
	}
	return c, transport.CloseIdleConnections
}

// WithKey returns a client that shares the connections of c and authenticates with another key.
func (c *Client) WithKey(key string) *Client {
	return &Client{addresses: c.addresses, key: key, scheme: c.scheme, http: c.http}
}

// Prefer directs the next calls to the VM at address; an address that New was not given is ignored.
func (c *Client) Prefer(address string) {
	if i := slices.Index(c.addresses, address); i >= 0 {
		c.current.Store(uint64(i))
	}
}

// Response is an HTTP response with its body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// call sends the value in as JSON and decodes the JSON response into out; either may be nil. It fails over from
// a VM that can't be reached, and from one that reports the work as not run because the VM is
// draining, has no quorum or can't verify keys.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	return c.callWith(ctx, method, path, in, out, true)
}

// callWith is like call; without idempotent, a call whose response was lost is not sent again.
func (c *Client) callWith(ctx context.Context, method, path string, in, out any, idempotent bool) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = data
	}
	response, err := c.sendWithFailover(ctx, method, path, "application/json", body, idempotent)
	if err != nil {
		return err
	}
	if response.Status >= http.StatusBadRequest {
		return pj.Fail(pj.CodeBadResponse, "status %d from something between this client and the VM", response.Status)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// sendWithFailover sends a request to the addresses in turn until a VM responds with anything but an error
// that calls for failover, in at most attemptsPerAddress attempts per address. With idempotent, it also
// fails over after an attempt whose response was lost.
func (c *Client) sendWithFailover(ctx context.Context, method, path, contentType string, body []byte, idempotent bool) (Response, error) {
	var lastErr error
	mayHaveRun := false
	for attempt := range attemptsPerAddress * len(c.addresses) {
		if attempt >= len(c.addresses) && !waitRetryDelay(ctx) {
			break
		}
		address := c.addresses[c.current.Load()%uint64(len(c.addresses))]
		response, err := c.send(ctx, method, c.scheme+address+path, contentType, body)
		if err == nil {
			return response, nil
		}
		failOver := shouldFailOver(err, idempotent)
		if mayHaveRun {
			err = pj.ClearNotRun(err)
		}
		mayHaveRun = mayHaveRun || !certainlyNotRun(err)
		lastErr = err
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.current.Add(1) // the VM may be paused or partitioned; the next call goes to another
		}
		if !failOver || ctx.Err() != nil {
			return response, err
		}
		c.current.Add(1)
	}
	if lastErr == nil {
		lastErr = errors.New("no entry VM addresses configured")
	}
	return Response{}, lastErr
}

// waitRetryDelay returns false if ctx ended first.
func waitRetryDelay(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

// certainlyNotRun reports whether a failed attempt can't have had any effect.
func certainlyNotRun(err error) bool {
	var e *pj.Error
	if errors.As(err, &e) {
		return e.NotRun
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func shouldFailOver(err error, idempotent bool) bool {
	var e *pj.Error
	if errors.As(err, &e) {
		otherVMMayServe := e.Code == pj.CodeDraining || e.Code == pj.CodeNoQuorum || e.Code == pj.CodeKeysUnknown
		return otherVMMayServe && (e.NotRun || idempotent)
	}
	return idempotent || certainlyNotRun(err)
}

func (c *Client) send(ctx context.Context, method, target, contentType string, body []byte) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return Response{}, fmt.Errorf("create request: %w", err)
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", contentType)
	}
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return Response{}, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, fmt.Errorf("read response: %w", err)
	}
	if len(data) > maxResponseBytes {
		return Response{}, fmt.Errorf("the response is larger than %d bytes", maxResponseBytes)
	}
	response := Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: data}
	if httpResponse.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	e := &pj.Error{}
	if json.Unmarshal(data, e) != nil || e.Code == "" {
		return response, nil // an error response of the endpoint, not of the entry VM
	}
	return response, e
}

// Raw sends a body unchanged to the VM at the first address, without failover, and returns the status
// of the response.
func (c *Client) Raw(ctx context.Context, method, path string, body []byte) (status int, err error) {
	response, err := c.send(ctx, method, c.scheme+c.addresses[0]+path, "application/json", body)
	return response.Status, err
}

// Request sends a request to a queue and returns the endpoint's response.
func (c *Client) Request(ctx context.Context, queue string, body []byte) (Response, error) {
	return c.sendWithFailover(ctx, http.MethodPost, "/v1/queues/"+url.PathEscape(queue)+"/requests", "application/octet-stream", body, false)
}

// Submit creates a job. It is idempotent: a second call with the same id refers to the same job.
func (c *Client) Submit(ctx context.Context, id string, s pj.Submission) (st pj.JobStatus, err error) {
	return st, c.call(ctx, http.MethodPut, "/v1/jobs/"+url.PathEscape(id), s, &st)
}

// Job returns a job's status. With wait it long-polls: the response comes once the job has ended or wait is over.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (st pj.JobStatus, err error) {
	path := "/v1/jobs/" + url.PathEscape(id)
	if wait > 0 {
		path += "?wait=" + wait.String()
	}
	return st, c.call(ctx, http.MethodGet, path, nil, &st)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (st pj.JobStatus, err error) {
	return st, c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, &st)
}

// Report sends a worker's report.
func (c *Client) Report(ctx context.Context, r pj.WorkerReport) (reply pj.WorkerReportReply, err error) {
	return reply, c.call(ctx, http.MethodPost, "/v1/workers/"+url.PathEscape(r.Worker)+"/report", r, &reply)
}

// Announce registers an endpoint or renews its registration.
func (c *Client) Announce(ctx context.Context, a pj.EndpointAnnouncement) (reply pj.EndpointAnnouncementReply, err error) {
	return reply, c.call(ctx, http.MethodPost, "/v1/endpoints", a, &reply)
}

// Publish replaces the configuration.
func (c *Client) Publish(ctx context.Context, p pj.Publication) (reply pj.PublicationReply, err error) {
	return reply, c.call(ctx, http.MethodPut, "/v1/configuration", p, &reply)
}

// Configuration returns the configuration in force, once it has at least the given version.
func (c *Client) Configuration(ctx context.Context, minVersion uint64) (config pj.Configuration, err error) {
	return config, c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/configuration?at_least=%d", minVersion), nil, &config)
}

// Status returns the system status that operators see.
func (c *Client) Status(ctx context.Context) (st pj.Status, err error) {
	return st, c.call(ctx, http.MethodGet, "/v1/status", nil, &st)
}

// Drain drains a worker or endpoint, or cancels its drain.
func (c *Client) Drain(ctx context.Context, d pj.Drain) error {
	return c.call(ctx, http.MethodPost, "/v1/drains", d, nil)
}

// GrantKey issues a key for a workspace. It is not idempotent: if the response is lost, a key may exist whose secret
// nobody has received.
func (c *Client) GrantKey(ctx context.Context, k pj.IssuedKey) (issued pj.IssuedKey, err error) {
	return issued, c.callWith(ctx, http.MethodPost, keysPath(k.Workspace), k, &issued, false)
}

// WithdrawKey withdraws a key, which then stops being accepted.
func (c *Client) WithdrawKey(ctx context.Context, workspace, id string) error {
	return c.call(ctx, http.MethodDelete, keysPath(workspace)+"/"+url.PathEscape(id), nil, nil)
}

// Keys lists the keys of a workspace, or all keys if workspace is empty.
func (c *Client) Keys(ctx context.Context, workspace string) (keys []pj.Key, err error) {
	if workspace == "" {
		workspace = "-"
	}
	return keys, c.call(ctx, http.MethodGet, keysPath(workspace), nil, &keys)
}

func keysPath(workspace string) string {
	return "/v1/workspaces/" + url.PathEscape(workspace) + "/keys"
}
