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
	"papayajunction/internal/client/entry"
	"papayajunction/internal/config/settings"
	"papayajunction/internal/server/daemon"
	"papayajunction/internal/standin/fleet"
)

// files are the operator files of the tests.
var files = []pj.OperatorFile{
	{Path: "fleet.json", Content: `{"workspaces": [
		{"workspace": "a", "share": 1, "limit": {"cores": 32, "memory_gb": 64, "request_slots": 32}},
		{"workspace": "b", "share": 1, "limit": {"cores": 8, "memory_gb": 16, "request_slots": 8}}]}`},
	{Path: "quick.queue.json", Content: `{"queue": "quick", "workspace": "a", "kind": "request", "urgency": "urgent", "repeatable": false, "open": true, "timeout": "20s"}`},
	{Path: "closed.queue.json", Content: `{"queue": "closed", "workspace": "a", "kind": "request", "urgency": "normal", "repeatable": true}`},
	{Path: "batch.queue.json", Content: `{"queue": "batch", "workspace": "a", "kind": "batch", "urgency": "normal", "repeatable": true, "open": true, "task": {"cores": 1, "memory_gb": 1}}`},
	{Path: "theirs.queue.json", Content: `{"queue": "theirs", "workspace": "b", "kind": "batch", "urgency": "normal", "repeatable": true, "task": {"cores": 1, "memory_gb": 1}}`},
}

// system is one VM with stand-ins, all in this process.
type system struct {
	address string
	daemon  *daemon.Daemon
	client  *entry.Client
	ran     chan error
}

func start(t *testing.T, service time.Duration) *system {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := settings.Default()
	s.Listen, s.DataDir, s.Quiet = l.Addr().String(), t.TempDir(), true
	s.DrainTimeout = 3 * time.Second // far less than the long polls of these tests
	_ = l.Close()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	d, cleanup, err := daemon.New(s, daemon.NewLogger(t.Output(), s))
	if err != nil {
		t.Fatal(err)
	}
	sys := &system{address: s.Listen, daemon: d, ran: make(chan error, 1)}
	go func() { sys.ran <- d.Run() }()
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
	sys.publish(t)
	return sys
}

// publish waits until the VM serves.
func (s *system) publish(t *testing.T) {
	t.Helper()
	s.until(t, func() error {
		_, err := s.client.Publish(context.Background(), pj.Publication{Files: files})
		return err
	})
	s.until(t, func() error {
		_, err := s.client.Request(context.Background(), "quick", []byte("warm-up"))
		return err
	})
	s.until(t, func() error {
		st, err := s.client.Status(context.Background())
		if err == nil && (len(st.Cells[0].Workers) < 2 || st.Cells[0].Use[1].Allotment.IsZero()) {
			err = errors.New("workers or allotments are missing")
		}
		return err
	})
}

// until repeats a step; the test's own time limit bounds it.
func (s *system) until(t *testing.T, step func() error) {
	t.Helper()
	var err error
	for range 1000 {
		if err = step(); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal(err)
}

// TestInvariantGracefulShutdown stops a VM while it carries requests and long polls; every one of
// them must be answered, and the daemon must end without an error.
func TestInvariantGracefulShutdown(t *testing.T) {
	tests := map[string]func(s *system) error{
		"a request in flight": func(s *system) error {
			reply, err := s.client.Request(context.Background(), "quick", []byte("x"))
			if err == nil && !strings.Contains(string(reply.Body), `"echo":"x"`) {
				err = fmt.Errorf("the answer is %q", reply.Body)
			}
			return err
		},
		"a caller that waits for a job": func(s *system) error {
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
			s := start(t, 500*time.Millisecond)
			errs := s.carry(t, func() error { return call(s) })
			is.NoErr(s.daemon.Stop())
			for range inFlight {
				is.NoErr(<-errs)
			}
			is.NoErr(<-s.ran)
			_, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.address)
			is.True(err != nil) // nobody listens any more
		})
	}
}

// inFlight is how many calls a VM carries when it is stopped.
const inFlight = 8

