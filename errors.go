package papayajunction

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"
)

// Code identifies an error to programs; it stays the same between releases.
type Code string

// The codes of errors.
const (
	CodeBadRequest     Code = "bad_request"
	CodeTooLarge       Code = "too_large"
	CodeUnknownQueue   Code = "unknown_queue"
	CodeUnknownJob     Code = "unknown_job"
	CodeNoKey          Code = "no_key"
	CodeWrongKey       Code = "wrong_key"
	CodeForbidden      Code = "forbidden"
	CodeKeysUnknown    Code = "keys_unknown"
	CodeConflict       Code = "conflict"
	CodeNeverRuns      Code = "never_runs"
	CodeOverloaded     Code = "overloaded"
	CodeNoEndpoint     Code = "no_endpoint"
	CodeDeadline       Code = "deadline"
	CodeNotLeader      Code = "not_leader"
	CodeNoQuorum       Code = "no_quorum"
	CodeDraining       Code = "draining"
	CodeBadResponse    Code = "bad_answer"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeInternal       Code = "internal"
)

// Error is the form in which callers, workers, endpoints and operators receive every error.
//
// NotRun is true only if the attempt that is answered has certainly had no effect and will have none. An earlier attempt may have: who repeats
// one of unknown outcome combines the answers with ClearNotRun.
type Error struct {
	Code       Code         `json:"code"`
	NotRun     bool         `json:"not_run"`
	Message    string       `json:"message"`
	RetryAfter Duration     `json:"retry_after,omitempty"`
	Leader     string       `json:"leader,omitempty"` // with not_leader: the VM of the leader, if known
	Details    []FieldIssue `json:"details,omitempty"`
}

// FieldIssue is one error in an operator file.
type FieldIssue struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns "file:line: field: message".
func (i FieldIssue) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", i.File, i.Line, i.Field, i.Message)
}

// Refuse returns an error with NotRun, for an attempt that certainly has no effect.
func Refuse(code Code, format string, args ...any) *Error {
	return &Error{Code: code, NotRun: true, Message: fmt.Sprintf(format, args...)}
}

// Fail returns an error without NotRun, for an attempt whose work may have run or may still run.
func Fail(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error returns the code and the message.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Message
}

// HTTPStatus returns the HTTP status of the error. A status that callers take for a refusal goes only with NotRun: without it, the status
// is that of a lost response. CodeUnknownJob refuses no work and keeps its status.
func (e *Error) HTTPStatus() int {
	status := e.statusOfCode()
	refuses := status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
	if refuses && !e.NotRun && e.Code != CodeUnknownJob {
		return http.StatusGatewayTimeout
	}
	return status
}

func (e *Error) statusOfCode() int {
	switch e.Code {
	case CodeBadRequest, CodeNeverRuns:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeUnknownQueue, CodeUnknownJob:
		return http.StatusNotFound
	case CodeNoKey, CodeWrongKey:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeConflict:
		return http.StatusConflict
	case CodeOverloaded:
		return http.StatusTooManyRequests
	case CodeDeadline:
		return http.StatusGatewayTimeout
	case CodeBadResponse, CodeOutcomeUnknown:
		return http.StatusBadGateway
	case CodeKeysUnknown, CodeNoEndpoint, CodeNotLeader, CodeNoQuorum, CodeDraining:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// ClearNotRun returns err with NotRun cleared, for work of which an earlier attempt has an unknown outcome:
// the error of the last attempt doesn't show that no attempt has run.
func ClearNotRun(err error) error {
	var e *Error
	if !errors.As(err, &e) || !e.NotRun {
		return err
	}
	uncertain := *e
	uncertain.NotRun = false
	return &uncertain
}

// AsError returns err as an *Error. The trace errors BadParameter and LimitExceeded, which are only
// created before any work starts, get the corresponding code and NotRun. An expired or cancelled
// context gets CodeOutcomeUnknown and any other error CodeInternal, as the work may have run.
func AsError(err error) *Error {
	var e *Error
	switch {
	case errors.As(err, &e):
		return e
	case trace.IsBadParameter(err):
		return Refuse(CodeBadRequest, "%s", err.Error())
	case trace.IsLimitExceeded(err):
		return Refuse(CodeOverloaded, "%s", err.Error())
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return Fail(CodeOutcomeUnknown, "no response in time: %s", err.Error())
	}
	return Fail(CodeInternal, "%s", err.Error())
}
