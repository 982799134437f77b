package cluster_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"
	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/runs"
	"papayajunction/internal/server/cluster"
	"papayajunction/internal/server/peer"
	"papayajunction/internal/standin/polledworker"
)

// system is a whole system in one process: three replicas, an entry and simulated workers.
type system struct {
	t       *testing.T
	is      *is.I
	fleet   *polledworker.Fleet
	workers []pj.PolledWorker
	vms     map[string]*testVM
	seeds   []string

	stateBudget int64 // of the replicas in bytes; 0 for the default
}

// testVM is a replica or the entry.
type testVM struct {
	vm      *cluster.VM
	client  *countingClient
	metrics *metrics.Set
	dataDir string
	close   func()
}

// countingClient counts the start requests that a VM sends to workers, and keeps their fencing token.
type countingClient struct {
	pj.WorkerClient
	starts atomic.Int64
	fence  atomic.Uint64 // of the last start
}

func (c *countingClient) Start(ctx context.Context, w *pj.PolledWorker, s pj.StartRequest) (int64, error) {
	c.starts.Add(1)
	c.fence.Store(s.Fence)
	return c.WorkerClient.Start(ctx, w, s)
}

func newSystem(t *testing.T, workerCount int) *system {
	t.Helper()
	return newSystemWithBudget(t, workerCount, 0)
}

