// Package settings reads and checks the settings of one VM's daemon from flags, environment
// variables and a JSON file.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3"

	"papayajunction/internal/config/topology"
)

// EnvPrefix stands before the names of environment variables, as in PAPAYAD_ZONE.
const EnvPrefix = "PAPAYAD"

// Defaults of settings.
const (
	DefaultListen       = "127.0.0.1:7100"
	DefaultMaxBodyBytes = 1 << 20
	DefaultMaxInFlight  = 512
	DefaultDrainTimeout = 30 * time.Second
)

// Settings are the checked settings of one daemon.
type Settings struct {
	VM           string
	Zone         string
	Listen       string // IP and port
	DataDir      string
	VMs          []topology.VM
	OperatorKey  string
	TLSCert      string
	TLSKey       string
	TLSCA        string
	MaxBodyBytes int64
	MaxInFlight  int
	DrainTimeout time.Duration
	MemoryLimit  int64
	Quiet        bool
}

// Default returns settings that work for one VM alone, without a disk.
func Default() Settings {
	return Settings{
		VM: "vm-1", Zone: "zone-1", Listen: DefaultListen,
		MaxBodyBytes: DefaultMaxBodyBytes, MaxInFlight: DefaultMaxInFlight,
		DrainTimeout: DefaultDrainTimeout,
	}
}

// Flags returns the flag set that fills s.
func (s *Settings) Flags() *flag.FlagSet {
	fs := flag.NewFlagSet("papayad", flag.ContinueOnError)
	_ = fs.String("settings", "", "JSON file with settings, named like these flags with _ for -")
	fs.StringVar(&s.VM, "vm", s.VM, "name of this VM")
	fs.StringVar(&s.Zone, "zone", s.Zone, "availability zone of this VM")
	fs.StringVar(&s.Listen, "listen", s.Listen, "IP and port to listen on")
	fs.StringVar(&s.DataDir, "data_dir", s.DataDir, "folder for durable state; empty on a VM without a disk for it")
	fs.Var(vmList{s}, "vms", "a VM of the system, as name=N,zone=Z,region=R,address=IP:PORT,replica=true; repeat for each")
	fs.StringVar(&s.OperatorKey, "operator_key", s.OperatorKey, "secret that operators send; without it they are accepted from loopback only")
	fs.StringVar(&s.TLSCert, "tls_cert", s.TLSCert, "PEM file with this VM's certificate")
	fs.StringVar(&s.TLSKey, "tls_key", s.TLSKey, "PEM file with this VM's private key")
	fs.StringVar(&s.TLSCA, "tls_ca", s.TLSCA, "PEM file with the authority that signs the VMs' certificates")
	fs.Int64Var(&s.MaxBodyBytes, "max_body_bytes", s.MaxBodyBytes, "largest request or answer body, in bytes")
	fs.IntVar(&s.MaxInFlight, "max_in_flight", s.MaxInFlight, "requests that this VM carries at once")
	fs.DurationVar(&s.DrainTimeout, "drain_timeout", s.DrainTimeout, "longest wait for requests in flight when stopping")
	fs.Int64Var(&s.MemoryLimit, "memory_limit_bytes", s.MemoryLimit, "soft limit of heap and stacks in bytes, 0 for none; one that is too small costs much processor time")
	fs.BoolVar(&s.Quiet, "quiet", s.Quiet, "write no log")
	return fs
}

// Parse reads flags, then environment variables, then the settings file, and checks the result.
func Parse(args []string) (Settings, error) {
	s := Default()
	err := ff.Parse(s.Flags(), args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("settings"),
		ff.WithConfigFileParser(ff.JSONParser),
	)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	if err := s.Check(); err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

// Check reports every fault of the settings at once. Without a list of VMs, this VM is the only
// one.
func (s *Settings) Check() error {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, trace.BadParameter(format, args...)) }
	if _, err := netip.ParseAddrPort(s.Listen); err != nil {
		fault("listen: %q is not an IP and port such as 127.0.0.1:7100", s.Listen)
	}
	if s.VM == "" || s.Zone == "" {
		fault("vm and zone must not be empty")
	}
	if len(s.VMs) == 0 {
		s.VMs = []topology.VM{{Name: s.VM, Zone: s.Zone, Address: s.Listen, Replica: true}}
	}
	faults = append(faults, s.checkSelf()...)
	faults = append(faults, checkVMs(s.VMs)...)
	faults = append(faults, s.checkTLS()...)
	if s.MaxBodyBytes < 1 || s.MaxInFlight < 1 || s.DrainTimeout < 0 || s.MemoryLimit < 0 {
		fault("max_body_bytes and max_in_flight must be at least 1, drain_timeout and memory_limit_bytes at least 0")
	}
	return errors.Join(faults...)
}

