//go:build review

// Command standin runs one case of the review: it starts a small cell of the system as real processes on loopback addresses,
// with stand-ins for runners, clients and the operator, and checks one rule. It exits with 1 if the rule was broken, with 0
// if it held and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitBroken = 1
	exitFailed = 2
	caseLimit  = 115 * time.Second
)

// scene is one running case.
type scene struct {
	*record
	cell    *cell
	fleet   *fleet
	trouble bool
}

// cases returns whether the rule was broken.
var cases = map[string]func(*scene, context.Context) (bool, error){
	"capped_tenant":  cappedTenant,
	"failing_runner": failingRunner,
	"waiting_gang":   waitingGang,
	"lasting_tasks":  lastingTasks,
	"behind_leader":  behindLeader,
}

func main() {
	name := flag.String("case", "", "case to run")
	root := flag.String("root", ".", "repository")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(*name, *root, *out, os.Getenv("TROUBLE") != "0"))
}

func run(name, root, out string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return exitFailed
	}
	record, err := newRecord(out)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	if root, err = filepath.Abs(root); err != nil {
		fmt.Println(err)
		return exitFailed
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, cancelTime := context.WithTimeout(ctx, caseLimit)
	defer cancelTime()
	cell, err := newCell(record, root, dir)
	if err != nil {
		record.say("could not run: %v", err)
		return exitFailed
	}
	defer cell.stopAll()
	stop := context.AfterFunc(ctx, func() { // the time is over, or the script was ended
		cell.stopAll()
		_ = os.RemoveAll(dir)
		os.Exit(exitFailed)
	})
	defer stop()
	s := &scene{record: record, cell: cell, fleet: newFleet(record, "service-1", cell.controls()), trouble: trouble}
	record.say("case %s, trouble %t", name, trouble)
	broken, err := play(s, ctx)
	switch {
	case err != nil:
		record.say("could not run: %v", err)
		return exitFailed
	case broken:
		record.say("the rule was broken")
		return exitBroken
	}
	record.say("the rule held")
	return 0
}
