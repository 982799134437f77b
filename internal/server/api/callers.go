package api

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"time"

	pj "papayajunction"
	"papayajunction/internal/traffic/dispatch"
	"papayajunction/internal/traffic/filter"
)

var jobIDPattern = regexp.MustCompile(`^[a-z0-9-]{1,63}\.[A-Za-z0-9_-]{4,64}$`)

// Limits of jobs and request ids.
const (
	maxTasks       = 10000
	requestIDBytes = 12
	maxRequestID   = 100
)

// repetitionTimeout bounds how long a refusal waits for the cell's answer whether the job exists.
const repetitionTimeout = 2 * time.Second

func newRequestID() string {
	b := make([]byte, requestIDBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// request sends a request to an endpoint and responds with the endpoint's response.
func (a *API) request(w http.ResponseWriter, r *http.Request) {
	x := &pj.Exchange{
		RequestID:   cmp.Or(r.Header.Get(dispatch.HeaderRequestID), newRequestID()),
		QueueName:   r.PathValue("queue"),
		Secret:      bearerToken(r),
		ContentType: r.Header.Get("Content-Type"),
		Arrived:     time.Now(),
	}
	w.Header().Set(dispatch.HeaderRequestID, x.RequestID)
	if len(x.RequestID) > maxRequestID {
		writeError(w, pj.Refuse(pj.CodeBadRequest, "the request id is longer than %d bytes", maxRequestID))
		return
	}
	body, err := readBody(w, r, a.settings.MaxBodyBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	x.Body = body
	x.Stream = func(head pj.Response, length int64) io.Writer {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
		writeHead(w, x, head)
		return w
	}
	err = a.chain.Serve(r.Context(), x)
	switch {
	case errors.Is(err, dispatch.ErrTruncated):
		panic(http.ErrAbortHandler) // closes the connection, so that the caller does not take the truncated response as complete
	case err != nil:
		writeError(w, err)
	case !x.Response.Streamed:
		writeHead(w, x, x.Response)
		_, _ = w.Write(x.Response.Body)
	}
}

func writeHead(w http.ResponseWriter, x *pj.Exchange, head pj.Response) {
	if head.ContentType != "" {
		w.Header().Set("Content-Type", head.ContentType)
	}
	w.Header().Set("X-Endpoint", x.Endpoint)
	w.Header().Set("X-Waited", x.Waited.String())
	w.WriteHeader(head.Status)
}

// submit responds with status 202 (accepted) once the job is committed.
func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	if a.rejectingWork.Load() {
		writeError(w, pj.Refuse(pj.CodeDraining, "this VM is stopping; send the job again"))
		return
	}
	var s pj.Submission
	if err := readJSON(w, r, a.settings.MaxBodyBytes, &s); err != nil {
		writeError(w, err)
		return
	}
	id := r.PathValue("id")
	if err := a.checkJobID(id); err != nil {
		writeError(w, err)
		return
	}
	job, err := a.buildJob(id, bearerToken(r), s)
	if err != nil {
		a.refuseSubmission(w, r, s, pj.AsError(err))
		return
	}
	st, err := a.node.Submit(r.Context(), job)
	if err != nil {
		writeError(w, err)
		return
	}
	_ = a.logger.Log("event", "job_accepted", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "tasks", job.Tasks)
	writeJSON(w, http.StatusAccepted, st)
}

// refuseSubmission responds to a submission that can't be accepted by the configuration and keys in force. They may have
// changed since an attempt whose response was lost, so it asks the job's cell: the caller of a job that exists receives its
// status, and the refusal has NotRun only if no attempt was accepted.
func (a *API) refuseSubmission(w http.ResponseWriter, r *http.Request, s pj.Submission, refusal *pj.Error) {
	if refusal.Code == pj.CodeNoQuorum || refusal.Code == pj.CodeKeysUnknown {
		writeError(w, refusal) // of this VM only; another may accept the submission
		return
	}
	id := r.PathValue("id")
	fingerprint, err := s.Fingerprint()
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), repetitionTimeout)
	defer cancel()
	st, err := a.node.Repeated(ctx, pj.Job{
		ID: id, Workspace: a.submitterWorkspace(s.Queue, bearerToken(r)), Queue: s.Queue, Payload: s.Payload, Fingerprint: fingerprint,
	})
	if err == nil {
		writeJSON(w, http.StatusAccepted, st)
		return
	}
	e := pj.AsError(err)
	if !e.NotRun || (e.Code != pj.CodeUnknownJob && e.Code != pj.CodeConflict) {
		uncertain := *refusal
		uncertain.NotRun = false
		uncertain.Message += fmt.Sprintf("; job %s may have been accepted before", id)
		refusal = &uncertain
	}
	writeError(w, refusal)
}

// submitterWorkspace returns the workspace to which a job of the caller would belong, or "" if the caller can't be
// identified.
func (a *API) submitterWorkspace(queue, secret string) string {
	directory := a.node.Directory()
	if q, err := filter.FindQueue(directory, queue); err == nil {
		if identity, err := filter.Authorize(directory, q, secret); err == nil {
			return identity.Workspace
		}
	}
	if identity, err := directory.Identify(secret); err == nil {
		return identity.Workspace
	}
	return ""
}

func (a *API) checkJobID(id string) error {
	if !jobIDPattern.MatchString(id) {
		return pj.Refuse(pj.CodeBadRequest, "job id %q must have the form ZONE.RANDOM, with 4 to 64 letters, digits, _ or - after the dot", id)
	}
	if !slices.Contains(a.node.Topology().Zones(), pj.HomeZone(id)) {
		return pj.Refuse(pj.CodeBadRequest, "unknown zone %q in the job id", pj.HomeZone(id))
	}
	return nil
}

