package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validCluster = `{"vm":"n1","role":"replica","zone":"a1","region":"a","zones":["a1=a","a2=a","b1=b"],"ip":"10.0.0.1",
"peer_port":7400,"listen_control":"10.0.0.1:8180","seeds":["10.0.0.1:8180","10.0.0.2:8180"],"bootstrap":true,
"data_dir":"/data","grace":"6s","insecure_peers":true}`

// TestParseCluster checks that the error for an invalid setting names that setting, and which addresses and leader rank
// follow from valid settings.
func TestParseCluster(t *testing.T) {
	tests := map[string]struct {
		replace, with string
		wantErr       string // part of the error; empty if the settings are valid
	}{
		"valid":                               {},
		"unknown role":                        {replace: `"replica"`, with: `"other"`, wantErr: "role"},
		"replica without a data directory":    {replace: `"/data"`, with: `""`, wantErr: "data_dir"},
		"invalid listen address":              {replace: `"10.0.0.1:8180","seeds"`, with: `"here","seeds"`, wantErr: "listen_control"},
		"unencrypted connections not allowed": {replace: `true}`, with: `false}`, wantErr: "insecure_peers"},
		"no seeds":                            {replace: `["10.0.0.1:8180","10.0.0.2:8180"]`, with: `[]`, wantErr: "seeds"},
		"seed without a port":                 {replace: `"10.0.0.2:8180"]`, with: `"10.0.0.2"]`, wantErr: "seeds"},
		"no peer port":                        {replace: `7400`, with: `0`, wantErr: "peer_port"},
		"zero grace period":                   {replace: `"6s"`, with: `"0s"`, wantErr: "grace"},
		"negative lease of workers":           {replace: `"grace"`, with: `"max_worker_lease":"-1s","grace"`, wantErr: "max_worker_lease"},
		"negative state budget":               {replace: `"grace"`, with: `"state_mb":-1,"grace"`, wantErr: "state_mb"},
		"negative workspace state budget":     {replace: `"grace"`, with: `"workspace_state_mb":-1,"grace"`, wantErr: "workspace_state_mb"},
		"truncated JSON":                      {replace: `"insecure_peers":true}`, with: ``, wantErr: "read settings"},
		"unknown key":                         {replace: `"vm"`, with: `"machine"`, wantErr: "read settings"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := validCluster
			if tc.replace != "" {
				text = strings.Replace(validCluster, tc.replace, tc.with, 1)
				is.True(text != validCluster)
			}
			path := filepath.Join(t.TempDir(), "node.json")
			is.NoErr(os.WriteFile(path, []byte(text), 0o600))
			s, err := ParseCluster([]string{"-settings", path})
			if tc.wantErr != "" {
				is.True(err != nil && strings.Contains(err.Error(), tc.wantErr))
				return
			}
			is.NoErr(err)
			is.Equal(s.PeerAddress(), "10.0.0.1:7400")
			is.Equal(s.PeerSeeds(), []string{"10.0.0.1:7400", "10.0.0.2:7400"})
			is.Equal(s.ControlPort(), 8180)
			is.Equal(s.LeaderRank(), 0)
			s.Region = "b"
			is.Equal(s.LeaderRank(), 1)
		})
	}
}

// TestStateBudget checks the state budgets that follow from the settings.
func TestStateBudget(t *testing.T) {
	tests := map[string]struct {
		settings        Cluster
		want, workspace int64 // in bytes
	}{
		"nothing known":  {},
		"of the memory":  {settings: Cluster{MemoryMB: 280}, want: 84 << 20},
		"set":            {settings: Cluster{MemoryMB: 280, StateMB: 50}, want: 50 << 20},
		"of a workspace": {settings: Cluster{StateMB: 50, WorkspaceStateMB: 10}, want: 50 << 20, workspace: 10 << 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.settings.StateBudget(), test.want)
			is.Equal(test.settings.WorkspaceStateBudget(), test.workspace)
		})
	}
}
