package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"papayajunction/internal/config/settings"
	"papayajunction/internal/config/topology"
)

// TestParse checks the sources of settings, their precedence and the errors for invalid settings.
func TestParse(t *testing.T) {
	const ownVM = "name=vm-1,zone=zone-1,region=r,address=127.0.0.1:7100,replica=true"
	tests := map[string]struct {
		file    string
		args    []string
		env     string
		wantErr string // part of the error; empty if the settings are valid
	}{
		"no settings at all":                 {},
		"a file":                             {file: `{"vm": "vm-1", "zone": "zone-1", "data_dir": "data", "vms": ["` + ownVM + `"]}`},
		"a flag overrides the file":          {file: `{"listen": "nonsense"}`, args: []string{"-listen", "127.0.0.1:1"}},
		"the environment overrides the file": {file: `{"listen": "nonsense"}`, env: "127.0.0.1:1"},
		"an unknown field":                   {file: `{"speed": 3}`, wantErr: "speed"},
		"invalid JSON":                       {file: `{"vm": `, wantErr: "read settings"},
		"an address with a host name":        {args: []string{"-listen", "localhost:7100"}, wantErr: "not an IP and port"},
		"a VM that isn't listed":             {args: []string{"-vm", "other", "-vms", ownVM}, wantErr: "not in the list"},
		"a VM in another zone":               {args: []string{"-zone", "other", "-vms", ownVM}, wantErr: "the list of VMs has"},
		"a VM that is listed twice":          {args: []string{"-vms", ownVM, "-vms", ownVM}, wantErr: "is listed twice"},
		"a replica without a disk":           {args: []string{"-vms", ownVM, "-vms", strings.Replace(ownVM, "vm-1", "vm-2", 1)}, wantErr: "data_dir"},
		"only one of the TLS settings":       {args: []string{"-tls_cert", "x"}, wantErr: "must be set together"},
		"no TLS on a non-loopback address":   {args: []string{"-vms", strings.Replace(ownVM, "127.0.0.1", "10.0.0.1", 1)}, wantErr: "unless all VMs are on loopback"},
		"a VM with an unknown field":         {args: []string{"-vms", "name=x,colour=blue"}, wantErr: "colour"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			args := test.args
			if test.file != "" {
				file := filepath.Join(t.TempDir(), "settings.json")
				is.NoErr(os.WriteFile(file, []byte(test.file), 0o600))
				args = append([]string{"-settings", file}, args...)
			}
			if test.env != "" {
				t.Setenv("PAPAYAD_LISTEN", test.env)
			}
			_, err := settings.Parse(args)
			is.Equal(err == nil, test.wantErr == "")
			is.True(err == nil || strings.Contains(err.Error(), test.wantErr))
		})
	}
}

// TestExamples checks the settings of the example VMs and the members of the resulting groups.
func TestExamples(t *testing.T) {
	for _, name := range []string{"diallo_freres", "lakeshore"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			paths, err := filepath.Glob("../../../examples/" + name + "/vms/*.json")
			is.NoErr(err)
			is.Equal(len(paths), 6)
			for _, path := range paths {
				s, err := settings.Parse([]string{"-settings", path})
				is.NoErr(err)
				checkGroups(is, topology.New(s.VMs))
			}
		})
	}
}

func checkGroups(is *is.I, t topology.Topology) {
	is.Equal(len(t.Members(topology.FleetGroup)), 5)
	for _, zone := range t.Zones() {
		members := t.Members(topology.CellGroup(zone))
		is.Equal(len(members), 3)
		local := 0
		for _, m := range members {
			if vm, _ := t.VM(m.VM); vm.Zone == zone {
				local++
				is.Equal(m.Rank, 0)
			}
		}
		is.Equal(local, 2) // the zone has a majority without other zones
	}
	is.Equal(t.Region(t.OtherZones("thies-atelier")[0]) == "thies" || t.Region("thies-atelier") == "", true)
}

// FuzzParse parses arbitrary settings files, which must not panic or give settings without VMs.
func FuzzParse(f *testing.F) {
	f.Add(`{"vm": "x", "vms": ["name=x,zone=z,address=127.0.0.1:1"]}`)
	f.Fuzz(func(t *testing.T, content string) {
		file := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Skip()
		}
		if s, err := settings.Parse([]string{"-settings", file}); err == nil && len(s.VMs) == 0 {
			t.Fatal("settings without VMs were accepted")
		}
	})
}
