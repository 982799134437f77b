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
	"papayajunction/internal/server/cluster"
	"papayajunction/internal/server/peer"
	"papayajunction/internal/standin/polledworker"
)

// system is a cell in one process: replicas, an entry and stand-ins for workers.
type system struct {
	t     *testing.T
	is    *is.I
	fleet *polledworker.Fleet
	infos []pj.PolledWorker
	vms   map[string]*member
	seeds []string
}

type member struct {
	vm    *cluster.VM
	calls *countedLink
	asked *metrics.Set
	data  string
	close func()
}

// countedLink counts the starts that a VM sends.
type countedLink struct {
	pj.WorkerClient
	starts atomic.Int64
}

func (l *countedLink) Start(ctx context.Context, w *pj.PolledWorker, o pj.StartRequest) (int64, error) {
	l.starts.Add(1)
	return l.WorkerClient.Start(ctx, w, o)
}

func newSystem(t *testing.T, workers int) *system {
	t.Helper()
	s := &system{t: t, is: is.New(t), vms: make(map[string]*member)}
	var infos []pj.PolledWorker
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		infos = append(infos, pj.PolledWorker{
			ID: id, Incarnation: 1, Sequence: 1, Pool: "pool", Address: id + ":1", Zone: zoneOf(i), Rack: "r1", Capacity: pj.NewResources(8, 64, 0, 0),
		})
	}
	s.infos = infos
	s.fleet = polledworker.New(infos, 200*time.Millisecond)
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
	s.until("the rules are published", func(ctx context.Context) bool {
		version, err := entry.Publish(ctx, rules)
		return err == nil && version == 1
	})
	for _, info := range infos {
		s.until("worker "+info.ID+" is known", func(ctx context.Context) bool {
			_, err := entry.Announce(ctx, info)
			return err == nil
		})
	}
	s.until("the entry has the rules", func(context.Context) bool { return entry.Ready() })
	return s
}

// zoneOf spreads what is numbered from 0 over the availability zones of the three replicas.
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

// start starts a VM with the data folder that it had, or with an empty one.
func (s *system) start(address string, replica, bootstrap bool) {
	m := &member{data: s.t.TempDir()}
	if before := s.vms[address]; before != nil {
		m.data = before.data
	}
	s.startWith(address, m, replica, bootstrap)
}

func (s *system) startWith(address string, m *member, replica, bootstrap bool) {
	m.calls, m.asked = &countedLink{WorkerClient: s.fleet}, metrics.NewSet()
	vm, closeVM, err := cluster.New(cluster.Options{
		Address: address, Replica: replica, DataDir: m.data, Bootstrap: bootstrap, Seeds: func() []string { return s.seeds },
		Zone: zoneOf(slices.Index(s.seeds, address)), Region: "region", Link: m.calls, Logger: kitlog.NewNopLogger(), Metrics: m.asked,
	})
	s.is.NoErr(err)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	s.is.NoErr(err)
	_, handler, closeStreams := peer.NewHandler(address, vm, false)
	server := &http.Server{Handler: handler, Protocols: new(http.Protocols), ReadHeaderTimeout: time.Minute}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	m.vm = vm
	m.close = func() {
		closeStreams()
		_ = server.Close()
		closeVM()
	}
	s.vms[address] = m
	s.t.Cleanup(func() {
		if s.vms[address] == m {
			s.stop(address)
		}
	})
}

func (s *system) stop(address string) {
	if m := s.vms[address]; m.close != nil {
		m.close()
		m.close = nil
	}
}

func (s *system) entry() *cluster.VM {
	for address, m := range s.vms {
		if host, _, _ := net.SplitHostPort(address); host == "127.0.0.9" {
			return m.vm
		}
	}
	return nil
}

// until tries until it holds; the time that this may take is the test's.
func (s *system) until(what string, holds func(ctx context.Context) bool) {
	s.t.Log("until", what)
	for !holds(s.t.Context()) {
		time.Sleep(20 * time.Millisecond)
	}
}

// submit hands in a workflow until it is accepted, as callers do.
func (s *system) submit(id string, steps ...pj.Step) {
	w := pj.Workflow{ID: id, Queue: "q", Workspace: "team", Pool: "pool", Steps: steps, MaxAttempts: 3}
	s.until(id+" is accepted", func(ctx context.Context) bool { return s.entry().Submit(ctx, w) == nil })
}

