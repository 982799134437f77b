package papayajunction

// Configuration is one published set of operator files.
type Configuration struct {
	Version    uint64               `json:"version"`
	Hash       string               `json:"hash"`
	Workspaces map[string]Workspace `json:"workspaces"`
	Queues     map[string]Queue     `json:"queues"`
}

// OperatorFile is one operator file of a publication.
type OperatorFile struct {
	Path    string `json:"path"`
	Content string `json:"content"`
}

// Publication is a request to replace a version of the configuration by the files.
type Publication struct {
	ReplacedVersion uint64         `json:"replaces"` // version to replace, which must be the one in force
	Files           []OperatorFile `json:"files"`
}

// PublicationReply is the reply to an accepted publication.
type PublicationReply struct {
	Version          uint64 `json:"version"`
	Hash             string `json:"hash"`
	AlreadyPublished bool   `json:"resent,omitempty"` // the same publication had already been accepted
}

// Key is a caller's credential as it is stored: with a hash of the secret instead of the secret.
type Key struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Hash      string `json:"hash"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// IssuedKey is a newly issued key. Secret is returned once and never stored.
type IssuedKey struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Secret    string `json:"secret,omitempty"`
}

// Identity is the workspace and the key that a caller has authenticated as.
type Identity struct {
	Workspace string
	KeyID     string
}

// Directory gives access to the configuration and the keys in force.
type Directory interface {
	Configuration() Configuration
	Identify(secret string) (Identity, error)
}
