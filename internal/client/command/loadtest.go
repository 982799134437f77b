package command

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
)

// loadTest sends many requests or jobs, spread over all entry VMs, and counts their outcomes.
type loadTest struct {
	app      *App
	count    int
	parallel int
	interval time.Duration // between the starts of two requests; 0 for as fast as possible
	send     func(ctx context.Context, client *entry.Client, n int) error

	mu           sync.Mutex
	latencies    []time.Duration   // of the successful requests or jobs
	completedAt  []time.Duration   // of the same, since the start of the test
	errorCounts  map[string]int    // by error code
	errorSamples map[string]string // by error code, the text of the last such error
}

// loadTestSummary is the result of a load test. Times are in milliseconds.
type loadTestSummary struct {
	Sent         int               `json:"sent"`
	Succeeded    int               `json:"right"`
	Errors       map[string]int    `json:"errors,omitempty"`
	Samples      map[string]string `json:"samples,omitempty"`
	P50MS        float64           `json:"p50_ms"`
	P99MS        float64           `json:"p99_ms"`
	MaxMS        float64           `json:"max_ms"`
	LongestGapMS float64           `json:"longest_gap_ms"` // between two successful completions in a row
	TookMS       float64           `json:"took_ms"`
}

func (l *loadTest) addFlags(fs *flag.FlagSet) {
	fs.IntVar(&l.count, "count", 1, "how many to send; with more than one, only a summary is shown")
	fs.IntVar(&l.parallel, "parallel", 10, "with --count, how many to have in flight at once")
	fs.DurationVar(&l.interval, "pace", 0, "with --count, interval between two starts; 0 for as fast as possible")
}

var (
	errWrongResponse = errors.New("the answer belongs to another request")
	errErrorStatus   = errors.New("the endpoint responded with an error status")
)

// run sends everything and prints the summary; it fails unless everything succeeded.
func (l *loadTest) run(ctx context.Context) error {
	l.errorCounts = make(map[string]int)
	l.errorSamples = make(map[string]string)
	addresses := strings.Split(l.app.entryAddresses, ",")
	tlsConfig, err := l.app.tlsConfig()
	if err != nil {
		return err
	}
	numbers := make(chan int)
	started := time.Now()
	var senders sync.WaitGroup
	for i := range max(l.parallel, 1) {
		rotated := slices.Concat(addresses[i%len(addresses):], addresses[:i%len(addresses)])
		client, closeClient := entry.New(rotated, l.app.key, entry.WithTLS(tlsConfig))
		defer closeClient()
		senders.Add(1)
		go func() {
			defer senders.Done()
			for n := range numbers {
				sentAt := time.Now()
				l.record(l.send(ctx, client, n), time.Since(sentAt), time.Since(started))
			}
		}()
	}
	for n := range l.count {
		if wait := time.Until(started.Add(time.Duration(n) * l.interval)); l.interval > 0 && wait > 0 {
			time.Sleep(wait)
		}
		numbers <- n
	}
	close(numbers)
	senders.Wait()
	s := l.summary(time.Since(started))
	if err := l.app.print(s, func(w io.Writer) { writeLoadTest(w, s) }); err != nil {
		return err
	}
	if s.Succeeded != s.Sent {
		return fmt.Errorf("%d of %d did not succeed", s.Sent-s.Succeeded, s.Sent)
	}
	return nil
}

func (l *loadTest) record(err error, latency, completedAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.latencies = append(l.latencies, latency)
		l.completedAt = append(l.completedAt, completedAt)
		return
	}
	code := "connection"
	var e *pj.Error
	switch {
	case errors.As(err, &e):
		code = string(e.Code)
		if e.NotRun {
			code += " (not run)"
		}
	case errors.Is(err, errWrongResponse):
		code = "wrong answer"
	case errors.Is(err, errErrorStatus):
		code = "error status"
	case errors.Is(err, errJobFailed):
		code = "job failed"
	}
	l.errorCounts[code]++
	l.errorSamples[code] = err.Error()
}