// checkSelf compares this VM with its entry in the list of VMs.
func (s *Settings) checkSelf() []error {
	at := slices.IndexFunc(s.VMs, func(vm topology.VM) bool { return vm.Name == s.VM })
	switch {
	case at < 0:
		return []error{trace.BadParameter("vms: this VM %q is not in the list", s.VM)}
	case s.VMs[at].Zone != s.Zone:
		return []error{trace.BadParameter("zone: is %q and the list of VMs says %q", s.Zone, s.VMs[at].Zone)}
	case s.VMs[at].Replica && s.DataDir == "" && len(s.VMs) > 1:
		return []error{trace.BadParameter("data_dir: must be set on a VM that is a replica")}
	}
	return nil
}

func (s *Settings) checkTLS() []error {
	set := countSet(s.TLSCert, s.TLSKey, s.TLSCA)
	if set != 0 && set != 3 {
		return []error{trace.BadParameter("tls_cert, tls_key and tls_ca must be set together")}
	}
	if set == 0 && !allLoopback(s.VMs) {
		return []error{trace.BadParameter("tls_cert, tls_key and tls_ca must be set unless all VMs are on loopback addresses")}
	}
	return nil
}

func checkVMs(vms []topology.VM) []error {
	var faults []error
	names := make(map[string]struct{})
	for _, vm := range vms {
		if _, twice := names[vm.Name]; twice {
			faults = append(faults, trace.BadParameter("vms: %q stands twice", vm.Name))
		}
		names[vm.Name] = struct{}{}
		if _, err := netip.ParseAddrPort(vm.Address); err != nil {
			faults = append(faults, trace.BadParameter("vms: address %q of %q is not an IP and port", vm.Address, vm.Name))
		}
		if vm.Name == "" || vm.Zone == "" || strings.ContainsAny(vm.Name, "/ ") {
			faults = append(faults, trace.BadParameter("vms: %q in zone %q needs a name without / and a zone", vm.Name, vm.Zone))
		}
	}
	return faults
}

func countSet(values ...string) int {
	n := 0
	for _, v := range values {
		if v != "" {
			n++
		}
	}
	return n
}

func allLoopback(vms []topology.VM) bool {
	for _, vm := range vms {
		address, err := netip.ParseAddrPort(vm.Address)
		if err != nil || !address.Addr().IsLoopback() {
			return false
		}
	}
	return true
}

// vmList is the flag.Value of the list of VMs.
type vmList struct {
	settings *Settings
}

// String is part of flag.Value.
func (l vmList) String() string {
	return ""
}

// Set adds one VM.
func (l vmList) Set(text string) error {
	vm, err := parseVM(text)
	if err != nil {
		return err
	}
	l.settings.VMs = append(l.settings.VMs, vm)
	return nil
}

func parseVM(text string) (topology.VM, error) {
	var vm topology.VM
	for _, part := range strings.Split(text, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found {
			return vm, trace.BadParameter("%q is not like name=value", part)
		}
		switch name {
		case "name":
			vm.Name = value
		case "zone":
			vm.Zone = value
		case "region":
			vm.Region = value
		case "address":
			vm.Address = value
		case "replica":
			replica, err := strconv.ParseBool(value)
			if err != nil {
				return vm, trace.BadParameter("replica of a VM must be true or false, not %q", value)
			}
			vm.Replica = replica
		default:
			return vm, trace.BadParameter("%q is not one of name, zone, region, address, replica", name)
		}
	}
	return vm, nil
}
