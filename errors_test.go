package papayajunction_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
)

// TestUnknownOutcomeIsNoRefusal guards against a caller that takes work for refused because of the status, although an earlier attempt
// may have run it: the status followed from the code alone.
func TestUnknownOutcomeIsNoRefusal(t *testing.T) {
	refusals := []pj.Code{
		pj.CodeBadRequest, pj.CodeTooLarge, pj.CodeUnknownQueue, pj.CodeNoKey, pj.CodeWrongKey, pj.CodeForbidden, pj.CodeKeysUnknown,
		pj.CodeConflict, pj.CodeNeverRuns, pj.CodeOverloaded, pj.CodeNoEndpoint, pj.CodeNotLeader, pj.CodeNoQuorum, pj.CodeDraining,
	}
	for _, code := range refusals {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			refused := pj.Refuse(code, "refused")
			status := refused.HTTPStatus()
			is.True(status == http.StatusServiceUnavailable || status < http.StatusInternalServerError)
			is.Equal(pj.AsError(pj.ClearNotRun(refused)).HTTPStatus(), http.StatusGatewayTimeout)
		})
	}
	others := map[pj.Code]int{
		pj.CodeUnknownJob:     http.StatusNotFound, // answers a question, refuses no work
		pj.CodeDeadline:       http.StatusGatewayTimeout,
		pj.CodeBadResponse:    http.StatusBadGateway,
		pj.CodeOutcomeUnknown: http.StatusBadGateway,
		pj.CodeInternal:       http.StatusInternalServerError,
	}
	for code, status := range others {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			is.Equal(pj.Fail(code, "failed").HTTPStatus(), status)
		})
	}
}
