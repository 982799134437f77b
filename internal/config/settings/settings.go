// Package settings reads the settings of one VM's daemon from flags, environment variables and a
// JSON file, and validates them.
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

// EnvPrefix is the prefix of environment variables, as in PAPAYAD_ZONE.
const EnvPrefix = "PAPAYAD"

// Defaults of settings.
const (
	DefaultListen       = "127.0.0.1:7100"
	DefaultMaxBodyBytes = 1 << 20
	DefaultMaxInFlight  = 512
	DefaultDrainTimeout = 30 * time.Second
)

// Settings are the validated settings of one daemon.
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

// Default returns settings for a system with a single VM and no disk.
func Default() Settings {
	return Settings{
		VM: "vm-1", Zone: "zone-1", Listen: DefaultListen,
		MaxBodyBytes: DefaultMaxBodyBytes, MaxInFlight: DefaultMaxInFlight,
		DrainTimeout: DefaultDrainTimeout,
	}
}

// Flags returns a flag set that writes to the fields of s.
func (s *Settings) Flags() *flag.FlagSet {
	fs := flag.NewFlagSet("papayad", flag.ContinueOnError)
	_ = fs.String("settings", "", "JSON file with settings; its keys are the names of these flags")
	fs.StringVar(&s.VM, "vm", s.VM, "name of this VM")
	fs.StringVar(&s.Zone, "zone", s.Zone, "availability zone of this VM")
	fs.StringVar(&s.Listen, "listen", s.Listen, "IP and port to listen on")
	fs.StringVar(&s.DataDir, "data_dir", s.DataDir, "directory for durable state; empty on a VM without a disk for it")
	fs.Var(vmList{s}, "vms", "a VM of the system, as name=N,zone=Z,region=R,address=IP:PORT,replica=true; repeat for each")
	fs.StringVar(&s.OperatorKey, "operator_key", s.OperatorKey, "secret that operators send; without it they are accepted from loopback only")
	fs.StringVar(&s.TLSCert, "tls_cert", s.TLSCert, "PEM file with this VM's certificate")
	fs.StringVar(&s.TLSKey, "tls_key", s.TLSKey, "PEM file with this VM's private key")
	fs.StringVar(&s.TLSCA, "tls_ca", s.TLSCA, "PEM file with the certificate authority for the VMs' certificates")
	fs.Int64Var(&s.MaxBodyBytes, "max_body_bytes", s.MaxBodyBytes, "maximum size of a request or response body, in bytes")
	fs.IntVar(&s.MaxInFlight, "max_in_flight", s.MaxInFlight, "maximum number of requests in flight on this VM")
	fs.DurationVar(&s.DrainTimeout, "drain_timeout", s.DrainTimeout, "maximum wait for requests in flight when stopping")
	fs.Int64Var(&s.MemoryLimit, "memory_limit_bytes", s.MemoryLimit, "soft limit of heap and stacks in bytes, 0 for none; a limit that is too low costs much CPU time")
	fs.BoolVar(&s.Quiet, "quiet", s.Quiet, "disable logging")
	return fs
}

// Parse reads settings from flags, environment variables and the settings file, in this order of
// precedence, and validates them.
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

// Check returns all errors in the settings, joined. It replaces an empty list of VMs by a list that
// has only this VM.
func (s *Settings) Check() error {
	var errs []error
	reject := func(format string, args ...any) { errs = append(errs, trace.BadParameter(format, args...)) }
	if _, err := netip.ParseAddrPort(s.Listen); err != nil {
		reject("listen: %q is not an IP and port such as 127.0.0.1:7100", s.Listen)
	}
	if s.VM == "" || s.Zone == "" {
		reject("vm and zone must not be empty")
	}
	if len(s.VMs) == 0 {
		s.VMs = []topology.VM{{Name: s.VM, Zone: s.Zone, Address: s.Listen, Replica: true}}
	}
	errs = append(errs, s.checkSelf()...)
	errs = append(errs, checkVMs(s.VMs)...)
	errs = append(errs, s.checkTLS()...)
	if s.MaxBodyBytes < 1 || s.MaxInFlight < 1 || s.DrainTimeout < 0 || s.MemoryLimit < 0 {
		reject("max_body_bytes and max_in_flight must be at least 1; drain_timeout and memory_limit_bytes must be at least 0")
	}
	return errors.Join(errs...)
}

// checkSelf compares this VM's settings with its entry in the list of VMs.
func (s *Settings) checkSelf() []error {
	index := slices.IndexFunc(s.VMs, func(vm topology.VM) bool { return vm.Name == s.VM })
	switch {
	case index < 0:
		return []error{trace.BadParameter("vms: this VM %q is not in the list", s.VM)}
	case s.VMs[index].Zone != s.Zone:
		return []error{trace.BadParameter("zone: is %q, but the list of VMs has %q", s.Zone, s.VMs[index].Zone)}
	case s.VMs[index].Replica && s.DataDir == "" && len(s.VMs) > 1:
		return []error{trace.BadParameter("data_dir: must be set on a VM that is a replica")}
	}
	return nil
}

func (s *Settings) checkTLS() []error {
	count := countNonEmpty(s.TLSCert, s.TLSKey, s.TLSCA)
	if count != 0 && count != 3 {
		return []error{trace.BadParameter("tls_cert, tls_key and tls_ca must be set together")}
	}
	if count == 0 && !allLoopback(s.VMs) {
		return []error{trace.BadParameter("tls_cert, tls_key and tls_ca must be set unless all VMs are on loopback addresses")}
	}
	return nil
}

func checkVMs(vms []topology.VM) []error {
	var errs []error
	names := make(map[string]struct{})
	for _, vm := range vms {
		if _, duplicate := names[vm.Name]; duplicate {
			errs = append(errs, trace.BadParameter("vms: %q is listed twice", vm.Name))
		}
		names[vm.Name] = struct{}{}
		if _, err := netip.ParseAddrPort(vm.Address); err != nil {
			errs = append(errs, trace.BadParameter("vms: address %q of %q is not an IP and port", vm.Address, vm.Name))
		}
		if vm.Name == "" || vm.Zone == "" || strings.ContainsAny(vm.Name, "/ ") {
			errs = append(errs, trace.BadParameter("vms: %q in zone %q must have a zone and a name without / and spaces", vm.Name, vm.Zone))
		}
	}
	return errs
}

func countNonEmpty(values ...string) int {
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

// vmList is the flag.Value of Settings.VMs.
type vmList struct {
	settings *Settings
}

// String implements flag.Value.
func (l vmList) String() string {
	return ""
}

// Set appends one VM.
func (l vmList) Set(value string) error {
	vm, err := parseVM(value)
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
			return vm, trace.BadParameter("%q is not of the form name=value", part)
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
				return vm, trace.BadParameter("replica must be true or false, not %q", value)
			}
			vm.Replica = replica
		default:
			return vm, trace.BadParameter("%q is not one of name, zone, region, address, replica", name)
		}
	}
	return vm, nil
}
