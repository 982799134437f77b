package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
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
