package settings

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3"
)

// Roles of a VM in a cluster that discovers its VMs through seeds.
const (
	RoleEntry   = "entry"
	RoleReplica = "replica"
)

// Cluster are the validated settings of one VM in a cluster that discovers its VMs through seeds.
type Cluster struct {
	VM               string // for logs; the VMs identify each other by address
	Role             string
	Zone             string
	Region           string
	Zones            []string // all availability zones, as zone=region
	ListenFront      string   // entries: IP and port for callers
	ListenReady      string   // entries: IP and port for the load balancer's readiness checks
	ListenControl    string   // replicas: IP and port for workers and operators
	IP               string   // address of this VM for the other VMs
	PeerPort         int      // port of this VM for the other VMs; the same on all VMs
	ListenPeer       string   // IP and port to listen on for the other VMs, if a forwarder listens on IP and PeerPort
	MetricsPort      int
	Seeds            []string // values of ListenControl of some replicas
	Bootstrap        bool     // first start of the cluster, with empty disks
	DataDir          string
	AdviceAddress    string        // IP and port of the placement policy service, for the queues that have a placement policy
	GracePeriod      time.Duration // time between SIGTERM and SIGKILL
	MaxRulesDelay    time.Duration // maximum time between the acknowledgement of published rules and their being in force on every VM; 0 for no guarantee
	Retention        time.Duration // retention time of workflows in a final state; 0 for the daemon's default
	MaxLease         time.Duration // longest time, on a worker's own clock, for which it holds a lease whatever end an order sets; 0 for the daemon's default
	MemoryMB         int64         // memory of this VM in MiB; 0 if unknown
	StateMB          int64         // estimated memory in MiB that accepted workflows may take on a replica; 0 for a fraction of MemoryMB
	WorkspaceStateMB int64         // of it, in MiB, for the workflows of one workspace; 0 for a multiple of what is free
	InsecurePeers    bool          // connections between VMs are not encrypted; for private networks only
	Quiet            bool
}

// defaultGracePeriod is the default of GracePeriod.
const defaultGracePeriod = 6 * time.Second

