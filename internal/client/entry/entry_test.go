package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
)

// TestFailover guards against reporting a job as not run that an attempt whose response was lost may have submitted, and
// against giving up while another VM may know the job.
func TestFailover(t *testing.T) {
	respondError := func(e *pj.Error) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(e.HTTPStatus())
			_ = json.NewEncoder(w).Encode(e)
		}
	}
	refuse := func(code pj.Code) http.HandlerFunc { return respondError(pj.Refuse(code, "refused")) }
	accept := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"id": "z.a"}`)) }
	dropResponse := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	proxyError := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"message": "no healthy upstream"}`))
	}
	type testCase struct {
		vms      []http.HandlerFunc // nil for an unreachable VM
		cancelAt int                // the context of the call ends when this VM is called, counted from 1
		code     pj.Code            // empty if the job is accepted
		notRun   bool
	}
	tests := map[string]testCase{
		"accepted by the first VM":                         {vms: []http.HandlerFunc{accept}},
		"first VM unreachable":                             {vms: []http.HandlerFunc{nil, accept}},
		"first VM draining":                                {vms: []http.HandlerFunc{refuse(pj.CodeDraining), accept}},
		"response of the first VM lost":                    {vms: []http.HandlerFunc{dropResponse, accept}},
		"rejected by the first VM":                         {vms: []http.HandlerFunc{refuse(pj.CodeOverloaded), accept}, code: pj.CodeOverloaded, notRun: true},
		"first VM unreachable, second rejects":             {vms: []http.HandlerFunc{nil, refuse(pj.CodeOverloaded)}, code: pj.CodeOverloaded, notRun: true},
		"all VMs draining":                                 {vms: []http.HandlerFunc{refuse(pj.CodeDraining), refuse(pj.CodeDraining)}, code: pj.CodeDraining, notRun: true},
		"first response lost, second VM unreachable":       {vms: []http.HandlerFunc{dropResponse, nil}, code: pj.CodeInternal},
		"no quorum, with an effect on the first VM":        {vms: []http.HandlerFunc{respondError(pj.Fail(pj.CodeNoQuorum, "none")), accept}},
		"no quorum anywhere, with an effect on a VM":       {vms: []http.HandlerFunc{respondError(pj.Fail(pj.CodeNoQuorum, "none")), refuse(pj.CodeNoQuorum)}, code: pj.CodeNoQuorum},
		"unknown outcome, not sent again":                  {vms: []http.HandlerFunc{respondError(pj.Fail(pj.CodeOutcomeUnknown, "lost")), accept}, code: pj.CodeOutcomeUnknown},
		"error of a proxy":                                 {vms: []http.HandlerFunc{proxyError}, code: pj.CodeBadResponse},
		"context ends after a lost response":               {vms: []http.HandlerFunc{dropResponse, refuse(pj.CodeDraining)}, cancelAt: 1, code: pj.CodeOutcomeUnknown},
		"context ends before the only VM is tried again":   {vms: []http.HandlerFunc{dropResponse}, cancelAt: 1, code: pj.CodeOutcomeUnknown},
		"lost response, context ends at the second VM":     {vms: []http.HandlerFunc{dropResponse, refuse(pj.CodeDraining)}, cancelAt: 2, code: pj.CodeOutcomeUnknown},
		"lost response, second VM draining, third accepts": {vms: []http.HandlerFunc{dropResponse, refuse(pj.CodeDraining), accept}},
		"lost response, second VM has no quorum":           {vms: []http.HandlerFunc{dropResponse, refuse(pj.CodeNoQuorum), accept}},
		"lost response, second VM doesn't know keys":       {vms: []http.HandlerFunc{dropResponse, refuse(pj.CodeKeysUnknown), accept}},
		"lost response, others draining":                   {vms: []http.HandlerFunc{dropResponse, refuse(pj.CodeDraining), refuse(pj.CodeDraining)}, code: pj.CodeDraining},
		"two lost responses, third VM refuses":             {vms: []http.HandlerFunc{dropResponse, dropResponse, refuse(pj.CodeConflict)}, code: pj.CodeConflict},
	}
	for _, code := range []pj.Code{
		pj.CodeBadRequest, pj.CodeTooLarge, pj.CodeUnknownQueue, pj.CodeUnknownJob, pj.CodeNoKey, pj.CodeWrongKey, pj.CodeForbidden,
		pj.CodeConflict, pj.CodeNeverRuns, pj.CodeOverloaded, pj.CodeNotLeader, pj.CodeInternal,
	} {
		tests["first response lost, second VM refuses with "+string(code)] = testCase{vms: []http.HandlerFunc{dropResponse, refuse(code)}, code: code}
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var addresses []string
			for i, vm := range test.vms {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if i+1 == test.cancelAt {
						_, _ = io.Copy(io.Discard, r.Body) // so that the server notices the end of the call
						cancel()
						<-r.Context().Done()
					}
					vm(w, r)
				}))
				if vm == nil {
					server.Close()
				} else {
					defer server.Close()
				}
				addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
			}
			client, closeClient := entry.New(addresses, "")
			defer closeClient()
			_, err := client.Submit(ctx, "z.a", pj.Submission{})
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
		"no quorum, with an effect": {first: func(w http.ResponseWriter, _ *http.Request) {
			e := pj.Fail(pj.CodeNoQuorum, "")
			w.WriteHeader(e.HTTPStatus())
			_ = json.NewEncoder(w).Encode(e)
		}, calls: 1},
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
