// Package api is the HTTP interface of one VM to callers, workers, endpoints and operators.
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
	"papayajunction/internal/server/node"
	"papayajunction/internal/traffic/dispatch"
	"papayajunction/internal/traffic/filter"
	"papayajunction/internal/traffic/retry"
)

// Bounds of the interface.
const (
	maxReportBytes = 4 << 20
	maxWait        = 30 * time.Second
	minRetryAfter  = time.Second
)

// API handles HTTP requests.
type API struct {
	settings settings.Settings
	node     *node.Node
	metrics  *metrics.Set
	logger   kitlog.Logger
	chain    pj.Handler
	limiter  *filter.Limiter
	stopping atomic.Bool // not ready for the balancer; still serving
	closed   atomic.Bool // new work is refused
	active   atomic.Int64
	waits    atomic.Int64 // callers that wait for a job
	stop     context.CancelFunc
	stopped  context.Context //nolint:containedctx // ends long polls when the VM stops
}

// New returns the interface of a VM and a function that frees what it holds.
func New(s settings.Settings, n *node.Node, logger kitlog.Logger, set *metrics.Set) (*API, func()) {
	a := &API{settings: s, node: n, metrics: set, logger: logger, limiter: filter.NewLimiter(s.MaxInFlight)}
	a.stopped, a.stop = context.WithCancel(context.Background())
	zones := append([]string{s.Zone}, n.Topology().OtherZones(s.Zone)...)
	dispatcher, closeDispatcher := dispatch.New(n, n.Clock(), s.VM, zones, s.MaxBodyBytes)
	a.chain = filter.Chain(dispatcher,
		filter.Log(logger),
		filter.Metrics(set),
		filter.Admission(n.Directory(), a.closed.Load),
		filter.Deadline(),
		filter.Authorization(n.Directory()),
		filter.Limit(a.limiter),
		retry.New(),
	)
	return a, closeDispatcher
}

// Handler returns the routes.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/queues/{queue}/requests", a.request)
	mux.HandleFunc("PUT /v1/jobs/{id}", a.submit)
	mux.HandleFunc("GET /v1/jobs/{id}", a.job)
	mux.HandleFunc("DELETE /v1/jobs/{id}", a.cancel)
	mux.HandleFunc("POST /v1/endpoints", a.internal(a.announce))
	mux.HandleFunc("POST /v1/workers/{worker}/report", a.internal(a.report))
	mux.HandleFunc("PUT /v1/configuration", a.operator(a.publish))
	mux.HandleFunc("GET /v1/configuration", a.operator(a.configuration))
	mux.HandleFunc("GET /v1/status", a.operator(a.status))
	mux.HandleFunc("GET /v1/workspaces/{workspace}/keys", a.operator(a.listKeys))
	mux.HandleFunc("POST /v1/workspaces/{workspace}/keys", a.operator(a.grantKey))
	mux.HandleFunc("DELETE /v1/workspaces/{workspace}/keys/{id}", a.operator(a.withdrawKey))
	mux.HandleFunc("POST /v1/drains", a.operator(a.drain))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.HandleFunc("GET /metrics", a.writeMetrics)
	return a.counted(mux)
}

// counted counts requests in flight and asks clients to go elsewhere while the VM stops.
func (a *API) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.active.Add(1)
		defer a.active.Add(-1)
		if a.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Active returns the number of HTTP requests in flight.
func (a *API) Active() int64 {
	return a.active.Load()
}

// Carried returns how many requests of callers were admitted and how many callers wait for a job.
func (a *API) Carried() int64 {
	return int64(a.limiter.InFlight()) + a.waits.Load()
}

// Stop makes the VM not ready for the balancer and ends long polls.
func (a *API) Stop() {
	a.stopping.Store(true)
	a.stop()
}

// Refuse makes the VM refuse new work.
func (a *API) Refuse() {
	a.closed.Store(true)
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if a.stopping.Load() || !a.node.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (a *API) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	a.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// operator lets operators pass: those who send the operator key or, without one, local ones.
func (a *API) operator(next http.HandlerFunc) http.HandlerFunc {
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
	return subtle.ConstantTimeCompare([]byte(bearer(r)), []byte(a.settings.OperatorKey)) == 1
}

// internal lets workers and endpoints pass: those with a certificate of the system's authority or,
// without TLS, local ones.
func (a *API) internal(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		identified := r.TLS != nil && len(r.TLS.VerifiedChains) > 0
		if !identified && (a.settings.TLSCert != "" || !isLoopback(r)) {
			writeError(w, pj.Refuse(pj.CodeForbidden, "workers and endpoints need a certificate of the system's authority"))
			return
		}
		if a.closed.Load() {
			writeError(w, pj.Refuse(pj.CodeDraining, "this VM is stopping; go to another"))
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

func bearer(r *http.Request) string {
	secret, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return secret
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeError(w, fmt.Errorf("write answer: %w", err))
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

// readBody reads a body of bounded size.
func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, pj.Refuse(pj.CodeTooLarge, "the body is larger than %d bytes", most)
	}
	if err != nil {
		return nil, pj.Refuse(pj.CodeBadRequest, "the body could not be read: %v", err)
	}
	return body, nil
}

// readJSON reads a body of one JSON value without unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, most int64, into any) error {
	body, err := readBody(w, r, most)
	if err != nil {
		return err
	}
	return decodeStrict(body, into)
}

func decodeStrict(body []byte, into any) error {
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return pj.Refuse(pj.CodeBadRequest, "the JSON is not as expected: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return pj.Refuse(pj.CodeBadRequest, "something follows the JSON value")
	}
	return nil
}