func newSystemWithBudget(t *testing.T, workerCount int, stateBudget int64) *system {
	t.Helper()
	s := &system{t: t, is: is.New(t), vms: make(map[string]*testVM), stateBudget: stateBudget}
	var workers []pj.PolledWorker
	for i := range workerCount {
		id := fmt.Sprintf("w%d", i)
		workers = append(workers, pj.PolledWorker{
			ID: id, Incarnation: 1, Sequence: 1, Pool: "pool", Address: "127.0.0.1:1", Zone: zoneOf(i), Rack: "r1", Capacity: pj.NewResources(8, 64, 0, 0),
		})
	}
	s.workers = workers
	s.fleet = polledworker.New(workers, 200*time.Millisecond)
	port := freePort(t)
	for i := 1; i <= 3; i++ {
		s.seeds = append(s.seeds, net.JoinHostPort(fmt.Sprintf("127.0.0.%d", i), port))
	}
	for _, address := range s.seeds {
		s.start(address, true, true)
	}
	s.start(net.JoinHostPort("127.0.0.9", port), false, false)
	entry := s.entry()
	rules := pj.Ruleset{
		Version: 1, Document: []byte("{}"), Pools: []string{"pool"},
		Routes:     []pj.Route{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", TimeoutMS: 1000, MaxAttempts: 2}},
		Workspaces: []pj.KeyedWorkspace{{Workspace: pj.Workspace{Name: "team", Share: 1, Limit: pj.NewResources(100, 1000, 1, 0)}, Keys: []string{"key"}}},
	}
	s.eventually("the rules are published", func(ctx context.Context) bool {
		version, err := entry.Publish(ctx, rules)
		return err == nil && version == 1
	})
	for _, worker := range workers {
		s.eventually("worker "+worker.ID+" is known", func(ctx context.Context) bool {
			_, err := entry.Announce(ctx, worker)
			return err == nil
		})
	}
	s.eventually("the entry has the rules", func(context.Context) bool { return entry.Ready() })
	return s
}

// zoneOf assigns the VM or worker with index i to one of the three replicas' availability zones in turn.
func zoneOf(i int) string {
	return fmt.Sprintf("zone-%d", i%3+1)
}

func freePort(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return strconv.Itoa(l.Addr().(*net.TCPAddr).Port) //nolint:forcetypeassert // it listens on tcp
}

// start starts a VM with its previous data directory, or with an empty one at its first start.
func (s *system) start(address string, replica, bootstrap bool) {
	v := &testVM{dataDir: s.t.TempDir()}
	if previous := s.vms[address]; previous != nil {
		v.dataDir = previous.dataDir
	}
	s.startWith(address, v, replica, bootstrap)
}

func (s *system) startWith(address string, v *testVM, replica, bootstrap bool) {
	v.client, v.metrics = &countingClient{WorkerClient: s.fleet}, metrics.NewSet()
	vm, closeVM, err := cluster.New(cluster.Options{
		Address: address, Replica: replica, DataDir: v.dataDir, Bootstrap: bootstrap, Seeds: func() []string { return s.seeds },
		Zone: zoneOf(slices.Index(s.seeds, address)), Region: "region", WorkerClient: v.client, Logger: kitlog.NewNopLogger(), Metrics: v.metrics,
		StateBudget: s.stateBudget,
	})
	s.is.NoErr(err)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	s.is.NoErr(err)
	_, handler, closeStreams := peer.NewHandler(address, vm, false)
	server := &http.Server{Handler: handler, Protocols: new(http.Protocols), ReadHeaderTimeout: time.Minute}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	v.vm = vm
	v.close = func() {
		closeStreams()
		_ = server.Close()
		closeVM()
	}
	s.vms[address] = v
	s.t.Cleanup(func() {
		if s.vms[address] == v {
			s.stop(address)
		}
	})
}

func (s *system) stop(address string) {
	if v := s.vms[address]; v.close != nil {
		v.close()
		v.close = nil
	}
}

func (s *system) entry() *cluster.VM {
	for address, v := range s.vms {
		if host, _, _ := net.SplitHostPort(address); host == "127.0.0.9" {
			return v.vm
		}
	}
	return nil
}

// eventually polls until the condition holds. Its only time limit is the timeout of the test.
func (s *system) eventually(description string, condition func(ctx context.Context) bool) {
	s.t.Log("waiting until", description)
	for !condition(s.t.Context()) {
		time.Sleep(20 * time.Millisecond)
	}
}

// submit retries the submission of a workflow until it is accepted, as callers do.
func (s *system) submit(id string, steps ...pj.Step) {
	w := pj.Workflow{ID: id, Queue: "q", Workspace: "team", Pool: "pool", Steps: steps, MaxAttempts: 3}
	s.eventually(id+" is accepted", func(ctx context.Context) bool { return s.entry().Submit(ctx, team(), w) == nil })
}

func (s *system) awaitComplete(id string) {
	s.eventually(id+" is complete", func(ctx context.Context) bool {
		state, err := s.entry().State(ctx, team(), id)
		return err == nil && state == pj.WorkflowComplete
	})
}

// team returns the authorization of a request with the workspace's key.
func team() pj.Authorization {
	return pj.NewAuthorization(pj.NewCallerRequest("h", "/q/", "key"), &pj.Route{Name: "q"}, "team", 1)
}

// leader waits for a leader and returns its address.
func (s *system) leader() string {
	var leader string
	s.eventually("there is a leader", func(ctx context.Context) bool {
		for _, address := range s.seeds {
			if v := s.vms[address]; v.close != nil && v.vm.IsLeader(ctx) {
				leader = address
			}
		}
		return leader != ""
	})
	return leader
}

func diamond() []pj.Step {
	task := pj.NewResources(2, 1, 0, 0)
	return []pj.Step{
		{Tasks: 3, Task: task}, {Tasks: 2, Task: task, Gang: true, DependsOn: []int{0}},
		{Tasks: 4, Task: task, DependsOn: []int{0}}, {Tasks: 1, Task: task, DependsOn: []int{1, 2}},
	}
}

// TestSystem covers a whole system: bootstrap from seeds, workflows of several steps, and the loss of VMs, disks and workers.
func TestSystem(t *testing.T) {
	tests := map[string]func(s *system){
		"workflow of several steps with a gang completes": func(s *system) {
			s.submit("a", diamond()...)
			s.awaitComplete("a")
			s.is.Equal(s.fleet.FinishedTasks(), 10)
		},
		"terms leave room for fencing tokens that are raised within them": func(s *system) {
			s.submit("a", diamond()...)
			s.awaitComplete("a")
			s.is.True(s.vms[s.leader()].client.fence.Load() >= runs.FencesPerTerm)
		},
		"leader is lost while tasks run": func(s *system) {
			s.submit("a", diamond()...)
			s.stop(s.leader())
			s.awaitComplete("a")
			s.submit("b", diamond()...)
			s.awaitComplete("b")
		},
		"leader loses its disk, then the next leader is lost": func(s *system) {
			s.submit("a", diamond()...)
			lost := s.leader()
			s.stop(lost)
			s.startWith(lost, &testVM{dataDir: s.t.TempDir()}, true, false)
			s.submit("b", diamond()...)
			s.eventually("the VM with the empty disk is a voter again", func(ctx context.Context) bool { return s.vms[lost].vm.IsVoter(ctx) })
			s.stop(s.leader())
			s.awaitComplete("a")
			s.awaitComplete("b")
		},
		"all replicas restart": func(s *system) {
			s.submit("a", diamond()...)
			for _, address := range s.seeds {
				s.stop(address)
			}
			for _, address := range s.seeds {
				s.start(address, true, false)
			}
			s.awaitComplete("a")
		},
		"worker is unresponsive while it runs tasks": func(s *system) {
			s.submit("a", diamond()...)
			s.fleet.SetUnresponsive("w0", true)
			s.awaitComplete("a")
			s.fleet.SetUnresponsive("w0", false)
		},
		"worker leaves while it runs tasks":                                   func(s *system) { s.leaveWithRuns() },
		"worker leaves while it runs tasks, and the leader is lost meanwhile": func(s *system) { s.leaveWithRuns(func(string) { s.stop(s.leader()) }) },
		"workflow is cancelled": func(s *system) {
			s.submit("a", pj.Step{Tasks: 500, Task: pj.NewResources(4, 1, 0, 0)})
			s.eventually("it is cancelled", func(ctx context.Context) bool { return s.entry().Cancel(ctx, team(), "a") == nil })
			s.eventually("its state is cancelled", func(ctx context.Context) bool {
				state, err := s.entry().State(ctx, team(), "a")
				return err == nil && state == pj.WorkflowCancelled
			})
		},
		"authorisation by key and queue": func(s *system) {
			for name, tc := range map[string]struct {
				path, key string
				code      pj.Code
			}{
				"known key and queue": {path: "/q/1", key: "key"},
				"unknown key":         {path: "/q/1", key: "other", code: pj.CodeWrongKey},
				"no key":              {path: "/q/1", code: pj.CodeNoKey},
				"unknown queue":       {path: "/p/1", key: "key", code: pj.CodeUnknownQueue},
			} {
				authorization, err := s.entry().Authorise(s.t.Context(), pj.NewCallerRequest("h", tc.path, tc.key))
				s.t.Log(name)
				if tc.code == "" {
					s.is.NoErr(err)
					s.is.Equal(authorization.Workspace(), "team")
					continue
				}
				s.is.Equal(pj.AsError(err).Code, tc.code)
			}
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 4)
			test(s)
			s.is.Equal(s.fleet.Violations(), nil)
		})
	}
}

