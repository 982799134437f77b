package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"
	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/control/rulecache"
	"papayajunction/internal/server/peer"
)

// stubVM is another VM whose operations a test provides.
type stubVM map[string]func(argument []byte) any

func (s stubVM) Deliver([]pj.PeerMessage) {}

func (s stubVM) Run(_ context.Context, operation string, argument []byte) (any, error) {
	run, ok := s[operation]
	if !ok {
		return nil, pj.Refuse(pj.CodeNotLeader, "no operation %s", operation)
	}
	return run(argument), nil
}

// startStub serves a stub and returns its address.
func startStub(t *testing.T, stub stubVM) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := listener.Addr().String()
	_, handler, closeStreams := peer.NewHandler(address, stub, false)
	server := &http.Server{Handler: handler, Protocols: new(http.Protocols), ReadHeaderTimeout: time.Minute}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		closeStreams()
		_ = server.Close()
	})
	return address
}

func rulesOf(version int64) *pj.Ruleset {
	return &pj.Ruleset{Version: version, Document: []byte("{}")}
}

// TestRulesAheadOfLeader guards against an entry that answers by rules which the leader hasn't applied yet: other VMs, and the
// entry itself after a restart, then answer later calls by older rules.
func TestRulesAheadOfLeader(t *testing.T) {
	const older, newer = 5, 6
	tests := map[string]struct {
		versions []int64 // that the leader names in its replies, the last one in all further ones
		want     int64   // version on the entry after the first sync
	}{
		"replica and leader have the same":          {versions: []int64{newer}, want: newer},
		"the leader applies it between the replies": {versions: []int64{older, newer}, want: newer},
		"the leader doesn't apply it":               {versions: []int64{older}, want: older},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			replicaAddress := startStub(t, stubVM{opReplicaRules: func([]byte) any { return rulesOf(newer) }})
			var mu sync.Mutex
			versions := tc.versions
			leader := startStub(t, stubVM{opSync: func(argument []byte) any {
				var request syncRequest
				_ = json.Unmarshal(argument, &request)
				mu.Lock()
				defer mu.Unlock()
				reply := syncReply{Version: versions[0], ReadReplica: replicaAddress}
				if len(versions) > 1 {
					versions = versions[1:]
				}
				if request.Version < reply.Version {
					reply.RulesOmitted = request.MayOmitRules
					if !reply.RulesOmitted {
						reply.Rules = rulesOf(reply.Version)
					}
				}
				return reply
			}})
			v := newSyncingVM(leader)
			is.NoErr(v.SyncRules(t.Context()))
			is.Equal(v.ruleCache.Rules().Version, tc.want)
			is.NoErr(v.ruleCache.CheckLease())
		})
	}
}

// newSyncingVM returns an entry without a sync loop.
func newSyncingVM(leader string) *VM {
	clock := &fixedClock{now: time.Second}
	set := metrics.NewSet()
	transport, _ := peer.NewTransport("entry", addressOf, nil, peer.NewTraffic(set))
	return &VM{
		clock: clock, ruleCache: rulecache.New(clock, 0), transport: transport, syncing: make(chan struct{}, 1), limiter: newLimiter(clock),
		options: Options{Address: "entry", Seeds: func() []string { return []string{leader} }, Logger: kitlog.NewNopLogger(), Metrics: set},
	}
}

