// Package api is the HTTP API of one VM for callers, workers, endpoints and operators.
package api

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"

	pj "papayajunction"
	"papayajunction/internal/config/settings"
	"papayajunction/internal/server/app"
	"papayajunction/internal/server/node"
	"papayajunction/internal/traffic/dispatch"
	"papayajunction/internal/traffic/filter"
	"papayajunction/internal/traffic/retry"
)

// Limits of the API.
const (
	maxReportBytes = 4 << 20
	maxWait        = 30 * time.Second // how long a caller can wait for a job in one request
	minRetryAfter  = time.Second
)

// API handles HTTP requests.
type API struct {
	settings       settings.Settings
	node           *node.Node
	metrics        *metrics.Set
	logger         kitlog.Logger
	chain          pj.Handler
	limiter        *filter.Limiter
	notReady       atomic.Bool // /readyz fails, so that the load balancer sends no more requests; requests are still served
	rejectingWork  atomic.Bool // new work is rejected
	active         atomic.Int64
	waitingCallers atomic.Int64 // callers that are waiting for a job
	stop           context.CancelFunc
	stopped        context.Context //nolint:containedctx // ends long polls when the VM stops
	abort          context.CancelFunc
	aborted        context.Context //nolint:containedctx // ends the requests that are open, or arrive, when the VM no longer waits for them
}

// New returns the API of a VM and a function that releases its resources.
func New(s settings.Settings, n *node.Node, logger kitlog.Logger, set *metrics.Set) (*API, func()) {
	a := &API{settings: s, node: n, metrics: set, logger: logger, limiter: filter.NewLimiter(s.MaxInFlight)}
	a.stopped, a.stop = context.WithCancel(context.Background())
	a.aborted, a.abort = context.WithCancel(context.Background())
	zones := append([]string{s.Zone}, n.Topology().OtherZones(s.Zone)...)
	dispatcher, closeDispatcher := dispatch.New(n, n.Clock(), s.VM, zones, s.MaxBodyBytes)
	a.chain = filter.Chain(dispatcher,
		filter.Log(logger),
		filter.Metrics(set),
		filter.Admission(n.Directory(), a.rejectingWork.Load),
		filter.Deadline(),
		filter.Authorization(n.Directory()),
		filter.Limit(a.limiter),
		retry.New(),
	)
	return a, closeDispatcher
}

// Handler returns the handler for all routes of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/queues/{queue}/requests", a.request)
	mux.HandleFunc("PUT /v1/jobs/{id}", a.submit)
	mux.HandleFunc("GET /v1/jobs/{id}", a.job)
	mux.HandleFunc("DELETE /v1/jobs/{id}", a.cancel)
	mux.HandleFunc("POST /v1/endpoints", a.requireCertificate(a.announce))
	mux.HandleFunc("POST /v1/workers/{worker}/report", a.requireCertificate(a.report))
	mux.HandleFunc("PUT /v1/configuration", a.requireOperator(a.publish))
	mux.HandleFunc("GET /v1/configuration", a.requireOperator(a.configuration))
	mux.HandleFunc("GET /v1/status", a.requireOperator(a.status))
	mux.HandleFunc("GET /v1/workspaces/{workspace}/keys", a.requireOperator(a.listKeys))
	mux.HandleFunc("POST /v1/workspaces/{workspace}/keys", a.requireOperator(a.grantKey))
	mux.HandleFunc("DELETE /v1/workspaces/{workspace}/keys/{id}", a.requireOperator(a.withdrawKey))
	mux.HandleFunc("POST /v1/drains", a.requireOperator(a.drain))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.HandleFunc("GET /metrics", a.writeMetrics)
	return a.countActive(app.EndWith(a.aborted, mux))
}

// countActive counts requests in flight. While the VM is stopping, it makes clients close their connection, so that they
// connect to another VM.
func (a *API) countActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.active.Add(1)
		defer a.active.Add(-1)
		if a.notReady.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ActiveRequests returns the number of HTTP requests in flight.
func (a *API) ActiveRequests() int64 {
	return a.active.Load()
}

// CallersInFlight returns the number of admitted requests in flight plus the number of callers that are waiting for a job.
func (a *API) CallersInFlight() int64 {
	return int64(a.limiter.InFlight()) + a.waitingCallers.Load()
}

// BeginShutdown makes /readyz fail, so that the load balancer sends no more requests, and ends long polls.
func (a *API) BeginShutdown() {
	a.notReady.Store(true)
	a.stop()
}

// RejectNewWork makes the VM reject new work.
func (a *API) RejectNewWork() {
	a.rejectingWork.Store(true)
}

// AbortRequests ends the contexts of the requests in flight, whose handlers then answer.
func (a *API) AbortRequests() {
	a.abort()
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if a.notReady.Load() || !a.node.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (a *API) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	a.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// requireOperator rejects requests that don't come from an operator. An operator sends the operator key; if no operator
// key is set, every client on a loopback address is an operator.
func (a *API) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !a.isOperator(r) {
			writeError(w, pj.Refuse(pj.CodeForbidden, "operators only: send the operator key as Authorization: Bearer KEY"))
			return
		}
		next(w, r)
	}
}

func (a *API) isOperator(r *http.Request) bool {
	if a.settings.OperatorKey == "" {
		return isLoopback(r)
	}
	return subtle.ConstantTimeCompare([]byte(bearerToken(r)), []byte(a.settings.OperatorKey)) == 1
}

// requireCertificate is for the routes of workers and endpoints. It rejects requests without a certificate from the
// system's certificate authority or, without TLS, requests that are not from a loopback address. While the VM rejects new
// work, it rejects all requests.
func (a *API) requireCertificate(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		verified := r.TLS != nil && len(r.TLS.VerifiedChains) > 0
		if !verified && (a.settings.TLSCert != "" || !isLoopback(r)) {
			writeError(w, pj.Refuse(pj.CodeForbidden, "workers and endpoints need a certificate from the system's certificate authority"))
			return
		}
		if a.rejectingWork.Load() {
			writeError(w, pj.Refuse(pj.CodeDraining, "this VM is stopping; use another"))
			return
		}
		next(w, r)
	}
}

func isLoopback(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	address, err := netip.ParseAddr(host)
	return err == nil && address.IsLoopback()
}

func bearerToken(r *http.Request) string {
	secret, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return secret
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeError(w, fmt.Errorf("encode response: %w", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func writeError(w http.ResponseWriter, err error) {
	e := pj.AsError(err)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(e.RetryAfter.Std(), minRetryAfter).Seconds())))
	}
	data, marshalErr := json.Marshal(e)
	if marshalErr != nil {
		http.Error(w, "internal", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.HTTPStatus())
	_, _ = w.Write(data)
}

// readBody reads a body of at most maxBytes.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, pj.Refuse(pj.CodeTooLarge, "the body is larger than %d bytes", maxBytes)
	}
	if err != nil {
		return nil, pj.Refuse(pj.CodeBadRequest, "the body could not be read: %v", err)
	}
	return body, nil
}

// readJSON decodes a body that is one JSON value. Unknown fields are errors.
func readJSON(w http.ResponseWriter, r *http.Request, maxBytes int64, target any) error {
	body, err := readBody(w, r, maxBytes)
	if err != nil {
		return err
	}
	return decodeStrict(body, target)
}

func decodeStrict(body []byte, target any) error {
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return pj.Refuse(pj.CodeBadRequest, "the JSON body is invalid: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return pj.Refuse(pj.CodeBadRequest, "there is data after the JSON value")
	}
	return nil
}
