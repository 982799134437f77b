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
	"slices"
	"strings"
	"sync"
	"time"

	pj "papayajunction"
	"papayajunction/internal/client/entry"
)

// burst sends many requests or jobs through all entry VMs in turn and counts the outcomes.
type burst struct {
	app      *App
	count    int
	parallel int
	pace     time.Duration // time between the starts of two requests; 0 for as fast as possible
	one      func(ctx context.Context, client *entry.Client, n int) error

	mu      sync.Mutex
	took    []time.Duration
	ends    []time.Duration
	codes   map[string]int
	samples map[string]string
}

// burstSummary is the result of a burst. Times are in milliseconds.
type burstSummary struct {
	Sent         int               `json:"sent"`
	Right        int               `json:"right"`
	Errors       map[string]int    `json:"errors,omitempty"`
	Samples      map[string]string `json:"samples,omitempty"`
	P50MS        float64           `json:"p50_ms"`
	P99MS        float64           `json:"p99_ms"`
	MaxMS        float64           `json:"max_ms"`
	LongestGapMS float64           `json:"longest_gap_ms"` // between two right answers
	TookMS       float64           `json:"took_ms"`
}

func (b *burst) flags(fs *flag.FlagSet) {
	fs.IntVar(&b.count, "count", 1, "how many to send; more than one shows a summary")
	fs.IntVar(&b.parallel, "parallel", 10, "with --count, how many at once")
	fs.DurationVar(&b.pace, "pace", 0, "with --count, time between two starts")
}

var errWrongAnswer = errors.New("the answer belongs to another request")

// run sends everything and prints the summary; it fails unless all answers were right.
func (b *burst) run(ctx context.Context) error {
	b.codes = make(map[string]int)
	b.samples = make(map[string]string)
	addresses := strings.Split(b.app.entries, ",")
	numbers := make(chan int)
	started := time.Now()
	var done sync.WaitGroup
	for i := range max(b.parallel, 1) {
		own := slices.Concat(addresses[i%len(addresses):], addresses[:i%len(addresses)])
		client, closeClient := entry.New(own, b.app.key, entry.WithTLS(b.app.tlsConfig()))
		defer closeClient()
		done.Add(1)
		go func() {
			defer done.Done()
			for n := range numbers {
				begun := time.Now()
				b.record(b.one(ctx, client, n), time.Since(begun), time.Since(started))
			}
		}()
	}
	for n := range b.count {
		if wait := time.Until(started.Add(time.Duration(n) * b.pace)); b.pace > 0 && wait > 0 {
			time.Sleep(wait)
		}
		numbers <- n
	}
	close(numbers)
	done.Wait()
	s := b.summary(time.Since(started))
	if err := b.app.print(s, func(w io.Writer) { writeBurst(w, s) }); err != nil {
		return err
	}
	if s.Right != s.Sent {
		return fmt.Errorf("%d of %d answers were not right", s.Sent-s.Right, s.Sent)
	}
	return nil
}

func (b *burst) record(err error, took, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.took = append(b.took, took)
		b.ends = append(b.ends, at)
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
	case errors.Is(err, errWrongAnswer):
		code = "wrong answer"
	case errors.Is(err, errJobFailed):
		code = "job failed"
	}
	b.codes[code]++
	b.samples[code] = err.Error()
}

func (b *burst) summary(took time.Duration) burstSummary {
	s := burstSummary{Sent: b.count, Right: len(b.took), Errors: b.codes, Samples: b.samples, TookMS: ms(took)}
	if len(b.took) == 0 {
		return s
	}
	slices.Sort(b.took)
	s.P50MS = ms(b.took[len(b.took)/2])
	s.P99MS = ms(b.took[len(b.took)*99/100])
	s.MaxMS = ms(b.took[len(b.took)-1])
	slices.Sort(b.ends)
	for i := 1; i < len(b.ends); i++ {
		s.LongestGapMS = max(s.LongestGapMS, ms(b.ends[i]-b.ends[i-1]))
	}
	return s
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func writeBurst(w io.Writer, s burstSummary) {
	_, _ = fmt.Fprintf(w, "%d sent, %d right, p50 %.1f ms, p99 %.1f ms, longest %.1f ms, longest gap %.1f ms, in %.1f s\n",
		s.Sent, s.Right, s.P50MS, s.P99MS, s.MaxMS, s.LongestGapMS, s.TookMS/1000)
	for _, code := range slices.Sorted(maps.Keys(s.Errors)) {
		_, _ = fmt.Fprintf(w, "  %d × %s: %s\n", s.Errors[code], code, s.Samples[code])
	}
}

// requestOnce sends one request with a body of its own and checks that the answer repeats it.
func requestOnce(ctx context.Context, client *entry.Client, queue, body string, n int) error {
	own := fmt.Sprintf("%s#%d", cmp.Or(body, "burst"), n)
	reply, err := client.Request(ctx, queue, []byte(own))
	if err != nil {
		return err
	}
	var answer struct {
		Request string `json:"request"`
		Echo    string `json:"echo"`
	}
	if json.Unmarshal(reply.Body, &answer) == nil && answer.Request != "" &&
		(answer.Echo != own || answer.Request != reply.Header.Get("X-Request-Id")) {
		return errWrongAnswer
	}
	return nil
}

// burstPatience is how long a job of a burst is sent and asked for again.
const burstPatience = 40 * time.Second

// insist repeats a step that may be repeated, as callers are expected to, while the outcome is
// unknown or there is no leader.
func insist(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
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

// jobOnce submits a job and waits until it has ended.
func jobOnce(ctx context.Context, client *entry.Client, id string, s pj.Submission) error {
	patient, cancel := context.WithTimeout(ctx, burstPatience)
	defer cancel()
	err := insist(patient, func() error {
		_, err := client.Submit(ctx, id, s)
		return err
	})
	if err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	for {
		var st pj.JobStatus
		err := insist(patient, func() (err error) {
			st, err = client.Job(ctx, id, pollWait)
			return err
		})
		if err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		if st.State.Ended() && st.State != pj.JobFinished {
			return fmt.Errorf("%w: %s %s: %s", errJobFailed, id, st.State, st.Reason)
		}
		if st.State.Ended() {
			return nil
		}
	}
}
