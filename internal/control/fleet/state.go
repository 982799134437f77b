// Package fleet implements the replicated state that all availability zones share: the configuration, the keys,
// and how each workspace's upper limit is divided among the cells.
package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	pj "papayajunction"
	"papayajunction/internal/control/directory"
)

// maxVersionHashes is the number of past versions whose hash is kept, to recognise a publication that is resent.
const maxVersionHashes = 1000

// Command is one change of the fleet state. Exactly one field is set.
type Command struct {
	Publish  *Publish                `json:"publish,omitempty"`
	Grant    *pj.Key                 `json:"grant,omitempty"`
	Withdraw *Withdraw               `json:"withdraw,omitempty"`
	Allot    []AllotmentChange       `json:"allot,omitempty"`
	Confirm  []AllotmentConfirmation `json:"confirm,omitempty"`
}

// Publish replaces the configuration whose version is Replaces.
type Publish struct {
	Replaces   uint64                  `json:"replaces"`
	Hash       string                  `json:"hash"`
	Workspaces map[string]pj.Workspace `json:"workspaces"`
	Queues     map[string]pj.Queue     `json:"queues"`
}

// Withdraw revokes a key permanently.
type Withdraw struct {
	Workspace string `json:"workspace"`
	ID        string `json:"id"`
}

// AllotmentChange sets the allotment of a workspace in a cell.
type AllotmentChange struct {
	Cell string `json:"cell"`
	pj.Allotment
}

// AllotmentConfirmation records that a cell has committed the allotment with sequence number Seq, and the committed
// value.
type AllotmentConfirmation struct {
	Cell string `json:"cell"`
	pj.Allotment
}

// PublishResult is what Apply returns for Publish.
type PublishResult struct {
	Published pj.PublicationReply
	Err       *pj.Error
}

// State is the replicated state of the fleet group. Create it with NewState.
type State struct {
	index          uint64
	directoryIndex uint64 // index of the last change of configuration or keys
	config         pj.Configuration
	versionHashes  map[uint64]string // by version; the last maxVersionHashes versions
	keys           map[string]pj.Key // by id
	keyIDByHash    map[string]string // by hash of the secret
	allotments     map[string]map[string]cellAllotment
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{}
	s.init()
	return s
}

func (s *State) init() {
	if s.versionHashes == nil {
		s.versionHashes = make(map[uint64]string)
	}
	if s.keys == nil {
		s.keys = make(map[string]pj.Key)
	}
	if s.allotments == nil {
		s.allotments = make(map[string]map[string]cellAllotment)
	}
	s.keyIDByHash = make(map[string]string, len(s.keys))
	for id, k := range s.keys {
		s.keyIDByHash[k.Hash] = id
	}
}

// Index returns the log index of the last command that was applied.
func (s *State) Index() uint64 {
	return s.index
}

// DirectoryContent returns the content of the directory that every VM holds. Its map of keys is a copy.
func (s *State) DirectoryContent() directory.Content {
	keys := make(map[string]pj.Key, len(s.keys))
	for _, k := range s.keys {
		keys[k.Hash] = k
	}
	return directory.Content{Index: s.directoryIndex, Config: s.config, Keys: keys}
}

// DirectoryIndex returns the index of the last change of configuration or keys.
func (s *State) DirectoryIndex() uint64 {
	return s.directoryIndex
}

// Configuration returns the configuration in force. It must not be changed.
func (s *State) Configuration() pj.Configuration {
	return s.config
}

// Apply applies one command and returns its result.
func (s *State) Apply(index uint64, data []byte) any {
	s.index = index
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return pj.Refuse(pj.CodeInternal, "fleet command %d can't be decoded: %v", index, err)
	}
	switch {
	case c.Publish != nil:
		return s.publish(*c.Publish)
	case c.Grant != nil:
		return s.grant(*c.Grant)
	case c.Withdraw != nil:
		return s.withdraw(*c.Withdraw)
	case c.Allot != nil:
		return s.changeAllotments(c.Allot)
	case c.Confirm != nil:
		return s.confirmAllotments(c.Confirm)
	}
	return nil
}

