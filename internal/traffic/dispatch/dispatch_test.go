package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/traffic/dispatch"
	"papayajunction/internal/traffic/filter"
	"papayajunction/internal/traffic/retry"
)

// endpoint is a test server with one handler per attempt; runs counts the requests that it ran.
type endpoint struct {
	mu       sync.Mutex
	runs     int
	attempts int
	handlers []http.HandlerFunc // one for each attempt; the last one also serves all later attempts
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	handler := e.handlers[min(e.attempts, len(e.handlers)-1)]
	e.attempts++
	e.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	handler(w, r)
}

func (e *endpoint) countRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs++
}

// granter grants the addresses in turn, the last one also for all later attempts.
type granter struct {
	addresses []string
	expiresAt time.Duration
	err       error
	errAfter  int // number of grants before err
	granted   int
	released  int
}

// Now implements pj.Clock.
func (g *granter) Now() time.Duration { return time.Hour }

// Grant implements dispatch.Granter.
func (g *granter) Grant(context.Context, string, pj.GrantRequest) (pj.Grant, error) {
	if g.err != nil && g.granted >= g.errAfter {
		return pj.Grant{}, g.err
	}
	address := g.addresses[min(g.granted, len(g.addresses)-1)]
	g.granted++
	return pj.Grant{ID: fmt.Sprint(g.granted), Endpoint: fmt.Sprint("e", g.granted), Address: address, ExpiresAt: g.expiresAt}, nil
}

// Release implements dispatch.Granter.
func (g *granter) Release(string, pj.GrantRelease) { g.released++ }

const (
	unreachableAddress = "127.0.0.1:1"
	largeResponseBytes = 300 << 10
)

// The handlers of an endpoint. Those that simulate a run of the request count the run.
func (e *endpoint) succeed(w http.ResponseWriter, r *http.Request) {
	e.countRun()
	w.Header().Set(dispatch.HeaderRequestID, r.Header.Get(dispatch.HeaderRequestID))
	_, _ = io.WriteString(w, "response to "+r.Header.Get(dispatch.HeaderRequestID))
}

func (e *endpoint) mismatch(w http.ResponseWriter, _ *http.Request) {
	e.countRun()
	w.Header().Set(dispatch.HeaderRequestID, "another")
	_, _ = io.WriteString(w, "response to another")
}

func (e *endpoint) truncate(w http.ResponseWriter, r *http.Request) {
	e.countRun()
	w.Header().Set(dispatch.HeaderRequestID, r.Header.Get(dispatch.HeaderRequestID))
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "response to")
	panic(http.ErrAbortHandler)
}

func (e *endpoint) dropResponse(http.ResponseWriter, *http.Request) {
	e.countRun()
	panic(http.ErrAbortHandler)
}

func (e *endpoint) failInternally(w http.ResponseWriter, r *http.Request) {
	e.countRun()
	w.Header().Set(dispatch.HeaderRequestID, r.Header.Get(dispatch.HeaderRequestID))
	w.WriteHeader(http.StatusInternalServerError)
}

func (e *endpoint) respondTooLarge(w http.ResponseWriter, r *http.Request) {
	e.countRun()
	w.Header().Set(dispatch.HeaderRequestID, r.Header.Get(dispatch.HeaderRequestID))
	_, _ = io.WriteString(w, strings.Repeat("x", 5000))
}

func (e *endpoint) respondLarge(w http.ResponseWriter, r *http.Request) {
	e.countRun()
	w.Header().Set(dispatch.HeaderRequestID, r.Header.Get(dispatch.HeaderRequestID))
	w.Header().Set("Content-Length", fmt.Sprint(largeResponseBytes))
	_, _ = io.WriteString(w, strings.Repeat("x", largeResponseBytes))
}

func (e *endpoint) truncateLarge(w http.ResponseWriter, r *http.Request) {
	e.countRun()
	w.Header().Set(dispatch.HeaderRequestID, r.Header.Get(dispatch.HeaderRequestID))
	w.Header().Set("Content-Length", fmt.Sprint(largeResponseBytes))
	_, _ = io.WriteString(w, strings.Repeat("x", largeResponseBytes/2))
	panic(http.ErrAbortHandler)
}

