package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/client/command"
	"papayajunction/internal/client/entry"
	"papayajunction/internal/config/settings"
	"papayajunction/internal/server/daemon"
	"papayajunction/internal/standin/fleet"
)

// operatorFiles are the operator files of the tests.
var operatorFiles = []pj.OperatorFile{
	{Path: "fleet.json", Content: `{"workspaces": [
		{"workspace": "a", "share": 1, "limit": {"cores": 32, "memory_gb": 64, "request_slots": 32}},
		{"workspace": "b", "share": 1, "limit": {"cores": 8, "memory_gb": 16, "request_slots": 8}}]}`},
	{Path: "quick.queue.json", Content: `{"queue": "quick", "workspace": "a", "kind": "request", "urgency": "urgent", "repeatable": false, "open": true, "timeout": "20s"}`},
	{Path: "closed.queue.json", Content: `{"queue": "closed", "workspace": "a", "kind": "request", "urgency": "normal", "repeatable": true}`},
	{Path: "batch.queue.json", Content: `{"queue": "batch", "workspace": "a", "kind": "batch", "urgency": "normal", "repeatable": true, "open": true, "task": {"cores": 1, "memory_gb": 1}}`},
	{Path: "theirs.queue.json", Content: `{"queue": "theirs", "workspace": "b", "kind": "batch", "urgency": "normal", "repeatable": true, "task": {"cores": 1, "memory_gb": 1}}`},
}

// system is one VM with stand-ins for workers and endpoints, all in this process.
type system struct {
	address string
	daemon  *daemon.Daemon
	client  *entry.Client
	runErr  chan error
}

func startSystem(t *testing.T, service time.Duration) *system {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := settings.Default()
	s.Listen, s.DataDir, s.Quiet = l.Addr().String(), t.TempDir(), true
	s.DrainTimeout = 3 * time.Second // shorter than the long polls of these tests, which take up to 20 s
	_ = l.Close()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	d, cleanup, err := daemon.New(s, daemon.NewLogger(t.Output(), s))
	if err != nil {
		t.Fatal(err)
	}
	sys := &system{address: s.Listen, daemon: d, runErr: make(chan error, 1)}
	go func() { sys.runErr <- d.Run() }()
	_, stopStandIns, err := fleet.New(fleet.Options{
		VMs: s.VMs, Workers: 2, Endpoints: 2, WorkersPerRack: 1, Capacity: pj.NewResources(8, 16, 0, 0), Slots: 8, ServiceTime: service, TaskRunTime: service,
	})
	if err != nil {
		t.Fatal(err)
	}
	client, closeClient := entry.New([]string{s.Listen}, "")
	sys.client = client
	t.Cleanup(func() {
		stopStandIns()
		closeClient()
		_ = d.Stop()
		cleanup()
	})
	sys.publishAndWait(t)
	return sys
}

// publish publishes the operator files with some of them replaced, by path. A file without content is left out.
func (s *system) publish(t *testing.T, replaced map[string]string) {
	t.Helper()
	var files []pj.OperatorFile
	for _, f := range operatorFiles {
		if content, ok := replaced[f.Path]; ok {
			f.Content = content
		}
		if f.Content != "" {
			files = append(files, f)
		}
	}
	config, err := s.client.Configuration(t.Context(), 0)
	if err == nil {
		_, err = s.client.Publish(t.Context(), pj.Publication{Files: files, ReplacedVersion: config.Version})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// publishAndWait publishes operatorFiles and waits until the VM serves requests and jobs.
func (s *system) publishAndWait(t *testing.T) {
	t.Helper()
	s.eventually(t, func() error {
		_, err := s.client.Publish(context.Background(), pj.Publication{Files: operatorFiles})
		return err
	})
	s.eventually(t, func() error {
		_, err := s.client.Request(context.Background(), "quick", []byte("warm-up"))
		return err
	})
	s.eventually(t, func() error {
		st, err := s.client.Status(context.Background())
		if err == nil && (len(st.Cells[0].Workers) < 2 || st.Cells[0].Usage[1].Allotment.IsZero()) {
			err = errors.New("workers or allotments are missing")
		}
		return err
	})
}

// eventually repeats check until it succeeds; it fails the test after 1000 attempts, 20 ms apart.
func (s *system) eventually(t *testing.T, check func() error) {
	t.Helper()
	var err error
	for range 1000 {
		if err = check(); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal(err)
}

// TestInvariantGracefulShutdown stops a VM while it serves requests and long polls. Each of them must get its response,
// and the daemon must end without an error.
func TestInvariantGracefulShutdown(t *testing.T) {
	tests := map[string]func(s *system) error{
		"a request in flight": func(s *system) error {
			reply, err := s.client.Request(context.Background(), "quick", []byte("x"))
			if err == nil && !strings.Contains(string(reply.Body), `"echo":"x"`) {
				err = fmt.Errorf("the response is %q", reply.Body)
			}
			return err
		},
		"a long poll for a job": func(s *system) error {
			id := "zone-1.longpoll"
			if _, err := s.client.Submit(context.Background(), id, pj.Submission{Queue: "batch", RunTime: pj.Duration(time.Hour)}); err != nil {
				return err
			}
			st, err := s.client.Job(context.Background(), id, 20*time.Second)
			if err == nil && st.State.Final() {
				err = fmt.Errorf("the job is %s", st.State)
			}
			return err
		},
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t, 500*time.Millisecond)
			errs := s.startConcurrentCalls(t, func() error { return call(s) })
			is.NoErr(s.daemon.Stop())
			for range concurrentCalls {
				is.NoErr(<-errs)
			}
			is.NoErr(<-s.runErr)
			_, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.address)
			is.True(err != nil) // the listener is closed
		})
	}
}

