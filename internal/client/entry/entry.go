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
	dialTimeout     = time.Second
	idlePerVM       = 256
	maxAnswerBytes  = 64 << 20
	triesPerAddress = 2
	betweenTries    = 100 * time.Millisecond
)

// Client sends requests to the first entry VM that answers.
type Client struct {
	addresses []string
	key       string
	scheme    string
	http      *http.Client
	at        atomic.Uint64
}

// Option changes a Client at its construction.
type Option func(*Client, *http.Transport)

// WithTLS makes the client speak TLS with the given configuration; nil changes nothing.
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
		MaxIdleConnsPerHost: idlePerVM,
	}
	c := &Client{addresses: addresses, key: key, scheme: "http://", http: &http.Client{Transport: transport}}
	for _, option := range options {
		option(c, transport)
	}
	return c, transport.CloseIdleConnections
}

// WithKey returns a client that shares the connections and sends another key.
func (c *Client) WithKey(key string) *Client {
	return &Client{addresses: c.addresses, key: key, scheme: c.scheme, http: c.http}
}

// Prefer makes the next calls go to the VM at an address, if that is one of the client's.
func (c *Client) Prefer(address string) {
	if i := slices.Index(c.addresses, address); i >= 0 {
		c.at.Store(uint64(i))
	}
}

// Reply is an answer with its headers.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// call sends JSON and decodes JSON. A VM that can't be reached, or that says the work was not run
// because it is stopping or has no leader, is passed over.
func (c *Client) call(ctx context.Context, method, path string, send, receive any) error {
	var body []byte
	if send != nil {
		data, err := json.Marshal(send)
		if err != nil {
			return fmt.Errorf("write request: %w", err)
		}
		body = data
	}
	reply, err := c.tryAll(ctx, method, path, "application/json", body, true)
	if err != nil {
		return err
	}
	if receive == nil {
		return nil
	}
	if err := json.Unmarshal(reply.Body, receive); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}

// tryAll goes through the addresses. With idempotent, a lost answer is no reason to stop.
func (c *Client) tryAll(ctx context.Context, method, path, contentType string, body []byte, idempotent bool) (Reply, error) {
	var last error
	uncertain := false
	for try := range triesPerAddress * len(c.addresses) {
		if try >= len(c.addresses) && !pause(ctx) {
			break
		}
		address := c.addresses[c.at.Load()%uint64(len(c.addresses))]
		reply, err := c.once(ctx, method, c.scheme+address+path, contentType, body)
		if err == nil {
			return reply, nil
		}
		if uncertain {
			err = pj.AfterUnknown(err)
		}
		uncertain = uncertain || !certainlyNotSent(err)
		last = err
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.at.Add(1) // the VM may be paused or cut off; the next call goes to another
		}
		if !passOver(err, idempotent) || ctx.Err() != nil {
			return reply, err
		}
		c.at.Add(1)
	}
	if last == nil {
		last = errors.New("no entry VM is known")
	}
	return Reply{}, last
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(betweenTries):
		return true
	}
}

// certainlyNotSent reports whether a try can't have had any effect.
func certainlyNotSent(err error) bool {
	var e *pj.Error
	if errors.As(err, &e) {
		return e.NotRun
	}
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

func passOver(err error, idempotent bool) bool {
	var e *pj.Error
	if errors.As(err, &e) {
		return e.NotRun && (e.Code == pj.CodeDraining || e.Code == pj.CodeNoQuorum || e.Code == pj.CodeKeysUnknown)
	}
	return idempotent || certainlyNotSent(err)
}

func (c *Client) once(ctx context.Context, method, target, contentType string, body []byte) (Reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return Reply{}, fmt.Errorf("make request: %w", err)
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Reply{}, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Reply{}, fmt.Errorf("read answer: %w", err)
	}
	reply := Reply{Status: response.StatusCode, Header: response.Header, Body: data}
	if response.StatusCode < http.StatusBadRequest {
		return reply, nil
	}
	e := &pj.Error{}
	if json.Unmarshal(data, e) != nil || e.Code == "" {
		return reply, nil // an endpoint's own answer
	}
	return reply, e
}