// CheckPublish returns the result that a publication would have, without changing the state.
func (s *State) CheckPublish(replaces uint64, hash string) PublishResult {
	if replaces == s.config.Version {
		return PublishResult{Published: pj.PublicationReply{Version: replaces + 1, Hash: hash}}
	}
	publishedHash, known := s.versionHashes[replaces+1]
	if known && publishedHash == hash {
		return PublishResult{Published: pj.PublicationReply{Version: replaces + 1, Hash: hash, AlreadyPublished: true}}
	}
	e := pj.Refuse(pj.CodeConflict,
		"version %d is in force (hash %.12s), so version %d can't be replaced any more",
		s.config.Version, s.config.Hash, replaces)
	if known {
		e = pj.Refuse(pj.CodeConflict,
			"version %d was already published with another hash (%.12s); version %d is in force",
			replaces+1, publishedHash, s.config.Version)
	}
	return PublishResult{Err: e}
}

func (s *State) publish(p Publish) PublishResult {
	r := s.CheckPublish(p.Replaces, p.Hash)
	if r.Err != nil || r.Published.AlreadyPublished {
		return r
	}
	version := p.Replaces + 1
	s.directoryIndex = s.index
	s.config = pj.Configuration{Version: version, Hash: p.Hash, Workspaces: p.Workspaces, Queues: p.Queues}
	s.versionHashes[version] = p.Hash
	delete(s.versionHashes, version-maxVersionHashes)
	return r
}

func (s *State) grant(k pj.Key) *pj.Error {
	if existing, ok := s.keys[k.ID]; ok {
		if existing == k {
			return nil
		}
		return pj.Refuse(pj.CodeConflict, "key id %s is already in use or withdrawn", k.ID)
	}
	if _, ok := s.keyIDByHash[k.Hash]; ok {
		return pj.Refuse(pj.CodeConflict, "this secret is already granted under another key id")
	}
	s.directoryIndex = s.index
	s.keys[k.ID] = k
	s.keyIDByHash[k.Hash] = k.ID
	return nil
}

func (s *State) withdraw(w Withdraw) *pj.Error {
	k, ok := s.keys[w.ID]
	if !ok || k.Workspace != w.Workspace {
		return pj.Refuse(pj.CodeBadRequest, "workspace %s has no key %s", w.Workspace, w.ID)
	}
	s.directoryIndex = s.index
	k.Withdrawn = true
	s.keys[w.ID] = k
	return nil
}

// Keys returns the keys of a workspace, or of all workspaces for "", in order of id.
func (s *State) Keys(workspace string) []pj.Key {
	var keys []pj.Key
	for _, id := range slices.Sorted(maps.Keys(s.keys)) {
		if k := s.keys[id]; workspace == "" || k.Workspace == workspace {
			keys = append(keys, k)
		}
	}
	return keys
}

// snapshot is the JSON form of State.
type snapshot struct {
	Index          uint64                              `json:"index"`
	DirectoryIndex uint64                              `json:"public"`
	Config         pj.Configuration                    `json:"configuration"`
	VersionHashes  map[uint64]string                   `json:"hashes"`
	Keys           map[string]pj.Key                   `json:"keys"`
	Allotments     map[string]map[string]cellAllotment `json:"allotments"`
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	data, err := json.Marshal(snapshot{
		Index: s.index, DirectoryIndex: s.directoryIndex, Config: s.config, VersionHashes: s.versionHashes,
		Keys: s.keys, Allotments: s.allotments,
	})
	if err != nil {
		return nil, fmt.Errorf("write fleet snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state with that of a snapshot. Without data, the state becomes empty.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if len(data) > 0 {
		if err := json.Unmarshal(data, &snap); err != nil {
			return fmt.Errorf("read fleet snapshot: %w", err)
		}
	}
	*s = State{
		index: snap.Index, directoryIndex: snap.DirectoryIndex, config: snap.Config, versionHashes: snap.VersionHashes,
		keys: snap.Keys, allotments: snap.Allotments,
	}
	s.init()
	return nil
}