// runAndRejectAnother runs the request and responds with the rejection of another request.
func (e *endpoint) runAndRejectAnother(w http.ResponseWriter, _ *http.Request) {
	e.countRun()
	w.Header().Set(dispatch.HeaderRequestID, "another")
	w.Header().Set(dispatch.HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (e *endpoint) rejectWithID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(dispatch.HeaderRequestID, r.Header.Get(dispatch.HeaderRequestID))
	e.reject(w, r)
}

func (e *endpoint) reject(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(dispatch.HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// result is the outcome of one request sent through the retry filter and the dispatcher.
type result struct {
	err     *pj.Error
	body    string
	runs    int
	granter *granter
}

type scenario struct {
	handlers     func(e *endpoint) []http.HandlerFunc
	repeatable   bool
	unreachable  int // attempts that are granted an address without a listener
	grantExpired bool
	grantErr     error
	grantsBefore int // number of grants before grantErr
}

func (s scenario) run(t *testing.T) result {
	t.Helper()
	e := &endpoint{}
	e.handlers = s.handlers(e)
	server := httptest.NewServer(e)
	defer server.Close()
	g := &granter{expiresAt: 2 * time.Hour, err: s.grantErr, errAfter: s.grantsBefore}
	if s.grantExpired {
		g.expiresAt = time.Minute
	}
	for range s.unreachable {
		g.addresses = append(g.addresses, unreachableAddress)
	}
	g.addresses = append(g.addresses, strings.TrimPrefix(server.URL, "http://"))
	d, closeDispatcher := dispatch.New(g, g, "vm", []string{"z"}, 4000)
	defer closeDispatcher()
	x := &pj.Exchange{RequestID: "r1", Queue: pj.Queue{Name: "q", Repeatable: s.repeatable}, Deadline: time.Now().Add(time.Hour), Body: []byte("body")}
	err := filter.Chain(d, retry.New()).Serve(context.Background(), x)
	r := result{body: string(x.Response.Body), granter: g}
	if err != nil {
		r.err = pj.AsError(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.runs = e.runs
	return r
}

func always(pick func(e *endpoint) http.HandlerFunc) func(*endpoint) []http.HandlerFunc {
	return func(e *endpoint) []http.HandlerFunc { return []http.HandlerFunc{pick(e)} }
}

var (
	success       = func(e *endpoint) http.HandlerFunc { return e.succeed }
	mismatched    = func(e *endpoint) http.HandlerFunc { return e.mismatch }
	truncated     = func(e *endpoint) http.HandlerFunc { return e.truncate }
	responseLost  = func(e *endpoint) http.HandlerFunc { return e.dropResponse }
	internalError = func(e *endpoint) http.HandlerFunc { return e.failInternally }
	tooLarge      = func(e *endpoint) http.HandlerFunc { return e.respondTooLarge }
	rejected      = func(e *endpoint) http.HandlerFunc { return e.reject }
)

func then(first, second func(e *endpoint) http.HandlerFunc) func(*endpoint) []http.HandlerFunc {
	return func(e *endpoint) []http.HandlerFunc { return []http.HandlerFunc{first(e), second(e)} }
}

var scenarios = map[string]scenario{
	"success":                                  {handlers: always(success)},
	"success of a repeatable request":          {handlers: always(success), repeatable: true},
	"mismatched response":                      {handlers: always(mismatched)},
	"mismatched response, then success":        {handlers: then(mismatched, success), repeatable: true},
	"truncated response":                       {handlers: always(truncated)},
	"truncated response, then success":         {handlers: then(truncated, success), repeatable: true},
	"lost response":                            {handlers: always(responseLost)},
	"lost response, then success":              {handlers: then(responseLost, success), repeatable: true},
	"all responses to repeatable request lost": {handlers: always(responseLost), repeatable: true},
	"internal error":                           {handlers: always(internalError)},
	"response too large":                       {handlers: always(tooLarge)},
	"no free slot":                             {handlers: always(rejected)},
	"no free slot, then a free one":            {handlers: then(rejected, success)},
	"endpoint unreachable":                     {handlers: always(success), unreachable: 9},
	"endpoint unreachable, then reachable":     {handlers: always(success), unreachable: 1},
	"lost response, then no free slot":         {handlers: then(responseLost, rejected), repeatable: true},
	"grant expired":                            {handlers: always(success), grantExpired: true},
	"rejection of another request":             {handlers: always(func(e *endpoint) http.HandlerFunc { return e.runAndRejectAnother })},
	"no free slot, with the request's id":      {handlers: always(func(e *endpoint) http.HandlerFunc { return e.rejectWithID })},
	"grant lost, then refused":                 {handlers: always(success), grantErr: pj.Fail(pj.CodeOverloaded, "full")},
	"grant lost":                               {handlers: always(success), grantErr: io.ErrUnexpectedEOF},
	"lost response, then no grant":             {handlers: always(responseLost), repeatable: true, grantErr: pj.Refuse(pj.CodeOverloaded, "full"), grantsBefore: 1},
	"lost response, then grant lost":           {handlers: always(responseLost), repeatable: true, grantErr: io.ErrUnexpectedEOF, grantsBefore: 1},
	"leader refuses to grant":                  {handlers: always(success), grantErr: pj.Refuse(pj.CodeOverloaded, "full")},
}

// TestInvariantCompleteResponse checks that the caller receives either the complete response to its own
// request or an error.
func TestInvariantCompleteResponse(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := s.run(t)
			is.Equal(r.err == nil, r.body == "response to r1")
			is.True(r.err == nil || r.body == "")
			is.Equal(r.granter.granted, r.granter.released) // every slot is released
		})
	}
}

// TestInvariantNotRunIsAccurate checks that an error has NotRun exactly if no endpoint ran the request or
// could have run it.
func TestInvariantNotRunIsAccurate(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := s.run(t)
			if r.err != nil {
				is.Equal(r.err.NotRun, r.runs == 0)
			}
		})
	}
}

