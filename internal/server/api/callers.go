package api

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
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

// Bounds of jobs.
const (
	maxTasks       = 10000
	requestIDBytes = 12
	maxRequestID   = 100
)

func newRequestID() string {
	b := make([]byte, requestIDBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// request carries a quick request to an endpoint and answers in the same connection.
func (a *API) request(w http.ResponseWriter, r *http.Request) {
	x := &pj.Exchange{
		RequestID:   cmp.Or(r.Header.Get(dispatch.HeaderRequestID), newRequestID()),
		QueueName:   r.PathValue("queue"),
		Secret:      bearer(r),
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
		panic(http.ErrAbortHandler) // so that the caller sees a broken connection and no whole answer
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

// submit makes a job durable before it answers "accepted".
func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	if a.closed.Load() {
		writeError(w, pj.Refuse(pj.CodeDraining, "this VM is stopping; send the job again"))
		return
	}
	var s pj.Submission
	if err := readJSON(w, r, a.settings.MaxBodyBytes, &s); err != nil {
		writeError(w, err)
		return
	}
	job, err := a.newJob(r.PathValue("id"), bearer(r), s)
	if err != nil {
		writeError(w, err)
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

// newJob checks a submission and completes it from its queue.
func (a *API) newJob(id, secret string, s pj.Submission) (pj.Job, error) {
	if !jobIDPattern.MatchString(id) {
		return pj.Job{}, pj.Refuse(pj.CodeBadRequest, "job id %q is not like ZONE.RANDOM with 4 to 64 letters and digits after the point", id)
	}
	if !slices.Contains(a.node.Topology().Zones(), pj.HomeZone(id)) {
		return pj.Job{}, pj.Refuse(pj.CodeBadRequest, "zone %q of the job id is not known", pj.HomeZone(id))
	}
	q, err := filter.FindQueue(a.node.Directory(), s.Queue)
	if err != nil {
		return pj.Job{}, err
	}
	if q.Kind == pj.KindRequest {
		return pj.Job{}, pj.Refuse(pj.CodeBadRequest, "queue %s takes requests (POST /v1/queues/%s/requests), no jobs", q.Name, q.Name)
	}
	identity, err := filter.Authorize(a.node.Directory(), q, secret)
	if err != nil {
		return pj.Job{}, err
	}
	job := pj.Job{
		ID: id, Workspace: identity.Workspace, Queue: q.Name, Kind: q.Kind, Urgency: q.Urgency, Repeatable: q.Repeatable,
		Tasks: cmp.Or(s.Tasks, q.Tasks), Task: q.Task, RunTime: cmp.Or(s.RunTime, q.RunTime),
		Payload: s.Payload, MaxAttempts: q.Attempts, MaxWaiting: q.MaxWaiting,
	}
	if !s.Task.IsZero() {
		job.Task = s.Task
	}
	return job, a.checkSize(job)
}

func (a *API) checkSize(job pj.Job) error {
	none := pj.Resources{}
	if job.Tasks < 1 || job.Tasks > maxTasks || !none.Fits(job.Task) || job.RunTime < 0 {
		return pj.Refuse(pj.CodeBadRequest, "a job has 1 to %d tasks, and no size or run time is negative", maxTasks)
	}
	if job.Task[pj.Cores] == 0 || job.Task[pj.Memory] == 0 || job.Task[pj.Slots] != 0 {
		return pj.Refuse(pj.CodeBadRequest, "a task needs some cores and some memory_gb, and no request_slots")
	}
	needed := job.Task
	if job.Kind == pj.KindGang {
		needed = job.Task.Mul(int64(job.Tasks))
	}
	w := a.node.Directory().Configuration().Workspaces[job.Workspace]
	if !needed.FitsWhereUsed(w.Limit) {
		return pj.Refuse(pj.CodeNeverRuns, "%v at once is more than the upper limit of workspace %s, %v", needed, w.Name, w.Limit)
	}
	return nil
}

// viewer returns the workspace whose jobs the caller may see; "" for jobs of open queues.
func (a *API) viewer(r *http.Request) (string, error) {
	secret := bearer(r)
	if secret == "" {
		return "", nil
	}
	id, err := a.node.Directory().IdentifyIgnoringLease(secret)
	return id.Workspace, err
}

// job answers with a job's status, with ?wait=10s once it has ended or that time is over.
func (a *API) job(w http.ResponseWriter, r *http.Request) {
	workspace, err := a.viewer(r)
	if err != nil {
		writeError(w, err)
		return
	}
	wait, err := waitOf(r)
	if err != nil {
		writeError(w, err)
		return
	}
	id := r.PathValue("id")
	st, err := a.waitJob(r.Context(), id, workspace, wait)
	if err == nil && workspace == "" {
		err = a.checkOpen(st)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, st)
}

func (a *API) checkOpen(st pj.JobStatus) error {
	if q := a.node.Directory().Configuration().Queues[st.Queue]; !q.Open {
		return pj.Refuse(pj.CodeNoKey, "send the workspace's key as Authorization: Bearer KEY")
	}
	return nil
}

func waitOf(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, pj.Refuse(pj.CodeBadRequest, "wait=%q is not a time such as 10s", text)
	}
	return min(wait, maxWait), nil
}

// waitJob ends the wait early when the VM stops, so that no answer is cut off.
func (a *API) waitJob(ctx context.Context, id, workspace string, wait time.Duration) (pj.JobStatus, error) {
	if wait > 0 {
		a.waits.Add(1)
		defer a.waits.Add(-1)
		waiting, cancel := context.WithCancel(ctx)
		release := context.AfterFunc(a.stopped, cancel)
		st, err := a.node.Job(waiting, id, workspace, wait)
		release()
		cancel()
		if err == nil || a.stopped.Err() == nil {
			return st, err
		}
	}
	return a.node.Job(ctx, id, workspace, 0)
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	workspace, err := a.canceller(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if workspace == "" {
		st, err := a.node.Job(r.Context(), id, "", 0)
		if err == nil {
			err = a.checkOpen(st)
		}
		if err != nil {
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

// canceller returns the workspace whose jobs the caller may cancel. Unlike reading, this needs a
// key that is known to be in force.
func (a *API) canceller(r *http.Request) (string, error) {
	secret := bearer(r)
	if secret == "" {
		return "", nil
	}
	id, err := a.node.Directory().Identify(secret)
	return id.Workspace, err
}