// carry returns when the VM carries all calls at the same moment, with the channel on which they end. If the first were
// answered before the last had arrived, they must have been answered well, and all begin again.
func (s *system) carry(t *testing.T, call func() error) chan error {
	t.Helper()
	for {
		errs := make(chan error, inFlight)
		for range inFlight {
			go func() { errs <- call() }()
		}
		together := false
		s.until(t, func() error {
			answered := len(errs) // before the others are counted, so that none is counted twice
			carried := s.daemon.Carried()
			together = carried == inFlight
			if int64(answered)+carried < inFlight {
				return fmt.Errorf("%d calls were answered, %d are in flight", answered, carried)
			}
			return nil
		})
		if together {
			return errs
		}
		for range inFlight {
			if err := <-errs; err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestBadInput sends what callers get wrong; each must be refused unrun with the right status.
func TestBadInput(t *testing.T) {
	s := start(t, 10*time.Millisecond)
	granted, err := s.client.GrantKey(context.Background(), pj.IssuedKey{Workspace: "b"})
	if err != nil {
		t.Fatal(err)
	}
	s.until(t, func() error {
		_, err := s.client.WithKey(granted.Secret).Submit(context.Background(), "zone-1.warm", pj.Submission{Queue: "theirs"})
		return err
	})
	big := strings.Repeat("x", settings.DefaultMaxBodyBytes+1)
	tests := map[string]struct {
		method, path, body, key string
		status                  int
		code                    pj.Code
	}{
		"a body that is too large":           {http.MethodPost, "/v1/queues/quick/requests", big, "", 413, pj.CodeTooLarge},
		"an unknown queue":                   {http.MethodPost, "/v1/queues/none/requests", "", "", 404, pj.CodeUnknownQueue},
		"a request to a queue for jobs":      {http.MethodPost, "/v1/queues/batch/requests", "", "", 400, pj.CodeBadRequest},
		"a request without a key":            {http.MethodPost, "/v1/queues/closed/requests", "", "", 401, pj.CodeNoKey},
		"a request with a wrong key":         {http.MethodPost, "/v1/queues/closed/requests", "", "pj_wrong", 401, pj.CodeWrongKey},
		"a request with another's key":       {http.MethodPost, "/v1/queues/closed/requests", "", granted.Secret, 403, pj.CodeForbidden},
		"a job in broken JSON":               {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": `, "", 400, pj.CodeBadRequest},
		"a job with an unknown field":        {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "batch", "size": 3}`, "", 400, pj.CodeBadRequest},
		"a job with something after it":      {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "batch"} x`, "", 400, pj.CodeBadRequest},
		"a job id without a zone":            {http.MethodPut, "/v1/jobs/abcd", `{"queue": "batch"}`, "", 400, pj.CodeBadRequest},
		"a job id of an unknown zone":        {http.MethodPut, "/v1/jobs/mars.abcd", `{"queue": "batch"}`, "", 400, pj.CodeBadRequest},
		"a job of negative size":             {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "batch", "task": {"cores": -1, "memory_gb": 1}}`, "", 400, pj.CodeBadRequest},
		"a job of too many tasks":            {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "batch", "tasks": 100000}`, "", 400, pj.CodeBadRequest},
		"a job beyond the workspace's limit": {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "batch", "task": {"cores": 33, "memory_gb": 1}}`, "", 400, pj.CodeNeverRuns},
		"a job for a queue of another":       {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "theirs"}`, "", 401, pj.CodeNoKey},
		"a job to a queue for requests":      {http.MethodPut, "/v1/jobs/zone-1.abcd", `{"queue": "quick"}`, "", 400, pj.CodeBadRequest},
		"an unknown job":                     {http.MethodGet, "/v1/jobs/zone-1.none", "", "", 404, pj.CodeUnknownJob},
		"another workspace's job":            {http.MethodGet, "/v1/jobs/zone-1.warm", "", "", 401, pj.CodeNoKey},
		"cancelling another's job":           {http.MethodDelete, "/v1/jobs/zone-1.warm", "", "", 401, pj.CodeNoKey},
		"a wait that is no time":             {http.MethodGet, "/v1/jobs/zone-1.warm?wait=soon", "", granted.Secret, 400, pj.CodeBadRequest},
		"a report under another's name":      {http.MethodPost, "/v1/workers/w1/report", `{"worker": "w2"}`, "", 400, pj.CodeBadRequest},
		"a report from another zone":         {http.MethodPost, "/v1/workers/w1/report", `{"worker": "w1", "incarnation": "i", "zone": "mars"}`, "", 503, pj.CodeNoQuorum},
		"a report of negative capacity":      {http.MethodPost, "/v1/workers/w1/report", `{"worker": "w1", "incarnation": "i", "zone": "zone-1", "capacity": {"cores": -4}}`, "", 400, pj.CodeBadRequest},
		"an endpoint without slots":          {http.MethodPost, "/v1/endpoints", `{"endpoint": "e", "address": "127.0.0.1:1", "zone": "zone-1", "ttl_ms": 1000}`, "", 400, pj.CodeBadRequest},
		"a publication with faults":          {http.MethodPut, "/v1/configuration", `{"replaces": 1, "files": [{"path": "x.queue.json", "content": "{}"}]}`, "", 400, pj.CodeBadRequest},
		"a publication that comes too late":  {http.MethodPut, "/v1/configuration", `{"replaces": 0, "files": [{"path": "fleet.json", "content": "{\"workspaces\": []}"}]}`, "", 409, pj.CodeConflict},
		"a key for an unknown workspace":     {http.MethodPost, "/v1/workspaces/none/keys", "", "", 400, pj.CodeBadRequest},
		"an unknown key to withdraw":         {http.MethodDelete, "/v1/workspaces/a/keys/none", "", "", 400, pj.CodeBadRequest},
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