// Raw sends a body as it is to the first VM and returns the status of the answer.
func (c *Client) Raw(ctx context.Context, method, path string, body []byte) (status int, err error) {
	reply, err := c.once(ctx, method, c.scheme+c.addresses[0]+path, "application/json", body)
	return reply.Status, err
}

// Request sends a quick request and returns the endpoint's answer.
func (c *Client) Request(ctx context.Context, queue string, body []byte) (Reply, error) {
	return c.tryAll(ctx, http.MethodPost, "/v1/queues/"+url.PathEscape(queue)+"/requests", "application/octet-stream", body, false)
}

// Submit makes a job; sent again with the same id it is the same job.
func (c *Client) Submit(ctx context.Context, id string, s pj.Submission) (st pj.JobStatus, err error) {
	return st, c.call(ctx, http.MethodPut, "/v1/jobs/"+url.PathEscape(id), s, &st)
}

// Job returns a job's status, once it has ended or wait is over.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (st pj.JobStatus, err error) {
	path := "/v1/jobs/" + url.PathEscape(id)
	if wait > 0 {
		path += "?wait=" + wait.String()
	}
	return st, c.call(ctx, http.MethodGet, path, nil, &st)
}

// Cancel ends a job.
func (c *Client) Cancel(ctx context.Context, id string) (st pj.JobStatus, err error) {
	return st, c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, &st)
}

// Report sends a worker's report.
func (c *Client) Report(ctx context.Context, r pj.Report) (d pj.Directive, err error) {
	return d, c.call(ctx, http.MethodPost, "/v1/workers/"+url.PathEscape(r.Worker)+"/report", r, &d)
}

// Announce sends an endpoint's announcement.
func (c *Client) Announce(ctx context.Context, a pj.Announcement) (r pj.AnnouncementReply, err error) {
	return r, c.call(ctx, http.MethodPost, "/v1/endpoints", a, &r)
}

// Publish replaces the configuration.
func (c *Client) Publish(ctx context.Context, p pj.Publication) (out pj.Published, err error) {
	return out, c.call(ctx, http.MethodPut, "/v1/configuration", p, &out)
}

// Configuration returns what is in force, at least the given version.
func (c *Client) Configuration(ctx context.Context, atLeast uint64) (config pj.Configuration, err error) {
	return config, c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/configuration?at_least=%d", atLeast), nil, &config)
}

// Status returns the operators' view of the system.
func (c *Client) Status(ctx context.Context) (st pj.Status, err error) {
	return st, c.call(ctx, http.MethodGet, "/v1/status", nil, &st)
}

// Drain takes a worker or endpoint out of service, or puts it back.
func (c *Client) Drain(ctx context.Context, d pj.Drain) error {
	return c.call(ctx, http.MethodPost, "/v1/drains", d, nil)
}

// GrantKey makes a key for a workspace.
func (c *Client) GrantKey(ctx context.Context, k pj.KeyGrant) (out pj.KeyGrant, err error) {
	return out, c.call(ctx, http.MethodPost, keysPath(k.Workspace), k, &out)
}

// WithdrawKey ends a key.
func (c *Client) WithdrawKey(ctx context.Context, workspace, id string) error {
	return c.call(ctx, http.MethodDelete, keysPath(workspace)+"/"+url.PathEscape(id), nil, nil)
}

// Keys lists a workspace's keys, or all for "".
func (c *Client) Keys(ctx context.Context, workspace string) (keys []pj.Key, err error) {
	if workspace == "" {
		workspace = "-"
	}
	return keys, c.call(ctx, http.MethodGet, keysPath(workspace), nil, &keys)
}

func keysPath(workspace string) string {
	return "/v1/workspaces/" + url.PathEscape(workspace) + "/keys"
}
