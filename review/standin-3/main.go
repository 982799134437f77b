//go:build review

// Command standin-3 runs the cases of the third review: it starts the project's processes on loopback addresses, with stand-ins for
// the platform, the runners, the operator and the clients.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario runs a case. With trouble unset it does the same without the disruption.
type scenario struct {
	workers int
	advised bool // the queues have a policy
	limited bool // the platform ends processes that use more memory than their machine has
	behave  func(t *trial) behaviour
	run     func(t *trial) error
}

// trial is one run of a case.
type trial struct {
	ctx     context.Context //nolint:containedctx // of the whole run
	record  *recorder
	cell    *cell
	fleet   *fleet
	trouble bool
	started time.Time
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		_, _ = fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER, in the repository")
		return exitFailed
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		_, _ = fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		return exitFailed
	}
	r, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	t := &trial{ctx: ctx, record: r, trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	r.add("case %s, trouble %v", os.Args[1], t.trouble)
	if err := t.play(s); err != nil {
		r.add("can't run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, "can't run:", err)
		return exitFailed
	}
	if r.breaches() > 0 {
		return exitBroken
	}
	_, _ = fmt.Fprintln(os.Stdout, "held")
	return exitHeld
}

func (t *trial) play(s scenario) error {
	behave := func(string, int) (time.Duration, string) { return time.Second, howDone }
	if s.behave != nil {
		behave = s.behave(t)
	}
	var err error
	if t.fleet, err = newFleet(t.ctx, t.record, s.workers, behave); err != nil {
		return err
	}
	advice := ""
	if s.advised {
		if t.fleet.advice, err = newAdviceService(t.ctx); err != nil {
			return err
		}
		advice = t.fleet.advice.address
	}
	if t.cell, err = newCell(t.record, s.limited, advice); err != nil {
		return err
	}
	defer t.cell.close()
	if err := t.configure(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- s.run(t) }()
	select {
	case err := <-ended:
		return err
	case <-t.ctx.Done():
		return errors.New("the run was ended")
	}
}
