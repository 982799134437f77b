package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const soundCluster = `{"vm":"n1","role":"replica","zone":"a1","region":"a","zones":["a1=a","a2=a","b1=b"],"ip":"10.0.0.1",
"peer_port":7400,"listen_control":"10.0.0.1:8180","seeds":["10.0.0.1:8180","10.0.0.2:8180"],"bootstrap":true,
"data_dir":"/data","grace":"6s","insecure_peers":true}`

// TestParseCluster: each fault is named, and sound settings give the addresses.
func TestParseCluster(t *testing.T) {
	tests := map[string]struct {
		replace, with string
		fault         string // part of the error; empty if the settings are sound
	}{
		"sound":                 {},
		"unknown role":          {replace: `"replica"`, with: `"other"`, fault: "role"},
		"no data folder":        {replace: `"/data"`, with: `""`, fault: "data_dir"},
		"no address":            {replace: `"10.0.0.1:8180","seeds"`, with: `"here","seeds"`, fault: "listen_control"},
		"plain links":           {replace: `true}`, with: `false}`, fault: "insecure_peers"},
		"no seeds":              {replace: `["10.0.0.1:8180","10.0.0.2:8180"]`, with: `[]`, fault: "seeds"},
		"a seed without a port": {replace: `"10.0.0.2:8180"]`, with: `"10.0.0.2"]`, fault: "seeds"},
		"no peer port":          {replace: `7400`, with: `0`, fault: "peer_port"},
		"no time to stop":       {replace: `"6s"`, with: `"0s"`, fault: "grace"},
		"cut short":             {replace: `"insecure_peers":true}`, with: ``, fault: "read settings"},
		"unknown name":          {replace: `"vm"`, with: `"machine"`, fault: "read settings"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := soundCluster
			if tc.replace != "" {
				text = strings.Replace(soundCluster, tc.replace, tc.with, 1)
				is.True(text != soundCluster)
			}
			path := filepath.Join(t.TempDir(), "node.json")
			is.NoErr(os.WriteFile(path, []byte(text), 0o600))
			s, err := ParseCluster([]string{"-settings", path})
			if tc.fault != "" {
				is.True(err != nil && strings.Contains(err.Error(), tc.fault))
				return
			}
			is.NoErr(err)
			is.Equal(s.PeerAddress(), "10.0.0.1:7400")
			is.Equal(s.PeerSeeds(), []string{"10.0.0.1:7400", "10.0.0.2:7400"})
			is.Equal(s.ControlPort(), 8180)
			is.Equal(s.Rank(), 0)
			s.Region = "b"
			is.Equal(s.Rank(), 1)
		})
	}
}