// ParseCluster reads settings from flags, environment variables and the settings file, in this order of
// precedence, and validates them.
func ParseCluster(args []string) (Cluster, error) {
	s := Cluster{GracePeriod: defaultGracePeriod}
	err := ff.Parse(s.flags(), args,
		ff.WithEnvVarPrefix("PAPAYACELL"),
		ff.WithConfigFileFlag("settings"),
		ff.WithConfigFileParser(ff.JSONParser),
	)
	if err != nil {
		return Cluster{}, fmt.Errorf("read settings: %w", err)
	}
	if err := s.check(); err != nil {
		return Cluster{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

func (s *Cluster) flags() *flag.FlagSet {
	fs := flag.NewFlagSet("papayacell", flag.ContinueOnError)
	_ = fs.String("settings", "", "JSON file with settings; its keys are the names of these flags")
	fs.StringVar(&s.VM, "vm", s.VM, "name of this VM in logs")
	fs.StringVar(&s.Role, "role", s.Role, "entry or replica")
	fs.StringVar(&s.Zone, "zone", s.Zone, "availability zone of this VM")
	fs.StringVar(&s.Region, "region", s.Region, "region of this VM")
	fs.Var((*stringList)(&s.Zones), "zones", "an availability zone as zone=region; repeat for each")
	fs.StringVar(&s.ListenFront, "listen_front", s.ListenFront, "entries: IP and port for callers")
	fs.StringVar(&s.ListenReady, "listen_ready", s.ListenReady, "entries: IP and port for the load balancer's readiness checks")
	fs.StringVar(&s.ListenControl, "listen_control", s.ListenControl, "replicas: IP and port for workers and operators")
	fs.StringVar(&s.IP, "ip", s.IP, "address of this VM for the other VMs")
	fs.IntVar(&s.PeerPort, "peer_port", s.PeerPort, "port of this VM for the other VMs, the same on all VMs")
	fs.StringVar(&s.ListenPeer, "listen_peer", s.ListenPeer, "IP and port to listen on for the other VMs, if a forwarder listens on ip and peer_port")
	fs.IntVar(&s.MetricsPort, "metrics_port", s.MetricsPort, "port for metrics, 0 for none")
	fs.Var((*stringList)(&s.Seeds), "seeds", "IP and port of a replica's interface for workers and operators; repeat for each")
	fs.BoolVar(&s.Bootstrap, "bootstrap", s.Bootstrap, "first start of the cluster, with empty disks")
	fs.StringVar(&s.DataDir, "data_dir", s.DataDir, "replicas: directory for durable state")
	fs.StringVar(&s.AdviceAddress, "advice", s.AdviceAddress, "IP and port of the placement policy service, for the queues that have a placement policy")
	fs.DurationVar(&s.GracePeriod, "grace", s.GracePeriod, "time between SIGTERM and SIGKILL")
	fs.DurationVar(&s.MaxRulesDelay, "rules_within", s.MaxRulesDelay, "maximum time between the acknowledgement of published rules and their being in force on every VM, 0 for no guarantee")
	fs.DurationVar(&s.Retention, "keep", s.Retention, "retention time of workflows in a final state, 0 for 20m")
	fs.DurationVar(&s.MaxLease, "max_worker_lease", s.MaxLease, "longest time for which a worker holds a lease, whatever end an order sets, 0 for 12s")
	fs.Int64Var(&s.MemoryMB, "memory_mb", s.MemoryMB, "memory of this VM in MiB, 0 if unknown")
	fs.Int64Var(&s.StateMB, "state_mb", s.StateMB, "replicas: estimated memory in MiB that accepted workflows may take, further submissions are refused; 0 for three tenths of memory_mb")
	fs.Int64Var(&s.WorkspaceStateMB, "workspace_state_mb", s.WorkspaceStateMB, "replicas: of state_mb, what the workflows of one workspace may take; 0 for twice what is free")
	fs.BoolVar(&s.InsecurePeers, "insecure_peers", s.InsecurePeers, "connections between VMs are not encrypted; for private networks only")
	fs.BoolVar(&s.Quiet, "quiet", s.Quiet, "disable logging")
	return fs
}

// stringList is a flag.Value that collects the values of a repeated flag.
type stringList []string

// String implements flag.Value.
func (l *stringList) String() string {
	return ""
}

// Set appends one value.
func (l *stringList) Set(value string) error {
	*l = append(*l, value)
	return nil
}

// check returns all errors in the settings, joined.
func (s *Cluster) check() error {
	var errs []error
	reject := func(format string, args ...any) { errs = append(errs, trace.BadParameter(format, args...)) }
	checkAddress := func(name, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			reject("%s: %q is not an IP and port such as 10.0.0.4:7100", name, value)
		}
	}
	switch s.Role {
	case RoleEntry:
		checkAddress("listen_front", s.ListenFront)
		checkAddress("listen_ready", s.ListenReady)
	case RoleReplica:
		checkAddress("listen_control", s.ListenControl)
		if s.DataDir == "" {
			reject("data_dir: must be set on a replica")
		}
	default:
		reject("role: %q is not one of entry, replica", s.Role)
	}
	ip, err := netip.ParseAddr(s.IP)
	if err != nil {
		reject("ip: %q is not an IP address", s.IP)
	} else if !ip.IsLoopback() && !s.InsecurePeers {
		reject("insecure_peers: must be set unless ip is a loopback address, because connections between VMs are not encrypted")
	}
	if s.PeerPort < 1 || s.PeerPort > 65535 {
		reject("peer_port: %d is not a port from 1 to 65535", s.PeerPort)
	}
	if s.ListenPeer != "" {
		checkAddress("listen_peer", s.ListenPeer)
	}
	if len(s.Seeds) == 0 {
		reject("seeds: at least one must be set")
	}
	for _, seed := range s.Seeds {
		checkAddress("seeds", seed)
	}
	if s.GracePeriod <= 0 || min(s.MemoryMB, s.StateMB, s.WorkspaceStateMB, int64(s.Retention), int64(s.MaxRulesDelay), int64(s.MaxLease)) < 0 {
		reject("grace must be greater than 0; memory_mb, state_mb, workspace_state_mb, keep, rules_within and max_worker_lease must be at least 0")
	}
	return errors.Join(errs...)
}

// LeaderRank returns the VM's rank for leadership: 0 in a region with the highest number of availability zones,
// because most calls have the shortest path to a leader there, and 1 in others. VMs with a lower rank lead
// if they can.
func (s *Cluster) LeaderRank() int {
	zones := make(map[string]int)
	maxZones := 0
	for _, z := range s.Zones {
		_, region, _ := strings.Cut(z, "=")
		zones[region]++
		maxZones = max(maxZones, zones[region])
	}
	if zones[s.Region] < maxZones {
		return 1
	}
	return 0
}

// stateMemoryFraction is the default of StateMB as a fraction of MemoryMB: the garbage collector, the log and messages need the rest.
const stateMemoryFraction = 0.3

const bytesPerMB = 1 << 20

// StateBudget returns the estimated memory in bytes that accepted workflows may take, 0 for the daemon's default.
func (s *Cluster) StateBudget() int64 {
	if s.StateMB > 0 {
		return s.StateMB * bytesPerMB
	}
	return int64(stateMemoryFraction * float64(s.MemoryMB*bytesPerMB))
}

// WorkspaceStateBudget returns the part of StateBudget in bytes that the workflows of one workspace may take, 0 if it has no maximum of its own.
func (s *Cluster) WorkspaceStateBudget() int64 {
	return s.WorkspaceStateMB * bytesPerMB
}

// PeerAddress returns the address at which the other VMs reach this one.
func (s *Cluster) PeerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
}

// PeerSeeds returns the addresses at which the other VMs reach the seeds: their hosts with PeerPort,
// without duplicates.
func (s *Cluster) PeerSeeds() []string {
	var peers []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if peer := net.JoinHostPort(host, strconv.Itoa(s.PeerPort)); err == nil && !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// ControlPort returns the port of the replicas' interface for workers and operators.
func (s *Cluster) ControlPort() int {
	for _, address := range append([]string{s.ListenControl}, s.Seeds...) {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			return int(parsed.Port())
		}
	}
	return 0
}
