package api

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	pj "papayajunction"
)

// TestIncompleteWithdrawal guards against telling an operator that nothing was changed, although the VM refuses the key from now on.
func TestIncompleteWithdrawal(t *testing.T) {
	tests := map[string]struct {
		err    error
		code   pj.Code
		notRun bool
	}{
		"no such key":     {err: pj.Refuse(pj.CodeBadRequest, "no key"), code: pj.CodeBadRequest, notRun: true},
		"no quorum":       {err: pj.Refuse(pj.CodeNoQuorum, "none"), code: pj.CodeNoQuorum},
		"outcome unknown": {err: pj.Fail(pj.CodeOutcomeUnknown, "lost"), code: pj.CodeOutcomeUnknown},
		"unexpected":      {err: errors.New("failed"), code: pj.CodeInternal},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := incompleteWithdrawal("k", test.err)
			is.Equal(e.Code, test.code)
			is.Equal(e.NotRun, test.notRun)
			is.Equal(e.HTTPStatus() < 500, test.notRun)
		})
	}
}
