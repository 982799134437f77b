package node

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"
	"github.com/matryer/is"

	"papayajunction/internal/config/settings"
	"papayajunction/internal/config/topology"
	"papayajunction/internal/server/peer"
)

// startNodes starts the control planes of two VMs in zone-1 and one in zone-2.
func startNodes(t *testing.T) []*Node {
	t.Helper()
	is := is.New(t)
	var vms []topology.VM
	var listeners []net.Listener
	for i := range 3 {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, l)
		zone := fmt.Sprintf("zone-%d", i/2+1)
		vms = append(vms, topology.VM{Name: fmt.Sprintf("vm-%d", i+1), Zone: zone, Region: "region", Address: l.Addr().String(), Replica: true})
	}
	var nodes []*Node
	for i, vm := range vms {
		s := settings.Default()
		s.VM, s.Zone, s.Listen, s.DataDir, s.VMs, s.Quiet = vm.Name, vm.Zone, vm.Address, t.TempDir(), vms, true
		n, closeNode, err := New(s, kitlog.NewNopLogger(), metrics.NewSet())
		is.NoErr(err)
		path, handler, closeStreams := peer.NewHandler(vm.Name, n, false)
		mux := http.NewServeMux()
		mux.Handle(path, handler)
		server := &http.Server{Handler: mux, Protocols: new(http.Protocols), ReadHeaderTimeout: time.Minute}
		server.Protocols.SetHTTP1(true)
		server.Protocols.SetUnencryptedHTTP2(true)
		go func() { _ = server.Serve(listeners[i]) }()
		t.Cleanup(func() {
			closeStreams()
			_ = server.Close()
			closeNode()
		})
		nodes = append(nodes, n)
	}
	return nodes
}

// TestStoppingVMGetsNoLead guards against a VM that gets the lead of its zone while it is stopping, because its rank is lower than its successor's: its
// process ends while it leads.
func TestStoppingVMGetsNoLead(t *testing.T) {
	is := is.New(t)
	nodes := startNodes(t)
	group := topology.CellGroup("zone-1")
	eventually := func(condition func() bool) {
		for !condition() {
			time.Sleep(20 * time.Millisecond)
		}
	}
	eventually(func() bool { // both VMs of the other rank can take the lead
		caughtUp := 0
		for _, n := range nodes {
			is.NoErr(n.loop.Do(t.Context(), func() {
				if g := n.host.Group(group); g != nil && g.Leadership().IsLeader {
					for _, id := range g.Membership().Voters {
						if g.Core().CanTakeLead(n.clock.Now(), id, maxMemberAckAge) {
							caughtUp++
						}
					}
				}
			}))
		}
		return caughtUp == len(nodes)-1
	})
	nodes[0].TransferLeaderships(t.Context())
	nodes[1].TransferLeaderships(t.Context())
	eventually(func() bool {
		heard := 0
		is.NoErr(nodes[2].loop.Do(t.Context(), func() {
			g := nodes[2].host.Group(group)
			if g == nil || !g.Leadership().IsLeader {
				return
			}
			for _, id := range g.Membership().Voters {
				if id != nodes[2].host.ID() && g.Core().CaughtUp(id) {
					heard++
				}
			}
			is.Equal(nodes[2].successor(g, group), "")
		}))
		return heard == len(nodes)-1
	})
}