// TestStopAnswersLongRequests guards against requests that a stopping process holds for longer than the drain timeout and never answers.
func TestStopAnswersLongRequests(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 6*time.Second) // longer than the drain timeout
	errs := s.startConcurrentCalls(t, func() error {
		_, err := s.client.Request(context.Background(), "quick", []byte("x"))
		return err
	})
	is.NoErr(s.daemon.Stop())
	for range concurrentCalls {
		var e *pj.Error
		is.True(errors.As(<-errs, &e))
		is.Equal(e.NotRun, false) // an endpoint has it
	}
	is.NoErr(<-s.runErr)
}

// concurrentCalls is the number of calls in flight when a VM is stopped.
const concurrentCalls = 8

// startConcurrentCalls starts concurrentCalls calls and returns once all are in flight at the same time. The channel
// receives their results. If some end before the last has arrived, all must succeed, and they are started again.
func (s *system) startConcurrentCalls(t *testing.T, call func() error) chan error {
	t.Helper()
	for {
		errs := make(chan error, concurrentCalls)
		for range concurrentCalls {
			go func() { errs <- call() }()
		}
		allInFlight := false
		s.eventually(t, func() error {
			ended := len(errs) // read before the calls in flight, so that none is counted twice
			inFlight := s.daemon.CallersInFlight()
			allInFlight = inFlight == concurrentCalls
			if int64(ended)+inFlight < concurrentCalls {
				return fmt.Errorf("%d calls have ended, %d are in flight", ended, inFlight)
			}
			return nil
		})
		if allInFlight {
			return errs
		}
		for range concurrentCalls {
			if err := <-errs; err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestBadInput sends invalid requests. Each must be rejected with the right status and reported as not run.
func TestBadInput(t *testing.T) {
	s := startSystem(t, 10*time.Millisecond)
	issued, err := s.client.GrantKey(context.Background(), pj.IssuedKey{Workspace: "b"})
	if err != nil {
		t.Fatal(err)
	}
	s.eventually(t, func() error {
		_, err := s.client.WithKey(issued.Secret).Submit(context.Background(), "zone-1.warm", pj.Submission{Queue: "theirs"})
		return err
	})
	big := strings.Repeat("x", settings.DefaultMaxBodyBytes+1)
	tests := map[string]struct {
		method, path, body, key string
		status                  int
		code                    pj.Code
	}{
		"a body that is too large":                   {http.MethodPost, "/v1/queues/quick/requests", big, "", 413, pj.CodeTooLarge},
		"an unknown queue":                           {http.MethodPost, "/v1/queues/none/requests", "", "", 404, pj.CodeUnknownQueue},
		"a request to a queue for jobs":              {http.MethodPost, "/v1/queues/batch/requests", "", "", 400, pj.CodeBadRequest},
		"a request without a key":                    {http.MethodPost, "/v1/queues/closed/requests", "", "", 401, pj.CodeNoKey},
		"a request with a wrong key":                 {http.MethodPost, "/v1/queues/closed/requests", "", "pj_wrong", 401, pj.CodeWrongKey},
		"a request with another workspace's key":     {http.MethodPost, "/v1/queues/closed/requests", "", issued.Secret, 403, pj.CodeForbidden},
		"a job in broken JSON":                       {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": `, "", 400, pj.CodeBadRequest},
		"a job with an unknown field":                {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "batch", "size": 3}`, "", 400, pj.CodeBadRequest},
		"a job with trailing data":                   {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "batch"} x`, "", 400, pj.CodeBadRequest},
		"a job id without a zone":                    {http.MethodPut, "/v1/jobs/abcd", `{"queue": "batch"}`, "", 400, pj.CodeBadRequest},
		"a job id of an unknown zone":                {http.MethodPut, "/v1/jobs/mars.abcd", `{"queue": "batch"}`, "", 400, pj.CodeBadRequest},
		"a job of negative size":                     {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "batch", "task": {"cores": -1, "memory_gb": 1}}`, "", 400, pj.CodeBadRequest},
		"a job of too many tasks":                    {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "batch", "tasks": 100000}`, "", 400, pj.CodeBadRequest},
		"a job beyond the workspace's limit":         {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "batch", "task": {"cores": 33, "memory_gb": 1}}`, "", 400, pj.CodeNeverRuns},
		"a job for another workspace's queue":        {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "theirs"}`, "", 401, pj.CodeNoKey},
		"a job to a queue for requests":              {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "quick"}`, "", 400, pj.CodeBadRequest},
		"an unknown job":                             {http.MethodGet, "/v1/jobs/zone-1.none", "", "", 404, pj.CodeUnknownJob},
		"another workspace's job":                    {http.MethodGet, "/v1/jobs/zone-1.warm", "", "", 401, pj.CodeNoKey},
		"waiting for another workspace's job":        {http.MethodGet, "/v1/jobs/zone-1.warm?wait=1h", "", "", 401, pj.CodeNoKey}, // at once
		"cancelling another workspace's job":         {http.MethodDelete, "/v1/jobs/zone-1.warm", "", "", 401, pj.CodeNoKey},
		"a wait that is no duration":                 {http.MethodGet, "/v1/jobs/zone-1.warm?wait=soon", "", issued.Secret, 400, pj.CodeBadRequest},
		"a report under another worker's name":       {http.MethodPost, "/v1/workers/w1/report", `{"worker": "w2"}`, "", 400, pj.CodeBadRequest},
		"a report from an unknown zone":              {http.MethodPost, "/v1/workers/w1/report", `{"worker": "w1", "incarnation": "i", "zone": "mars"}`, "", 503, pj.CodeNoQuorum},
		"a report of negative capacity":              {http.MethodPost, "/v1/workers/w1/report", `{"worker": "w1", "incarnation": "i", "zone": "zone-1", "capacity": {"cores": -4}}`, "", 400, pj.CodeBadRequest},
		"an endpoint without slots":                  {http.MethodPost, "/v1/endpoints", `{"endpoint": "e", "address": "127.0.0.1:1", "zone": "zone-1", "ttl_ms": 1000}`, "", 400, pj.CodeBadRequest},
		"a publication with errors":                  {http.MethodPut, "/v1/configuration", `{"replaces": 1, "files": [{"path": "x.queue.json", "content": "{}"}]}`, "", 400, pj.CodeBadRequest},
		"a publication that replaces an old version": {http.MethodPut, "/v1/configuration", `{"replaces": 0, "files": [{"path": "fleet.json", "content": "{\"workspaces\": []}"}]}`, "", 409, pj.CodeConflict},
		"a key for an unknown workspace":             {http.MethodPost, "/v1/workspaces/none/keys", "", "", 400, pj.CodeBadRequest},
		"an unknown key to withdraw":                 {http.MethodDelete, "/v1/workspaces/a/keys/none", "", "", 400, pj.CodeBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := s.client.WithKey(test.key)
			status, err := client.Raw(context.Background(), test.method, test.path, []byte(test.body))
			is.Equal(status, test.status)
			is.Equal(pj.AsError(err).Code, test.code)
			is.True(pj.AsError(err).NotRun)
		})
	}
}

// TestRepeatedSubmission guards against refusing the repetition of an accepted submission, whose answer may have been
// lost, after the configuration or the keys have changed, and against acknowledging another submission that would never
// run.
func TestRepeatedSubmission(t *testing.T) {
	const batchFile, theirsFile = "batch.queue.json", "theirs.queue.json"
	s := startSystem(t, 10*time.Millisecond)
	issued, err := s.client.GrantKey(t.Context(), pj.IssuedKey{Workspace: "b"})
	if err != nil {
		t.Fatal(err)
	}
	keyOfB := issued.Secret
	s.eventually(t, func() error {
		_, err := s.client.WithKey(keyOfB).Submit(t.Context(), "zone-1.warm", pj.Submission{Queue: "theirs"})
		return err
	})
	batch := pj.Submission{Queue: "batch", Payload: "p"}
	large := pj.Submission{Queue: "batch", Task: pj.NewResources(4, 4, 0, 0)}
	theirs := pj.Submission{Queue: "theirs"}
	other := func(change func(*pj.Submission)) pj.Submission {
		changed := batch
		change(&changed)
		return changed
	}
	tests := map[string]struct {
		first, second       pj.Submission
		firstKey, secondKey string
		replaced            map[string]string // operator files that are published in between
		code                pj.Code           // empty if the second submission is accepted
		notRun              bool
	}{
		"no change": {first: batch, second: batch},
		"queue's number of tasks changed": {
			first: batch, second: batch,
			replaced: map[string]string{batchFile: `{"queue": "batch", "workspace": "a", "kind": "batch", "urgency": "normal", "repeatable": true, "open": true, "tasks": 2, "task": {"cores": 1, "memory_gb": 1}}`},
		},
		"queue moved to another workspace": {
			first: batch, second: batch, code: pj.CodeConflict,
			replaced: map[string]string{batchFile: `{"queue": "batch", "workspace": "b", "kind": "batch", "urgency": "normal", "repeatable": true, "open": true, "task": {"cores": 1, "memory_gb": 1}}`},
		},
		"other payload":   {first: batch, second: other(func(s *pj.Submission) { s.Payload = "x" }), code: pj.CodeConflict, notRun: true},
		"other resources": {first: batch, second: other(func(s *pj.Submission) { s.Task = pj.NewResources(2, 2, 0, 0) }), code: pj.CodeConflict, notRun: true},
		"other run time":  {first: batch, second: other(func(s *pj.Submission) { s.RunTime = pj.Duration(time.Minute) }), code: pj.CodeConflict, notRun: true},
		"queue removed":   {first: theirs, second: theirs, firstKey: keyOfB, secondKey: keyOfB, replaced: map[string]string{theirsFile: ""}},
		"open queue removed": {
			first: batch, second: batch, code: pj.CodeUnknownQueue, replaced: map[string]string{batchFile: ""},
		},
		"queue removed, other payload": {
			first: batch, second: other(func(s *pj.Submission) { s.Payload = "x" }), code: pj.CodeUnknownQueue, notRun: true, replaced: map[string]string{batchFile: ""},
		},
		"queue closed": {
			first: batch, second: batch, code: pj.CodeNoKey,
			replaced: map[string]string{batchFile: `{"queue": "batch", "workspace": "a", "kind": "batch", "urgency": "normal", "repeatable": true, "task": {"cores": 1, "memory_gb": 1}}`},
		},
		"queue is for requests now": {
			first: batch, second: batch,
			replaced: map[string]string{batchFile: `{"queue": "batch", "workspace": "a", "kind": "request", "urgency": "normal", "repeatable": true, "open": true}`},
		},
		"limit lowered": {
			first: large, second: large,
			replaced: map[string]string{"fleet.json": `{"workspaces": [
				{"workspace": "a", "share": 1, "limit": {"cores": 2, "memory_gb": 64, "request_slots": 32}},
				{"workspace": "b", "share": 1, "limit": {"cores": 8, "memory_gb": 16, "request_slots": 8}}]}`},
		},
		"key no longer valid": {first: theirs, second: theirs, firstKey: keyOfB, secondKey: "pj_wrong", code: pj.CodeWrongKey},
		"queue moved away from the key's workspace": {
			first: theirs, second: theirs, firstKey: keyOfB, secondKey: keyOfB,
			replaced: map[string]string{theirsFile: `{"queue": "theirs", "workspace": "a", "kind": "batch", "urgency": "normal", "repeatable": true, "task": {"cores": 1, "memory_gb": 1}}`},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id := command.NewJobID("zone-1")
			first, err := s.client.WithKey(test.firstKey).Submit(t.Context(), id, test.first)
			is.NoErr(err)
			s.publish(t, test.replaced)
			defer s.publish(t, nil)
			second, err := s.client.WithKey(test.secondKey).Submit(t.Context(), id, test.second)
			if test.code == "" {
				is.NoErr(err)
				is.Equal(second.Workspace, first.Workspace)
				is.Equal(len(second.Tasks), len(first.Tasks))
				return
			}
			is.True(err != nil)
			is.Equal(pj.AsError(err).Code, test.code)
			is.Equal(pj.AsError(err).NotRun, test.notRun)
			is.Equal(second.ID, "") // nothing of the job is shown
		})
	}
}

// TestRejectedWithdrawal guards against a VM that refuses a valid key for good because an operator named another workspace when withdrawing
// it, and was told that nothing was changed.
func TestRejectedWithdrawal(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 10*time.Millisecond)
	issued, err := s.client.GrantKey(t.Context(), pj.IssuedKey{Workspace: "b"})
	is.NoErr(err)
	submit := func(id string) error {
		_, err := s.client.WithKey(issued.Secret).Submit(t.Context(), id, pj.Submission{Queue: "theirs"})
		return err
	}
	s.eventually(t, func() error { return submit("zone-1.before") })
	err = s.client.WithdrawKey(t.Context(), "a", issued.ID)
	is.True(err != nil)
	is.Equal(pj.AsError(err).Code, pj.CodeBadRequest)
	is.True(pj.AsError(err).NotRun)
	is.NoErr(submit("zone-1.after"))
	is.NoErr(s.client.WithdrawKey(t.Context(), "b", issued.ID))
	is.Equal(pj.AsError(submit("zone-1.withdrawn")).Code, pj.CodeWrongKey)
}