func (s *system) complete(id string) {
	s.until(id+" is complete", func(ctx context.Context) bool {
		state, err := s.entry().State(ctx, id, "team")
		return err == nil && state == pj.WorkflowComplete
	})
}

// leader returns the address of the replica that leads.
func (s *system) leader() string {
	var leader string
	s.until("there is a leader", func(ctx context.Context) bool {
		for _, address := range s.seeds {
			if m := s.vms[address]; m.close != nil && m.vm.Leads(ctx) {
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

// TestCell covers a whole cell: formation from seeds, workflows of steps, and the loss of VMs, disks and workers.
func TestCell(t *testing.T) {
	tests := map[string]func(s *system){
		"a workflow of steps with a gang is completed": func(s *system) {
			s.submit("a", diamond()...)
			s.complete("a")
			s.is.Equal(s.fleet.FinishedTasks(), 10)
		},
		"a leader is lost while its work runs": func(s *system) {
			s.submit("a", diamond()...)
			s.stop(s.leader())
			s.complete("a")
			s.submit("b", diamond()...)
			s.complete("b")
		},
		"a disk is lost, and then another VM": func(s *system) {
			s.submit("a", diamond()...)
			lost := s.leader()
			s.stop(lost)
			s.startWith(lost, &member{data: s.t.TempDir()}, true, false)
			s.submit("b", diamond()...)
			s.until("the empty disk is a voter again", func(ctx context.Context) bool { return s.vms[lost].vm.Votes(ctx) })
			s.stop(s.leader())
			s.complete("a")
			s.complete("b")
		},
		"all replicas restart": func(s *system) {
			s.submit("a", diamond()...)
			for _, address := range s.seeds {
				s.stop(address)
			}
			for _, address := range s.seeds {
				s.start(address, true, false)
			}
			s.complete("a")
		},
		"a worker is silent while it runs": func(s *system) {
			s.submit("a", diamond()...)
			s.fleet.SetUnresponsive("w0", true)
			s.complete("a")
			s.fleet.SetUnresponsive("w0", false)
		},
		"a cancelled workflow ends": func(s *system) {
			s.submit("a", pj.Step{Tasks: 500, Task: pj.NewResources(4, 1, 0, 0)})
			s.until("it is cancelled", func(ctx context.Context) bool { return s.entry().Cancel(ctx, "a", "team") == nil })
			s.until("it is shown as cancelled", func(ctx context.Context) bool {
				state, err := s.entry().State(ctx, "a", "team")
				return err == nil && state == pj.WorkflowCancelled
			})
		},
		"keys and queues": func(s *system) {
			for name, tc := range map[string]struct {
				path, key string
				code      pj.Code
			}{
				"known":         {path: "/q/1", key: "key"},
				"unknown key":   {path: "/q/1", key: "other", code: pj.CodeWrongKey},
				"no key":        {path: "/q/1", code: pj.CodeNoKey},
				"unknown queue": {path: "/p/1", key: "key", code: pj.CodeUnknownQueue},
			} {
				_, workspace, err := s.entry().Authorise(s.t.Context(), "h", tc.path, tc.key)
				s.t.Log(name)
				if tc.code == "" {
					s.is.NoErr(err)
					s.is.Equal(workspace, "team")
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

// relayed returns how many starts were sent by VMs that don't lead.
func (s *system) relayed() int64 {
	relayed := int64(0)
	for address, m := range s.vms {
		if address != s.leader() {
			relayed += m.calls.starts.Load()
		}
	}
	return relayed
}

// TestRelays: in a large fleet the other replicas call the workers for the leader, and the work goes on when a relay or
// the leader is lost.
func TestRelays(t *testing.T) {
	tests := map[string]func(s *system){
		"calm": func(*system) {},
		"a relay is lost": func(s *system) {
			for _, address := range s.seeds {
				if address != s.leader() {
					s.stop(address)
					return
				}
			}
		},
		"the leader is lost": func(s *system) { s.stop(s.leader()) },
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 120)
			warm := 0
			s.until("the replicas relay", func(context.Context) bool {
				warm++
				id := fmt.Sprintf("warm-%d", warm)
				s.submit(id, pj.Step{Tasks: 1, Task: pj.NewResources(2, 1, 0, 0)})
				s.complete(id)
				return s.relayed() > 0
			})
			leader := s.leader()
			before := s.vms[leader].calls.starts.Load()
			s.submit("first", pj.Step{Tasks: 90, Task: pj.NewResources(2, 1, 0, 0)})
			s.complete("first")
			if s.leader() == leader {
				s.is.Equal(s.vms[leader].calls.starts.Load(), before) // also those in the leader's own zone
			}
			s.submit("a", diamond()...)
			trouble(s)
			s.submit("b", diamond()...)
			s.complete("a")
			s.complete("b")
			s.is.Equal(s.fleet.Violations(), nil)
			s.is.Equal(s.fleet.FinishedTasks(), warm+110)
		})
	}
}

// TestRulesComeFromReplicas guards against the class of incident SHORT, work of the leader for each VM: it wrote and compressed each
// version of the rules for every VM, up to 1,500 queues for 38 VMs, one second of its processor.
func TestRulesComeFromReplicas(t *testing.T) {
	s := newSystem(t, 120)
	s.until("a replica answers the entry", func(ctx context.Context) bool {
		_, err := s.entry().State(ctx, "none", "team")
		return err != nil && s.askedOthers("known_state") > 0
	})
	rules := *s.entry().Book().Rules()
	rules.Version = 2
	s.until("newer rules are published", func(ctx context.Context) bool {
		version, err := s.entry().Publish(ctx, rules)
		return err == nil && version == rules.Version
	})
	s.until("every VM has them", func(context.Context) bool {
		for _, m := range s.vms {
			if m.vm.Book().Rules().Version != rules.Version || m.vm.Book().CheckLease() != nil {
				return false
			}
		}
		return true
	})
	s.is.True(s.askedOthers("known_rules") > 0)
	s.is.Equal(s.asked("known_rules"), uint64(0)) // by a VM that isn't the leader
	read, err := s.entry().ReadRules(t.Context())
	s.is.NoErr(err)
	s.is.Equal(read.Document, rules.Document)
}

// askedOthers returns how often the VMs that don't lead were asked for an operation.
func (s *system) askedOthers(operation string) uint64 {
	asked := uint64(0)
	for _, m := range s.vms {
		asked += m.asked.GetOrCreateCounter(fmt.Sprintf("papaya_calls_total{operation=%q}", operation)).Get()
	}
	return asked - s.asked(operation)
}

// asked returns how often the leader was asked for an operation.
func (s *system) asked(operation string) uint64 {
	return s.vms[s.leader()].asked.GetOrCreateCounter(fmt.Sprintf("papaya_calls_total{operation=%q}", operation)).Get()
}

// TestReplicasAnswerForLeader guards against incident SHORT: in a large fleet the leader's processor went into polls and unchanged
// announcements. Now replicas answer them.
func TestReplicasAnswerForLeader(t *testing.T) {
	const times = 40
	s := newSystem(t, 120)
	tooLarge := pj.NewResources(64, 1, 0, 0)
	s.submit("a", pj.Step{Tasks: 1, Task: tooLarge}) // it waits for as long as the test runs
	poll := func(ctx context.Context) {
		state, err := s.entry().State(ctx, "a", "team")
		s.is.NoErr(err)
		s.is.Equal(state, pj.WorkflowQueued)
	}
	s.until("a replica answers polls", func(ctx context.Context) bool {
		before := s.asked("state")
		poll(ctx)
		return s.asked("state") == before
	})
	tests := map[string]struct {
		operation string
		call      func(ctx context.Context)
	}{
		"polls": {operation: "state", call: poll},
		"announcements": {operation: "announce", call: func(ctx context.Context) {
			for _, address := range s.seeds {
				s.infos[0].Sequence++
				_, err := s.vms[address].vm.Announce(ctx, s.infos[0])
				s.is.NoErr(err)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// A busy machine may hold up one answer, then the leader is asked; a whole row without it shows that it needn't be.
			s.until("the leader isn't asked in a row of calls", func(context.Context) bool {
				before := s.asked(test.operation)
				for range times {
					test.call(t.Context())
				}
				return s.asked(test.operation) == before
			})
		})
	}
	t.Run("a change is told to the leader", func(t *testing.T) {
		before := s.asked("announce")
		s.infos[0].Sequence++
		s.infos[0].Draining = true
		for _, address := range s.seeds {
			_, err := s.vms[address].vm.Announce(t.Context(), s.infos[0])
			s.is.NoErr(err)
		}
		s.is.True(s.asked("announce") > before)
	})
	t.Run("only the leader says that a workflow is unknown", func(t *testing.T) {
		before := s.asked("state")
		_, err := s.entry().State(t.Context(), "none", "team")
		s.is.Equal(pj.AsError(err).Code, pj.CodeUnknownJob)
		s.is.True(s.asked("state") > before)
	})
}