// buildJob validates a submission and returns the job with the defaults of its queue.
func (a *API) buildJob(id, secret string, s pj.Submission) (pj.Job, error) {
	q, err := filter.FindQueue(a.node.Directory(), s.Queue)
	if err != nil {
		return pj.Job{}, err
	}
	if q.Kind == pj.KindRequest {
		return pj.Job{}, pj.Refuse(pj.CodeBadRequest, "queue %s accepts requests (POST /v1/queues/%s/requests), not jobs", q.Name, q.Name)
	}
	identity, err := filter.Authorize(a.node.Directory(), q, secret)
	if err != nil {
		return pj.Job{}, err
	}
	fingerprint, err := s.Fingerprint()
	if err != nil {
		return pj.Job{}, err
	}
	job := pj.Job{
		ID: id, Workspace: identity.Workspace, Queue: q.Name, Kind: q.Kind, Urgency: q.Urgency, Repeatable: q.Repeatable,
		Tasks: cmp.Or(s.Tasks, q.Tasks), Task: q.Task, RunTime: cmp.Or(s.RunTime, q.RunTime),
		Payload: s.Payload, MaxAttempts: q.Attempts, MaxWaiting: q.MaxWaiting, Fingerprint: fingerprint,
	}
	if !s.Task.IsZero() {
		job.Task = s.Task
	}
	return job, a.checkSize(job)
}

func (a *API) checkSize(job pj.Job) error {
	zero := pj.Resources{}
	if job.Tasks < 1 || job.Tasks > maxTasks || !zero.Fits(job.Task) || job.RunTime < 0 {
		return pj.Refuse(pj.CodeBadRequest, "a job needs 1 to %d tasks, and its resources and run time must not be negative", maxTasks)
	}
	if job.Task[pj.Cores] == 0 || job.Task[pj.Memory] == 0 || job.Task[pj.Slots] != 0 {
		return pj.Refuse(pj.CodeBadRequest, "a task must have cores and memory_gb, and must not have request_slots")
	}
	required := job.Task
	if job.Kind == pj.KindGang {
		required = job.Task.Mul(int64(job.Tasks))
	}
	w := a.node.Directory().Configuration().Workspaces[job.Workspace]
	if !required.FitsWhereUsed(w.Limit) {
		return pj.Refuse(pj.CodeNeverRuns, "the job needs %v at once, which is more than the upper limit of workspace %s, %v", required, w.Name, w.Limit)
	}
	return nil
}

// workspaceForRead returns the workspace whose jobs the caller may read, or "" without a key: then the caller may read
// only jobs of open queues. The key is also accepted after the key lease has expired.
func (a *API) workspaceForRead(r *http.Request) (string, error) {
	secret := bearerToken(r)
	if secret == "" {
		return "", nil
	}
	identity, err := a.node.Directory().IdentifyIgnoringLease(secret)
	return identity.Workspace, err
}

// job responds with a job's status. With ?wait=10s it responds once the job has ended or 10 seconds have elapsed.
func (a *API) job(w http.ResponseWriter, r *http.Request) {
	workspace, err := a.workspaceForRead(r)
	if err != nil {
		writeError(w, err)
		return
	}
	wait, err := parseWait(r)
	if err != nil {
		writeError(w, err)
		return
	}
	id := r.PathValue("id")
	if workspace == "" {
		if err := a.requireOpenQueue(r.Context(), id); err != nil {
			writeError(w, err)
			return
		}
	}
	st, err := a.waitJob(r.Context(), id, workspace, wait)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, st)
}

// requireOpenQueue returns an error unless the job is one of an open queue.
func (a *API) requireOpenQueue(ctx context.Context, id string) error {
	st, err := a.node.Job(ctx, id, "", 0)
	if err != nil {
		return err
	}
	if !a.node.Directory().Configuration().Queues[st.Queue].Open {
		return pj.Refuse(pj.CodeNoKey, "send the workspace's key as Authorization: Bearer KEY")
	}
	return nil
}

func parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, pj.Refuse(pj.CodeBadRequest, "wait=%q is not a duration such as 10s", text)
	}
	return min(wait, maxWait), nil
}

// waitJob waits for a job to end. When the VM stops, it returns the current status early, so that the response is
// complete before the connection is closed.
func (a *API) waitJob(ctx context.Context, id, workspace string, wait time.Duration) (pj.JobStatus, error) {
	if wait > 0 {
		a.waitingCallers.Add(1)
		defer a.waitingCallers.Add(-1)
		waitCtx, cancel := context.WithCancel(ctx)
		removeCallback := context.AfterFunc(a.stopped, cancel)
		st, err := a.node.Job(waitCtx, id, workspace, wait)
		removeCallback()
		cancel()
		if err == nil || a.stopped.Err() == nil {
			return st, err
		}
	}
	return a.node.Job(ctx, id, workspace, 0)
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	workspace, err := a.workspaceForCancel(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if workspace == "" {
		if err := a.requireOpenQueue(r.Context(), id); err != nil {
			writeError(w, err)
			return
		}
	}
	st, err := a.node.Cancel(r.Context(), id, workspace)
	if err != nil {
		writeError(w, err)
		return
	}
	_ = a.logger.Log("event", "job_cancelled", "job", id, "workspace", workspace)
	writeJSON(w, http.StatusOK, st)
}

// workspaceForCancel returns the workspace whose jobs the caller may cancel, or "" without a key. Unlike
// workspaceForRead, it rejects keys once the key lease has expired.
func (a *API) workspaceForCancel(r *http.Request) (string, error) {
	secret := bearerToken(r)
	if secret == "" {
		return "", nil
	}
	identity, err := a.node.Directory().Identify(secret)
	return identity.Workspace, err
}