// TestRefusalsShareOneSync guards against calls with unknown keys or queues that keep an entry from the rules: each of them
// fetched the rules on its own, one after the other, and the lease ended while the regular sync waited behind them.
func TestRefusalsShareOneSync(t *testing.T) {
	const callers = 50
	is := is.New(t)
	var syncs atomic.Int64
	v := newSyncingVM(startStub(t, stubVM{opSync: func([]byte) any {
		syncs.Add(1)
		return syncReply{Version: 1, Rules: rulesOf(1)}
	}}))
	v.syncing <- struct{}{} // an exchange is in progress
	var started, done sync.WaitGroup
	for range callers {
		started.Add(1)
		done.Go(func() {
			started.Done()
			if err := v.SyncRules(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
	started.Wait()
	<-v.syncing
	done.Wait()
	is.True(syncs.Load() < callers/2) // one exchange, and its retries
}

// TestPermissionAfterWait guards against a call that is carried out by a permission which ended while the call waited, or while
// its VM was suspended.
func TestPermissionAfterWait(t *testing.T) {
	withKey := func(version int64, keys ...string) *pj.Ruleset {
		rules := rulesOf(version)
		rules.Routes = []pj.Route{{Name: "q", Host: "h", PathPrefix: "/q/"}}
		rules.Workspaces = []pj.KeyedWorkspace{{Workspace: pj.Workspace{Name: "team"}, Keys: keys}}
		return rules
	}
	otherTeam := func(version int64) *pj.Ruleset {
		rules := withKey(version, "key")
		rules.Workspaces[0].Name = "other"
		return rules
	}
	tests := map[string]struct {
		meanwhile func(v *VM, clock *fixedClock)
		code      pj.Code // of the refusal, "" if the call is made
	}{
		"nothing changes":       {meanwhile: func(*VM, *fixedClock) {}},
		"newer rules permit it": {meanwhile: func(v *VM, c *fixedClock) { v.ruleCache.Update(c.now, 2, withKey(2, "other", "key")) }},
		"the key is withdrawn":  {meanwhile: func(v *VM, c *fixedClock) { v.ruleCache.Update(c.now, 2, withKey(2, "other")) }, code: pj.CodeWrongKey},
		"the queue is removed":  {meanwhile: func(v *VM, c *fixedClock) { v.ruleCache.Update(c.now, 2, rulesOf(2)) }, code: pj.CodeUnknownQueue},
		"the key changes hands": {meanwhile: func(v *VM, c *fixedClock) { v.ruleCache.Update(c.now, 2, otherTeam(2)) }, code: pj.CodeKeysUnknown},
		"the VM was suspended":  {meanwhile: func(_ *VM, c *fixedClock) { c.now += rulecache.DefaultLease }, code: pj.CodeKeysUnknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			v := newSyncingVM(startStub(t, stubVM{opWaiting: func([]byte) any {
				calls.Add(1)
				return 3
			}}))
			clock := v.clock.(*fixedClock) //nolint:forcetypeassert // newSyncingVM sets it
			v.ruleCache.Update(clock.now, 1, withKey(1, "key"))
			authorization, err := v.Authorise(t.Context(), pj.NewCallerRequest("h", "/q/", "key"))
			is.NoErr(err)
			v.limiter.limit, v.limiter.inFlight = 1, 1
			result := make(chan error)
			go func() {
				_, err := v.Waiting(t.Context(), authorization)
				result <- err
			}()
			for queued := 0; queued == 0; time.Sleep(time.Millisecond) {
				v.limiter.mu.Lock()
				queued = v.limiter.queued
				v.limiter.mu.Unlock()
			}
			tc.meanwhile(v, clock)
			v.limiter.release(false)
			err = <-result
			is.Equal(err == nil, tc.code == "")
			is.Equal(calls.Load() > 0, tc.code == "")
			if err != nil {
				is.Equal(pj.AsError(err).Code, tc.code)
				is.True(pj.AsError(err).NotRun)
			}
		})
	}
}

// TestRefusedCallDoesNotOvertake guards against an entry that seems to go back to older rules: a call that the held rules refuse waited
// for newer ones without a bound and was then answered by them, while calls that were sent later were answered by the held ones.
func TestRefusedCallDoesNotOvertake(t *testing.T) {
	is := is.New(t)
	rulesWith := func(version int64, queue string) *pj.Ruleset {
		rules := rulesOf(version)
		rules.Routes = []pj.Route{{Name: queue, Host: "h", PathPrefix: "/" + queue + "/", Open: true}}
		return rules
	}
	release := make(chan struct{})
	endWait := sync.OnceFunc(func() { close(release) })
	t.Cleanup(endWait)
	v := newSyncingVM(startStub(t, stubVM{opSync: func([]byte) any {
		<-release // there is no leader for a while
		return syncReply{Version: 2, Rules: rulesWith(2, "new")}
	}}))
	clock := v.clock.(*fixedClock) //nolint:forcetypeassert // newSyncingVM sets it
	v.ruleCache.Update(clock.now, 1, rulesWith(1, "old"))
	clock.now += maxRefusalRulesAge + 1
	earlier := make(chan error)
	go func() {
		_, err := v.Authorise(t.Context(), pj.NewCallerRequest("h", "/new/", ""))
		earlier <- err
	}()
	time.AfterFunc(2*time.Second, endWait) // if the call waits for the exchange, it succeeds
	err := <-earlier
	if err == nil {
		t.Fatal("the call is answered by newer rules than a call that was sent meanwhile")
	}
	later, laterErr := v.Authorise(t.Context(), pj.NewCallerRequest("h", "/old/", ""))
	is.NoErr(laterErr)
	is.Equal(later.RulesVersion(), int64(1))
	is.Equal(pj.AsError(err).Code, pj.CodeKeysUnknown)
	is.True(pj.AsError(err).NotRun)
	is.True(pj.AsError(err).RetryAfter > 0)
	endWait()
	for v.ruleCache.Rules().Version != 2 { // the exchange goes on
		time.Sleep(time.Millisecond)
	}
	_, err = v.Authorise(t.Context(), pj.NewCallerRequest("h", "/new/", ""))
	is.NoErr(err)
}

// TestSyncEndsWithCaller guards against a caller that waits longer than its deadline for the exchange of another one.
func TestSyncEndsWithCaller(t *testing.T) {
	is := is.New(t)
	v := newSyncingVM("127.0.0.1:1")
	v.syncing <- struct{}{} // another exchange is in progress and doesn't end
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(v.SyncRules(ctx), context.Canceled))
}
