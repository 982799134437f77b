// Package fleet holds what all availability zones share: configuration, keys and the split of
// every workspace's upper limit over the cells.
package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	pj "papayajunction"
	"papayajunction/internal/control/directory"
)

// keptHashes is how many past versions can be recognised when a publication is sent again.
const keptHashes = 1000

// Command is one change of the fleet state. Exactly one field is set.
type Command struct {
	Publish  *Publish       `json:"publish,omitempty"`
	Grant    *pj.Key        `json:"grant,omitempty"`
	Withdraw *Withdraw      `json:"withdraw,omitempty"`
	Allot    []AllotChange  `json:"allot,omitempty"`
	Confirm  []AllotConfirm `json:"confirm,omitempty"`
}

// Publish replaces the configuration numbered Replaces.
type Publish struct {
	Replaces   uint64                  `json:"replaces"`
	Hash       string                  `json:"hash"`
	Workspaces map[string]pj.Workspace `json:"workspaces"`
	Queues     map[string]pj.Queue     `json:"queues"`
}

// Withdraw ends a key for good.
type Withdraw struct {
	Workspace string `json:"workspace"`
	ID        string `json:"id"`
}

// AllotChange sets the allotment of a workspace in a cell.
type AllotChange struct {
	Cell string `json:"cell"`
	pj.Allotment
}

// AllotConfirm says that a cell has committed the allotment numbered Seq with the given value.
type AllotConfirm struct {
	Cell string `json:"cell"`
	pj.Allotment
}

// PublishResult is what Apply returns for Publish.
type PublishResult struct {
	Published pj.Published
	Err       *pj.Error
}

// State is the replicated state of the fleet group. The zero value is an empty fleet.
type State struct {
	index   uint64
	public  uint64 // index of the last change of configuration or keys
	config  pj.Configuration
	hashes  map[uint64]string // version to hash, of the last keptHashes versions
	keys    map[string]pj.Key // by id
	byHash  map[string]string // hash of the secret to id
	escrows map[string]map[string]escrow
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{}
	s.init()
	return s
}

func (s *State) init() {
	if s.hashes == nil {
		s.hashes = make(map[uint64]string)
	}
	if s.keys == nil {
		s.keys = make(map[string]pj.Key)
	}
	if s.escrows == nil {
		s.escrows = make(map[string]map[string]escrow)
	}
	s.byHash = make(map[string]string, len(s.keys))
	for id, k := range s.keys {
		s.byHash[k.Hash] = id
	}
}

// Index returns the log index of the last command that was applied.
func (s *State) Index() uint64 {
	return s.index
}

// Public returns what every VM needs to know, as a copy.
func (s *State) Public() directory.Public {
	keys := make(map[string]pj.Key, len(s.keys))
	for _, k := range s.keys {
		keys[k.Hash] = k
	}
	return directory.Public{Index: s.public, Config: s.config, Keys: keys}
}

// PublicIndex returns the index of the last change of configuration or keys.
func (s *State) PublicIndex() uint64 {
	return s.public
}

// Configuration returns the configuration in force. It must not be changed.
func (s *State) Configuration() pj.Configuration {
	return s.config
}

// Apply runs one command and returns its result.
func (s *State) Apply(index uint64, data []byte) any {
	s.index = index
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return pj.Refuse(pj.CodeInternal, "fleet command %d can't be read: %v", index, err)
	}
	switch {
	case c.Publish != nil:
		return s.publish(*c.Publish)
	case c.Grant != nil:
		return s.grant(*c.Grant)
	case c.Withdraw != nil:
		return s.withdraw(*c.Withdraw)
	case c.Allot != nil:
		return s.allot(c.Allot)
	case c.Confirm != nil:
		return s.confirm(c.Confirm)
	}
	return nil
}

// CheckPublish tells what publishing would answer without changing anything.
func (s *State) CheckPublish(replaces uint64, hash string) PublishResult {
	if replaces == s.config.Version {
		return PublishResult{Published: pj.Published{Version: replaces + 1, Hash: hash}}
	}
	winner, known := s.hashes[replaces+1]
	if known && winner == hash {
		return PublishResult{Published: pj.Published{Version: replaces + 1, Hash: hash, Resent: true}}
	}
	e := pj.Refuse(pj.CodeConflict,
		"version %d is in force (hash %.12s), so version %d can't be replaced any more",
		s.config.Version, s.config.Hash, replaces)
	if known {
		e = pj.Refuse(pj.CodeConflict,
			"another publication won version %d (hash %.12s); version %d is in force",
			replaces+1, winner, s.config.Version)
	}
	return PublishResult{Err: e}
}

func (s *State) publish(p Publish) PublishResult {
	r := s.CheckPublish(p.Replaces, p.Hash)
	if r.Err != nil || r.Published.Resent {
		return r
	}
	version := p.Replaces + 1
	s.public = s.index
	s.config = pj.Configuration{Version: version, Hash: p.Hash, Workspaces: p.Workspaces, Queues: p.Queues}
	s.hashes[version] = p.Hash
	delete(s.hashes, version-keptHashes)
	return r
}

func (s *State) grant(k pj.Key) *pj.Error {
	if held, ok := s.keys[k.ID]; ok {
		if held == k {
			return nil
		}
		return pj.Refuse(pj.CodeConflict, "key id %s is taken or withdrawn", k.ID)
	}
	if _, ok := s.byHash[k.Hash]; ok {
		return pj.Refuse(pj.CodeConflict, "this secret was granted before under another id")
	}
	s.public = s.index
	s.keys[k.ID] = k
	s.byHash[k.Hash] = k.ID
	return nil
}

func (s *State) withdraw(w Withdraw) *pj.Error {
	k, ok := s.keys[w.ID]
	if !ok || k.Workspace != w.Workspace {
		return pj.Refuse(pj.CodeBadRequest, "workspace %s has no key %s", w.Workspace, w.ID)
	}
	s.public = s.index
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
	Index   uint64                       `json:"index"`
	Public  uint64                       `json:"public"`
	Config  pj.Configuration             `json:"configuration"`
	Hashes  map[uint64]string            `json:"hashes"`
	Keys    map[string]pj.Key            `json:"keys"`
	Escrows map[string]map[string]escrow `json:"allotments"`
}

// Snapshot returns the whole state as bytes.
func (s *State) Snapshot() ([]byte, error) {
	data, err := json.Marshal(snapshot{
		Index: s.index, Public: s.public, Config: s.config, Hashes: s.hashes, Keys: s.keys, Escrows: s.escrows,
	})
	if err != nil {
		return nil, fmt.Errorf("write fleet snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot; no bytes mean the empty state.
func (s *State) Restore(data []byte) error {
	var p snapshot
	if len(data) > 0 {
		if err := json.Unmarshal(data, &p); err != nil {
			return fmt.Errorf("read fleet snapshot: %w", err)
		}
	}
	*s = State{index: p.Index, public: p.Public, config: p.Config, hashes: p.Hashes, keys: p.Keys, escrows: p.Escrows}
	s.init()
	return nil
}