// leaveWithRuns checks that a worker which drains, and whose leave call is answered, has no runs any more, and that its tasks complete elsewhere.
func (s *system) leaveWithRuns(faults ...func(leaver string)) {
	s.fleet.VaryRunTimes(func(pj.TaskID) time.Duration { return time.Hour })
	s.submit("long", pj.Step{Tasks: 4, Task: pj.NewResources(8, 1, 0, 0)})
	var leaver pj.PolledWorker
	s.eventually("a worker runs a task", func(context.Context) bool {
		i := slices.IndexFunc(s.workers, func(w pj.PolledWorker) bool { return s.fleet.Runs(w.ID) > 0 })
		leaver = s.workers[max(i, 0)]
		return i >= 0
	})
	leaver.Draining = true
	s.eventually("it drains", func(ctx context.Context) bool {
		leaver.Sequence++
		_, err := s.entry().Announce(ctx, leaver)
		return err == nil
	})
	for _, fault := range faults {
		fault(leaver.ID)
	}
	s.eventually("its leave call is answered", func(ctx context.Context) bool { return s.entry().Leave(ctx, leaver.ID) == nil })
	s.is.Equal(s.fleet.Runs(leaver.ID), 0)
	s.fleet.VaryRunTimes(func(pj.TaskID) time.Duration { return 200 * time.Millisecond })
	s.awaitComplete("long")
}

// TestStoppingVMHandsOnLead guards against a VM that leads until its process ends, because it was elected while it was stopping.
func TestStoppingVMHandsOnLead(t *testing.T) {
	s := newSystem(t, 3)
	last := s.seeds[2]
	for _, address := range s.seeds[:2] {
		s.vms[address].vm.PrepareStop(t.Context())
	}
	s.eventually("the lead is handed on", func(context.Context) bool { return s.leader() == last })
	s.stop(last)
	s.is.True(s.leader() != last) // nobody else is left to lead
	s.start(last, true, false)
	s.eventually("the only VM that isn't stopping leads", func(context.Context) bool { return s.leader() == last })
}

