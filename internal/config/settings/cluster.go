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

// The roles of a VM of a system that finds its VMs from seeds.
const (
	RoleEntry   = "entry"
	RoleReplica = "replica"
)

// Cluster are the checked settings of one VM of a system that finds its VMs from seeds.
type Cluster struct {
	VM            string // for people; the VMs name each other by address
	Role          string
	Zone          string
	Region        string
	Zones         []string // all availability zones, as zone=region
	ListenFront   string   // entries: where callers connect
	ListenReady   string   // entries: where the balancer asks
	ListenControl string   // replicas: where workers and operators connect
	IP            string
	PeerPort      int    // the same on all VMs
	ListenPeer    string // where this VM listens for the others, if a forwarder stands at IP and PeerPort
	MetricsPort   int
	Seeds         []string // ListenControl of some replicas
	Bootstrap     bool     // the system starts for the first time
	DataDir       string
	Advice        string // address of the policy of queues that have one
	Grace         time.Duration
	RulesWithin   time.Duration // how soon after their acknowledgement rules must be in force on every VM; 0 if nothing is promised
	Keep          time.Duration // how long callers may ask for workflows in a final state; 0 for the daemon's own
	MemoryMB      int64
	InsecurePeers bool // links between VMs are plain, on a private network
	Quiet         bool
}

// defaultGrace is the time from SIGTERM to SIGKILL if the settings name none.
const defaultGrace = 6 * time.Second

// ParseCluster reads flags and the settings file and checks the result.
func ParseCluster(args []string) (Cluster, error) {
	s := Cluster{Grace: defaultGrace}
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
	_ = fs.String("settings", "", "JSON file with settings, named like these flags")
	fs.StringVar(&s.VM, "vm", s.VM, "name of this VM in logs")
	fs.StringVar(&s.Role, "role", s.Role, "entry or replica")
	fs.StringVar(&s.Zone, "zone", s.Zone, "availability zone of this VM")
	fs.StringVar(&s.Region, "region", s.Region, "region of this VM")
	fs.Var((*stringList)(&s.Zones), "zones", "an availability zone as zone=region; repeat for each")
	fs.StringVar(&s.ListenFront, "listen_front", s.ListenFront, "entries: IP and port for callers")
	fs.StringVar(&s.ListenReady, "listen_ready", s.ListenReady, "entries: IP and port for the balancer")
	fs.StringVar(&s.ListenControl, "listen_control", s.ListenControl, "replicas: IP and port for workers and operators")
	fs.StringVar(&s.IP, "ip", s.IP, "address of this VM for the other VMs")
	fs.IntVar(&s.PeerPort, "peer_port", s.PeerPort, "port for the other VMs, the same on all")
	fs.StringVar(&s.ListenPeer, "listen_peer", s.ListenPeer, "IP and port where this VM listens for the others, if a forwarder stands at ip and peer_port")
	fs.IntVar(&s.MetricsPort, "metrics_port", s.MetricsPort, "port for metrics, 0 for none")
	fs.Var((*stringList)(&s.Seeds), "seeds", "IP and port of a replica's interface for workers and operators; repeat for each")
	fs.BoolVar(&s.Bootstrap, "bootstrap", s.Bootstrap, "the system starts for the first time, with empty disks")
	fs.StringVar(&s.DataDir, "data_dir", s.DataDir, "replicas: folder for durable state")
	fs.StringVar(&s.Advice, "advice", s.Advice, "IP and port of the policy of queues that have one")
	fs.DurationVar(&s.Grace, "grace", s.Grace, "time from SIGTERM to SIGKILL")
	fs.DurationVar(&s.RulesWithin, "rules_within", s.RulesWithin, "how soon after their acknowledgement rules must be in force on every VM, 0 if nothing is promised")
	fs.DurationVar(&s.Keep, "keep", s.Keep, "how long callers may ask for workflows in a final state, 0 for 20m")
	fs.Int64Var(&s.MemoryMB, "memory_mb", s.MemoryMB, "memory of this VM in MiB, 0 if unknown")
	fs.BoolVar(&s.InsecurePeers, "insecure_peers", s.InsecurePeers, "links between VMs are plain; for private networks only")
	fs.BoolVar(&s.Quiet, "quiet", s.Quiet, "write no log")
	return fs
}

// stringList is the flag.Value of a list of words.
type stringList []string

// String is part of flag.Value.
func (l *stringList) String() string {
	return ""
}

// Set adds one word.
func (l *stringList) Set(text string) error {
	*l = append(*l, text)
	return nil
}

// check reports every fault of the settings at once.
func (s *Cluster) check() error {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, trace.BadParameter(format, args...)) }
	address := func(name, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			fault("%s: %q is not an IP and port such as 10.0.0.4:7100", name, value)
		}
	}
	switch s.Role {
	case RoleEntry:
		address("listen_front", s.ListenFront)
		address("listen_ready", s.ListenReady)
	case RoleReplica:
		address("listen_control", s.ListenControl)
		if s.DataDir == "" {
			fault("data_dir: must be set on a replica")
		}
	default:
		fault("role: %q is not one of entry, replica", s.Role)
	}
	ip, err := netip.ParseAddr(s.IP)
	if err != nil {
		fault("ip: %q is not an IP", s.IP)
	} else if !ip.IsLoopback() && !s.InsecurePeers {
		fault("insecure_peers: links between VMs are plain, so it must be set unless they are on loopback addresses")
	}
	if s.PeerPort < 1 || s.PeerPort > 65535 {
		fault("peer_port: %d is not a port", s.PeerPort)
	}
	if s.ListenPeer != "" {
		address("listen_peer", s.ListenPeer)
	}
	if len(s.Seeds) == 0 {
		fault("seeds: at least one is needed")
	}
	for _, seed := range s.Seeds {
		address("seeds", seed)
	}
	if s.Grace <= 0 || min(s.MemoryMB, int64(s.Keep), int64(s.RulesWithin)) < 0 {
		fault("grace must be above 0, memory_mb, keep and rules_within at least 0")
	}
	return errors.Join(faults...)
}

// Rank returns 0 for VMs of the region with most availability zones, which lead if they can because most
// calls have the shortest way there, and 1 for others.
func (s *Cluster) Rank() int {
	zones := make(map[string]int)
	most := 0
	for _, z := range s.Zones {
		_, region, _ := strings.Cut(z, "=")
		zones[region]++
		most = max(most, zones[region])
	}
	if zones[s.Region] < most {
		return 1
	}
	return 0
}

// PeerAddress returns where the other VMs reach this one.
func (s *Cluster) PeerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
}

// PeerSeeds returns where the other VMs reach the seeds.
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