// TestInvariantAtMostOnce checks that a request that isn't repeatable is run at most once, and that a
// repeatable request succeeds after a single failure.
func TestInvariantAtMostOnce(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := s.run(t)
			if !s.repeatable {
				is.True(r.runs <= 1)
			}
			if s.grantExpired {
				is.Equal(r.runs, 0) // its slot may have been granted to another request
			}
			if strings.HasSuffix(name, "then success") {
				is.True(r.err == nil)
			}
		})
	}
}

// TestStreamedResponse checks that a large response reaches the caller completely, and that a truncated one is
// neither passed on as complete nor requested again.
func TestStreamedResponse(t *testing.T) {
	tests := map[string]struct {
		handler       func(e *endpoint) http.HandlerFunc
		maxBytes      int64
		complete      bool
		streamedBytes int // of a complete response
	}{
		"large response":                 {handler: func(e *endpoint) http.HandlerFunc { return e.respondLarge }, maxBytes: 1 << 20, complete: true, streamedBytes: largeResponseBytes},
		"truncated large response":       {handler: func(e *endpoint) http.HandlerFunc { return e.truncateLarge }, maxBytes: 1 << 20},
		"response over the size limit":   {handler: func(e *endpoint) http.HandlerFunc { return e.respondLarge }, maxBytes: 200 << 10},
		"mismatched response":            {handler: mismatched, maxBytes: 1 << 20},
		"small response is not streamed": {handler: success, maxBytes: 1 << 20, complete: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &endpoint{}
			e.handlers = always(test.handler)(e)
			server := httptest.NewServer(e)
			defer server.Close()
			g := &granter{expiresAt: 2 * time.Hour, addresses: []string{strings.TrimPrefix(server.URL, "http://")}}
			d, closeDispatcher := dispatch.New(g, g, "vm", []string{"z"}, test.maxBytes)
			defer closeDispatcher()
			var out strings.Builder
			x := &pj.Exchange{RequestID: "r1", Queue: pj.Queue{Name: "q"}, Deadline: time.Now().Add(time.Hour)}
			x.Stream = func(pj.Response, int64) io.Writer { return &out }
			err := filter.Chain(d, retry.New()).Serve(context.Background(), x)
			is.Equal(err == nil, test.complete)
			is.True(out.Len() == test.streamedBytes || (!test.complete && out.Len() < largeResponseBytes)) // a truncated response is always shorter than the complete one
			is.Equal(e.runs, 1)
			is.Equal(g.granted, g.released)
		})
	}
}

// TestCallerDisconnects checks that a caller that disconnects cancels the request at the endpoint and
// releases its slot.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
		close(cancelled)
	}))
	defer server.Close()
	g := &granter{expiresAt: 2 * time.Hour, addresses: []string{strings.TrimPrefix(server.URL, "http://")}}
	d, closeDispatcher := dispatch.New(g, g, "vm", []string{"z"}, 4000)
	defer closeDispatcher()
	ctx, disconnect := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() {
		result <- d.Serve(ctx, &pj.Exchange{RequestID: "r1", Queue: pj.Queue{Name: "q"}, Deadline: time.Now().Add(time.Hour)})
	}()
	<-arrived
	disconnect()
	<-cancelled
	is.Equal(pj.AsError(<-result).NotRun, false)
	is.Equal(g.released, 1)
}
