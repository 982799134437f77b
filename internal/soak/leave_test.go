package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	pj "papayajunction"
)

// TestPlanWithLeaves: the other faults of a seed are the same with and without workers that leave.
func TestPlanWithLeaves(t *testing.T) {
	workers := []string{"w1", "w2", "w3", "w4"}
	for seed := range uint64(20) {
		is := is.New(t)
		o := Options{Seed: seed, Size: Sizes["small"], Duration: 20 * time.Second, WorkerRestarts: true, OutlivingCalls: true}
		without := o.plan(workers)
		o.WorkerLeaves = true
		with := o.plan(workers)
		is.Equal(with, o.plan(workers))
		leaves := len(with)
		with = slices.DeleteFunc(with, func(f Fault) bool { return f.Kind == WorkerLeave })
		is.Equal(with, without)
		is.True(leaves > len(with))
	}
}

// TestLeaving: only the incarnation that drains announces that, until it has left.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	var l leaving
	is.True(!l.drains("w1", 1))
	acked := l.begin("w1", 1)
	is.True(l.begin("w1", 1) == nil) // it drains already
	is.True(l.drains("w1", 1))
	is.True(!l.drains("w1", 2))
	l.acknowledged(&pj.PolledWorker{ID: "w1", Incarnation: 2, Draining: true})
	l.acknowledged(&pj.PolledWorker{ID: "w1", Incarnation: 1})
	select {
	case <-acked:
		t.Fatal("acknowledged by another announcement")
	default:
	}
	l.acknowledged(&pj.PolledWorker{ID: "w1", Incarnation: 1, Draining: true})
	<-acked
	is.True(l.announces("w1"))
	l.beginCalls("w1")
	is.True(!l.announces("w1"))
	l.end("w1")
	is.True(l.announces("w1"))
	is.True(!l.drains("w1", 1))
}