// TestLeaveAtStoppingVM guards against a leave call that keeps a stopping VM from ending: it is answered, for the worker to repeat it elsewhere.
func TestLeaveAtStoppingVM(t *testing.T) {
	s := newSystem(t, 3)
	s.leaveWithRuns(func(leaver string) {
		s.entry().PrepareStop(t.Context())
		s.is.True(s.entry().Leave(t.Context(), leaver) != nil)
	})
}

// TestOverBudget: an entry refuses work beyond the replicas' state budget at once, as not run, and says when to come back. What was accepted
// goes on.
func TestOverBudget(t *testing.T) {
	const budget = 20 << 10 // some workflows
	s := newSystemWithBudget(t, 3, budget)
	never := pj.Step{Tasks: 1, Task: pj.NewResources(1, 1, 0, 0), Label: "none"}
	refused := &pj.Error{}
	for i := 0; refused.Code != pj.CodeOverloaded; i++ {
		w := pj.Workflow{ID: fmt.Sprint("w", i), Queue: "q", Workspace: "team", Pool: "pool", Steps: []pj.Step{never}, MaxAttempts: 3}
		s.eventually(w.ID+" is accepted or refused", func(ctx context.Context) bool {
			err := s.entry().Submit(ctx, team(), w)
			if err != nil {
				refused = pj.AsError(err)
			}
			return err == nil || refused.Code == pj.CodeOverloaded
		})
	}
	s.is.True(refused.NotRun)
	s.is.True(refused.RetryAfter > 0)
	s.eventually("the first one is cancelled", func(ctx context.Context) bool { return s.entry().Cancel(ctx, team(), "w0") == nil })
	s.submit("w1", never) // again
}

// TestLeaveThroughRelays covers a worker that leaves a large fleet, whose runs are stopped by a relay.
func TestLeaveThroughRelays(t *testing.T) {
	s := newSystem(t, 120)
	s.leaveWithRuns()
	s.is.Equal(s.fleet.Violations(), nil)
}

// relayedStarts returns how many start requests were sent by VMs other than the leader.
func (s *system) relayedStarts() int64 {
	relayed := int64(0)
	for address, v := range s.vms {
		if address != s.leader() {
			relayed += v.client.starts.Load()
		}
	}
	return relayed
}

// TestRelays covers that in a large fleet the other replicas send all start requests on behalf of the leader, and that
// workflows complete when a relay or the leader is lost.
func TestRelays(t *testing.T) {
	tests := map[string]func(s *system){
		"no fault": func(*system) {},
		"relay is lost": func(s *system) {
			for _, address := range s.seeds {
				if address != s.leader() {
					s.stop(address)
					return
				}
			}
		},
		"leader is lost": func(s *system) { s.stop(s.leader()) },
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 120)
			warmUps := 0
			s.eventually("the replicas relay", func(context.Context) bool {
				warmUps++
				id := fmt.Sprintf("warm-%d", warmUps)
				s.submit(id, pj.Step{Tasks: 1, Task: pj.NewResources(2, 1, 0, 0)})
				s.awaitComplete(id)
				return s.relayedStarts() > 0
			})
			leader := s.leader()
			before := s.vms[leader].client.starts.Load()
			s.submit("first", pj.Step{Tasks: 90, Task: pj.NewResources(2, 1, 0, 0)})
			s.awaitComplete("first")
			if s.leader() == leader {
				s.is.Equal(s.vms[leader].client.starts.Load(), before) // including starts in the leader's own zone
			}
			s.submit("a", diamond()...)
			injectFault(s)
			s.submit("b", diamond()...)
			s.awaitComplete("a")
			s.awaitComplete("b")
			s.is.Equal(s.fleet.Violations(), nil)
			s.is.Equal(s.fleet.FinishedTasks(), warmUps+110)
		})
	}
}

