package bftraffic

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// KeyDigest identifies an API key: the first 16 bytes of its SHA-256. Nodes keep and exchange
// digests, so that no key can leak from their memory, logs or messages.
type KeyDigest [16]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:])
}

// fingerprintBytes is how much of a digest is shown to operators: enough to tell the keys of a
// deployment apart.
const fingerprintBytes = 4

// Fingerprint returns the beginning of the digest in hexadecimal, which identifies the key in log
// lines and messages.
func (d KeyDigest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// WorkspaceSpec describes a workspace: a customer whose requests carry one of its API keys.
type WorkspaceSpec struct {
	Name string `cbor:"1,keyasint"`
	// Keys are the digests of the API keys, sorted.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Rank is the priority of the workspace's requests if HasRank is set; else that of the route
	// applies. 0 is the highest.
	Rank    int  `cbor:"3,keyasint,omitempty"`
	HasRank bool `cbor:"4,keyasint,omitempty"`
	// Rate is the quota in requests per second over all nodes, 0 for no limit. Burst is the number of
	// requests by which the workspace may exceed it at once.
	Rate  int `cbor:"5,keyasint,omitempty"`
	Burst int `cbor:"6,keyasint,omitempty"`
}

func (w WorkspaceSpec) equal(v WorkspaceSpec) bool {
	return w.Name == v.Name && w.Rank == v.Rank && w.HasRank == v.HasRank && w.Rate == v.Rate && w.Burst == v.Burst &&
		slices.Equal(w.Keys, v.Keys)
}

// hash returns a 64-bit hash of all fields of the workspace.
func (w WorkspaceSpec) hash() uint64 {
	m := hashInput{}.addString(w.Name).addInt(int64(w.Rank)).addBool(w.HasRank).addInt(int64(w.Rate)).addInt(int64(w.Burst))
	for _, key := range w.Keys {
		m = append(m, key[:]...)
	}
	return m.sum()
}

// Workspace is a workspace of a snapshot. Successive snapshots share unchanged workspaces.
type Workspace struct {
	spec WorkspaceSpec
	hash uint64
}

func newWorkspace(spec WorkspaceSpec) *Workspace {
	spec.Keys = slices.Clone(spec.Keys)
	slices.SortFunc(spec.Keys, func(a, b KeyDigest) int { return slices.Compare(a[:], b[:]) })
	spec.Keys = slices.Compact(spec.Keys)
	return &Workspace{spec: spec, hash: spec.hash()}
}

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.spec.Name }

// Rank returns the priority of the workspace's requests, 0 being the highest; ok is false if that of
// the route applies.
func (w *Workspace) Rank() (rank int, ok bool) { return w.spec.Rank, w.spec.HasRank }

// Rate returns the quota in requests per second over all nodes, 0 for no limit.
func (w *Workspace) Rate() int { return w.spec.Rate }

// Burst returns the number of requests by which the workspace may exceed its rate at once.
func (w *Workspace) Burst() int { return w.spec.Burst }

// KeyCount returns the number of the workspace's API keys.
func (w *Workspace) KeyCount() int { return len(w.spec.Keys) }

// workspaces indexes the workspaces of a snapshot.
type workspaces struct {
	byName map[string]*Workspace
	byKey  map[KeyDigest]*Workspace
	// sorted holds the workspaces sorted by name.
	sorted []*Workspace
	// hashSum is the sum of the workspaces' hashes.
	hashSum uint64
}

// next returns the index of the given workspaces, sharing unchanged ones with w.
func (w *workspaces) next(specs []WorkspaceSpec) *workspaces {
	n := &workspaces{byName: make(map[string]*Workspace, len(specs)), byKey: make(map[KeyDigest]*Workspace, 2*len(specs))}
	changed := len(specs) != len(w.byName)
	for _, spec := range specs {
		held := w.byName[spec.Name]
		workspace := held
		if held == nil || !held.spec.equal(spec) {
			workspace = newWorkspace(spec)
		}
		switch {
		case workspace == held:
		case held != nil && held.spec.equal(workspace.spec):
			workspace = held // its keys were listed in another order
		default:
			changed = true
		}
		n.byName[spec.Name] = workspace
	}
	if !changed && len(n.byName) == len(specs) {
		return w
	}
	n.sorted = slices.SortedFunc(maps.Values(n.byName), func(a, b *Workspace) int { return cmp.Compare(a.Name(), b.Name()) })
	for _, workspace := range n.sorted {
		n.hashSum += workspace.hash
		for _, key := range workspace.spec.Keys {
			n.byKey[key] = workspace
		}
	}
	return n
}

// specs returns the workspaces in their encoded form, sorted by name; nil if there are none.
func (w *workspaces) specs() []WorkspaceSpec {
	var all []WorkspaceSpec
	for _, workspace := range w.sorted {
		all = append(all, workspace.spec)
	}
	return all
}

// KeysRequired reports whether requests of routes that are not public need an API key.
func (s *Snapshot) KeysRequired() bool { return s.keysRequired }

// WorkspaceOf returns the workspace that holds an API key, nil if there is none.
func (s *Snapshot) WorkspaceOf(key KeyDigest) *Workspace { return s.workspaces.byKey[key] }

// Workspace returns the workspace with a name, nil if there is none.
func (s *Snapshot) Workspace(name string) *Workspace { return s.workspaces.byName[name] }

// WorkspaceCount returns the number of workspaces.
func (s *Snapshot) WorkspaceCount() int { return len(s.workspaces.byName) }

// Workspaces returns the workspaces, sorted by name; callers must not modify the list.
func (s *Snapshot) Workspaces() []*Workspace { return s.workspaces.sorted }

// diffWorkspaces returns the new and changed workspaces and the names of the removed ones, sorted.
func diffWorkspaces(from, to *workspaces) (set []WorkspaceSpec, dropped []string) {
	if from == to {
		return nil, nil
	}
	for _, spec := range to.specs() {
		if held := from.byName[spec.Name]; held == nil || !held.spec.equal(spec) {
			set = append(set, spec)
		}
	}
	for name := range from.byName {
		if to.byName[name] == nil {
			dropped = append(dropped, name)
		}
	}
	slices.Sort(dropped)
	return set, dropped
}

// merge returns the workspaces of w with the changes of a delta.
func (w *workspaces) merge(set []WorkspaceSpec, dropped []string) []WorkspaceSpec {
	if len(set) == 0 && len(dropped) == 0 {
		return w.specs()
	}
	changed := make(map[string]bool, len(set)+len(dropped))
	for _, name := range dropped {
		changed[name] = true
	}
	for _, spec := range set {
		changed[spec.Name] = true
	}
	merged := slices.DeleteFunc(w.specs(), func(spec WorkspaceSpec) bool { return changed[spec.Name] })
	return append(merged, set...)
}