func (l *loadTest) summary(duration time.Duration) loadTestSummary {
	s := loadTestSummary{Sent: l.count, Succeeded: len(l.latencies), Errors: l.errorCounts, Samples: l.errorSamples, TookMS: milliseconds(duration)}
	if len(l.latencies) == 0 {
		return s
	}
	slices.Sort(l.latencies)
	s.P50MS = milliseconds(l.latencies[len(l.latencies)/2])
	s.P99MS = milliseconds(l.latencies[len(l.latencies)*99/100])
	s.MaxMS = milliseconds(l.latencies[len(l.latencies)-1])
	slices.Sort(l.completedAt)
	for i := 1; i < len(l.completedAt); i++ {
		s.LongestGapMS = max(s.LongestGapMS, milliseconds(l.completedAt[i]-l.completedAt[i-1]))
	}
	return s
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func writeLoadTest(w io.Writer, s loadTestSummary) {
	_, _ = fmt.Fprintf(w, "%d sent, %d right, p50 %.1f ms, p99 %.1f ms, longest %.1f ms, longest gap %.1f ms, in %.1f s\n",
		s.Sent, s.Succeeded, s.P50MS, s.P99MS, s.MaxMS, s.LongestGapMS, s.TookMS/1000)
	for _, code := range slices.Sorted(maps.Keys(s.Errors)) {
		_, _ = fmt.Fprintf(w, "  %d × %s: %s\n", s.Errors[code], code, s.Samples[code])
	}
}

// sendRequest sends one request with a unique body. If the response names a request, as those of the
// stand-in endpoints do, it also checks that the response echoes this request's body and id.
func sendRequest(ctx context.Context, client *entry.Client, queue, body string, n int) error {
	uniqueBody := fmt.Sprintf("%s#%d", cmp.Or(body, "burst"), n)
	response, err := client.Request(ctx, queue, []byte(uniqueBody))
	if err != nil {
		return err
	}
	if response.Status >= http.StatusBadRequest {
		return fmt.Errorf("%w: %d", errErrorStatus, response.Status)
	}
	var parsed struct {
		Request string `json:"request"`
		Echo    string `json:"echo"`
	}
	if json.Unmarshal(response.Body, &parsed) == nil && parsed.Request != "" &&
		(parsed.Echo != uniqueBody || parsed.Request != response.Header.Get("X-Request-Id")) {
		return errWrongResponse
	}
	return nil
}

// jobRetryTimeout bounds how long submitting and polling one job of a load test are retried.
const jobRetryTimeout = 40 * time.Second

// retryTransient retries an idempotent call, as callers are expected to, while the outcome is unknown,
// there is no quorum or the error is internal. The error has NotRun only if no attempt can have had an effect.
func retryTransient(ctx context.Context, call func() error) error {
	mayHaveRun := false
	for {
		err := call()
		if err == nil {
			return nil
		}
		if mayHaveRun {
			err = pj.ClearNotRun(err)
		}
		mayHaveRun = mayHaveRun || !pj.AsError(err).NotRun
		code := pj.AsError(err).Code
		if code != pj.CodeOutcomeUnknown && code != pj.CodeNoQuorum && code != pj.CodeInternal {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(time.Second):
		}
	}
}

// runJob submits a job and waits until it has ended.
func runJob(ctx context.Context, client *entry.Client, id string, s pj.Submission) error {
	retryCtx, cancel := context.WithTimeout(ctx, jobRetryTimeout)
	defer cancel()
	err := retryTransient(retryCtx, func() error {
		_, err := client.Submit(ctx, id, s)
		return err
	})
	if err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	for {
		var st pj.JobStatus
		err := retryTransient(retryCtx, func() (err error) {
			st, err = client.Job(ctx, id, pollWait)
			return err
		})
		if err != nil {
			return fmt.Errorf("job %s: %w", id, pj.ClearNotRun(err)) // the job is accepted
		}
		if st.State.Final() && st.State != pj.JobFinished {
			return fmt.Errorf("%w: %s %s: %s", errJobFailed, id, st.State, st.Reason)
		}
		if st.State.Final() {
			return nil
		}
	}
}
