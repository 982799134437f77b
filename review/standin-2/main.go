//go:build review

// Command standin-2 runs one case of the second review: it starts a small cell of papayacell processes on loopback addresses, plays
// the operator, the clients and the runners of the users' platform against it, and checks one rule.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime bounds a case; a script may take 120 seconds.
const maxCaseTime = 110 * time.Second

// caseFunc plays a case and returns what broke the rule, "" if it held.
type caseFunc func(ctx context.Context, c *cell, trouble bool) (broken string, err error)

var cases = map[string]caseFunc{
	"leave_answer_lost": leaveAnswerLost,
	"late_start":        lateStart,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("cell", "", "path of papayacell")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	flag.Parse()
	play := cases[*name]
	if play == nil || *binary == "" {
		_, _ = fmt.Fprintln(os.Stderr, "unknown case or no binary")
		return exitNotRun
	}
	file, err := os.Create(*recordPath)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	rec := newRecord(file)
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken, err := playCase(ctx, play, *binary, *trouble, rec)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		return exitNotRun
	case broken != "":
		rec.add("BROKEN: %s", broken)
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}

func playCase(ctx context.Context, play caseFunc, binary string, trouble bool, rec *record) (broken string, err error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return "", fmt.Errorf("create folder: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	c, err := newCell(binary, dir, rec)
	if err != nil {
		return "", err
	}
	defer c.close()
	return play(ctx, c, trouble)
}
