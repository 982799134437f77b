package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
)

// TestFailover covers how the client combines the outcomes of attempts at several VMs to submit one job.
func TestFailover(t *testing.T) {
	respondError := func(e *pj.Error) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(e.HTTPStatus())
			_ = json.NewEncoder(w).Encode(e)
		}
	}
	accept := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"id": "z.a"}`)) }
	dropResponse := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	overloaded := respondError(pj.Refuse(pj.CodeOverloaded, "full"))
	tests := map[string]struct {
		vms    []http.HandlerFunc // nil for an unreachable VM
		code   pj.Code            // empty if the job is accepted
		notRun bool
	}{
		"accepted by the first VM":                                        {vms: []http.HandlerFunc{accept}},
		"first VM unreachable":                                            {vms: []http.HandlerFunc{nil, accept}},
		"first VM draining":                                               {vms: []http.HandlerFunc{respondError(pj.Refuse(pj.CodeDraining, "")), accept}},
		"response of the first VM lost":                                   {vms: []http.HandlerFunc{dropResponse, accept}},
		"rejected by the first VM":                                        {vms: []http.HandlerFunc{overloaded, accept}, code: pj.CodeOverloaded, notRun: true},
		"first VM unreachable, second rejects":                            {vms: []http.HandlerFunc{nil, overloaded}, code: pj.CodeOverloaded, notRun: true},
		"first response lost, second VM rejects: not reported as not run": {vms: []http.HandlerFunc{dropResponse, overloaded}, code: pj.CodeOverloaded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var addresses []string
			for _, vm := range test.vms {
				server := httptest.NewServer(vm)
				if vm == nil {
					server.Close()
				} else {
					defer server.Close()
				}
				addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
			}
			client, closeClient := entry.New(addresses, "")
			defer closeClient()
			_, err := client.Submit(context.Background(), "z.a", pj.Submission{})
			is.Equal(err == nil, test.code == "")
			if err != nil {
				is.Equal(pj.AsError(err).Code, test.code)
				is.Equal(pj.AsError(err).NotRun, test.notRun)
			}
		})
	}
}

// TestGrantKeyIsSentOnce: a key may have been issued although the response was lost, so the call is not sent to another VM,
// where it would issue a second one.
func TestGrantKeyIsSentOnce(t *testing.T) {
	tests := map[string]struct {
		first http.HandlerFunc
		calls int
	}{
		"response lost": {first: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, calls: 1},
		"not run": {first: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(pj.Refuse(pj.CodeDraining, ""))
		}, calls: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			var addresses []string
			for _, handler := range []http.HandlerFunc{tc.first, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }} {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					handler(w, r)
				}))
				defer server.Close()
				addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
			}
			client, closeClient := entry.New(addresses, "")
			defer closeClient()
			_, err := client.GrantKey(t.Context(), pj.IssuedKey{})
			is.Equal(err == nil, tc.calls == 2)
			is.Equal(int(calls.Load()), tc.calls)
			is.True(err == nil || !pj.AsError(err).NotRun)
		})
	}
}

// TestTooLargeResponse: a response that is longer than the client reads is an error, not a shorter response.
func TestTooLargeResponse(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 1<<20)
		for range 65 {
			_, _ = w.Write(chunk)
		}
	}))
	defer server.Close()
	client, closeClient := entry.New([]string{strings.TrimPrefix(server.URL, "http://")}, "")
	defer closeClient()
	_, err := client.Request(t.Context(), "q", nil)
	is.True(err != nil)
}