// TestRulesComeFromReplicas guards against overload of the leader by work that it does once for each VM: when it encoded and
// compressed each version of the rules for every VM, that took one second of CPU time with 1,500 queues and 38 VMs.
func TestRulesComeFromReplicas(t *testing.T) {
	s := newSystem(t, 120)
	s.eventually("a replica answers the entry", func(ctx context.Context) bool {
		_, err := s.entry().State(ctx, team(), "none")
		return err != nil && s.nonLeaderCalls("known_state") > 0
	})
	rules := *s.entry().RuleCache().Rules()
	rules.Version = 2
	s.eventually("newer rules are published", func(ctx context.Context) bool {
		version, err := s.entry().Publish(ctx, rules)
		return err == nil && version == rules.Version
	})
	s.eventually("every VM has them", func(context.Context) bool {
		for _, v := range s.vms {
			if v.vm.RuleCache().Rules().Version != rules.Version || v.vm.RuleCache().CheckLease() != nil {
				return false
			}
		}
		return true
	})
	s.is.True(s.nonLeaderCalls("known_rules") > 0)
	s.is.Equal(s.leaderCalls("known_rules"), uint64(0)) // no VM fetched rules from the leader
	read, err := s.entry().ReadRules(t.Context())
	s.is.NoErr(err)
	s.is.Equal(read.Document, rules.Document)
}

// nonLeaderCalls returns how often an operation was called on VMs other than the leader.
func (s *system) nonLeaderCalls(operation string) uint64 {
	calls := uint64(0)
	for _, v := range s.vms {
		calls += v.metrics.GetOrCreateCounter(fmt.Sprintf("papaya_calls_total{operation=%q}", operation)).Get()
	}
	return calls - s.leaderCalls(operation)
}

// leaderCalls returns how often an operation was called on the leader.
func (s *system) leaderCalls(operation string) uint64 {
	return s.vms[s.leader()].metrics.GetOrCreateCounter(fmt.Sprintf("papaya_calls_total{operation=%q}", operation)).Get()
}

// TestReplicasAnswerForLeader guards against overload of the leader by status queries and unchanged announcements, which used
// most of its CPU time in a large fleet. Replicas serve both.
func TestReplicasAnswerForLeader(t *testing.T) {
	const callsPerRound = 40
	s := newSystem(t, 120)
	tooLarge := pj.NewResources(64, 1, 0, 0)
	s.submit("a", pj.Step{Tasks: 1, Task: tooLarge}) // no worker is large enough, so it stays queued
	queryState := func(ctx context.Context) {
		state, err := s.entry().State(ctx, team(), "a")
		s.is.NoErr(err)
		s.is.Equal(state, pj.WorkflowQueued)
	}
	s.eventually("a replica answers status queries", func(ctx context.Context) bool {
		before := s.leaderCalls("state")
		queryState(ctx)
		return s.leaderCalls("state") == before
	})
	tests := map[string]struct {
		operation string
		call      func(ctx context.Context)
	}{
		"status queries": {operation: "state", call: queryState},
		"unchanged announcements": {operation: "announce", call: func(ctx context.Context) {
			for _, address := range s.seeds {
				s.workers[0].Sequence++
				_, err := s.vms[address].vm.Announce(ctx, s.workers[0])
				s.is.NoErr(err)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// On a busy machine a replica may exceed its timeout, and the leader is queried instead. One round without a call to
			// the leader shows that the leader is not needed.
			s.eventually("a round of calls does not reach the leader", func(context.Context) bool {
				before := s.leaderCalls(test.operation)
				for range callsPerRound {
					test.call(t.Context())
				}
				return s.leaderCalls(test.operation) == before
			})
		})
	}
	t.Run("changed announcement reaches the leader", func(t *testing.T) {
		before := s.leaderCalls("announce")
		s.workers[0].Sequence++
		s.workers[0].Draining = true
		for _, address := range s.seeds {
			_, err := s.vms[address].vm.Announce(t.Context(), s.workers[0])
			s.is.NoErr(err)
		}
		s.is.True(s.leaderCalls("announce") > before)
	})
	t.Run("only the leader reports that a workflow is unknown", func(t *testing.T) {
		before := s.leaderCalls("state")
		_, err := s.entry().State(t.Context(), team(), "none")
		s.is.Equal(pj.AsError(err).Code, pj.CodeUnknownJob)
		s.is.True(s.leaderCalls("state") > before)
	})
}
