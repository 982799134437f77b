package papayajunction

// Configuration is one published set of operator files.
type Configuration struct {
	Version    uint64               `json:"version"`
	Hash       string               `json:"hash"`
	Workspaces map[string]Workspace `json:"workspaces"`
	Queues     map[string]Queue     `json:"queues"`
}

// File is one operator file of a publication.
type File struct {
	Path    string `json:"path"`
	Content string `json:"content"`
}

// Publication asks to replace configuration Replaces by the files.
type Publication struct {
	Replaces uint64 `json:"replaces"`
	Files    []File `json:"files"`
}

// Published is the answer to an accepted publication.
type Published struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	Resent  bool   `json:"resent,omitempty"`
}

// Key is a submitter's credential as it is stored: only a hash of the secret is kept.
type Key struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Hash      string `json:"hash"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// KeyGrant is the answer to a granted key; Secret is shown once and never stored.
type KeyGrant struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Secret    string `json:"secret,omitempty"`
}

// Identity is who a submission came from.
type Identity struct {
	Workspace string
	KeyID     string
}

// Directory answers what is in force: configuration, keys and how fresh both are.
type Directory interface {
	Configuration() Configuration
	Identify(secret string) (Identity, error)
}
