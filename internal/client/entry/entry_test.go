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

// TestTries covers what the client makes of several VMs' answers to one job.
func TestTries(t *testing.T) {
	refuse := func(e *pj.Error) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(e.HTTPStatus())
			_ = json.NewEncoder(w).Encode(e)
		}
	}
	accept := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"id": "z.a"}`)) }
	lose := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	full := refuse(pj.Refuse(pj.CodeOverloaded, "full"))
	tests := map[string]struct {
		vms    []http.HandlerFunc // nil for one that can't be reached
		code   pj.Code            // "" if the job is accepted
		notRun bool
	}{
		"the first accepts":                           {vms: []http.HandlerFunc{accept}},
		"the first can't be reached":                  {vms: []http.HandlerFunc{nil, accept}},
		"the first stops":                             {vms: []http.HandlerFunc{refuse(pj.Refuse(pj.CodeDraining, "")), accept}},
		"the first loses its answer":                  {vms: []http.HandlerFunc{lose, accept}},
		"the first refuses":                           {vms: []http.HandlerFunc{full, accept}, code: pj.CodeOverloaded, notRun: true},
		"nobody is reached, then a refusal":           {vms: []http.HandlerFunc{nil, full}, code: pj.CodeOverloaded, notRun: true},
		"a lost answer, then a refusal, is not unrun": {vms: []http.HandlerFunc{lose, full}, code: pj.CodeOverloaded},
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
