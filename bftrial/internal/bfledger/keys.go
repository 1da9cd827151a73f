package bfledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/platform/bfdialect"
)

// Names of the workspaces.
const (
	// Unlimited has one key, which stays valid, and no limit.
	Unlimited = "unlimited"
	// Small sends a few requests a second, below its limit.
	Small = "small"
	// Excessive sends several times its limit for a while.
	Excessive = "excessive"
	// Lowered has its limit lowered.
	Lowered = "lowered"
)

// keyPrefix begins every key and no other text, so that a key is found wherever it appears.
const keyPrefix = "soakkey-"

// Key is an API key. Its fields are protected by the ledger's mutex.
type Key struct {
	text, workspace string
	// added is when the store acknowledged the key, the zero time for a key of the first configuration.
	// removing is when its removal began, removed when that was acknowledged; both may be zero.
	added, removing, removed time.Time
	// never is set for a key that no configuration contains.
	never bool
}

// limit is a workspace's limit from a moment on.
type limit struct {
	from        time.Time
	rate, burst int
}

type workspace struct {
	name string
	// constant stays valid throughout; others are added and removed.
	constant *Key
	others   []*Key
	limits   []limit
}

// Ledger is the record of one soak. It is safe for concurrent use. A nil Ledger is that of a soak without
// workspaces: it has no keys and records nothing.
type Ledger struct {
	mu         sync.Mutex
	workspaces []*workspace
	keys       int
	sent       map[string]sent
	runs       []run
	started    map[string]bool
	violations []string
}

// New returns a ledger with the first workspaces and keys.
func New() *Ledger {
	l := &Ledger{sent: map[string]sent{}, started: map[string]bool{}}
	for _, w := range []struct {
		name        string
		rate, burst int
	}{{Unlimited, 0, 0}, {Small, 4, 4}, {Excessive, 20, 10}, {Lowered, 30, 10}} {
		added := &workspace{name: w.name, constant: l.newKey(w.name), limits: []limit{{rate: w.rate, burst: w.burst}}}
		if w.name != Unlimited {
			added.others = []*Key{l.newKey(w.name), l.newKey(w.name)}
		}
		l.workspaces = append(l.workspaces, added)
	}
	return l
}

func (l *Ledger) newKey(name string) *Key {
	l.keys++
	return &Key{text: fmt.Sprintf("%s%s-%d-%d", keyPrefix, name, l.keys, rand.Int64()), workspace: name}
}

// Settings returns what the nodes' settings have for the ledger's checks.
func (l *Ledger) Settings() map[string]any {
	if l == nil {
		return nil
	}
	return map[string]any{
		"revocation": map[string]any{"strict": true, "within": RevokeWithin.String()},
		"quotas":     map[string]any{"window": Window.String(), "overshoot": Overshoot, "slack": Slack},
	}
}

// AddTo adds the workspaces to a configuration and returns their keys.
func (l *Ledger) AddTo(spec *bftraffic.Spec) bfdialect.Keys {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	spec.KeysRequired = true
	keys := bfdialect.Keys{}
	for _, w := range l.workspaces {
		last := w.limits[len(w.limits)-1]
		spec.Workspaces = append(spec.Workspaces, bftraffic.WorkspaceSpec{Name: w.name, Rate: last.rate, Burst: last.burst})
		keys[w.name] = []string{w.constant.text}
		for _, k := range w.others {
			if k.removing.IsZero() {
				keys[w.name] = append(keys[w.name], k.text)
			}
		}
	}
	return keys
}

func (l *Ledger) find(name string) *workspace {
	return l.workspaces[slices.IndexFunc(l.workspaces, func(w *workspace) bool { return w.name == name })]
}

// Constant returns a workspace's key that stays valid.
func (l *Ledger) Constant(name string) *Key {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.find(name).constant
}

// recentKeys is how many keys that were added or removed last are sent. With a removal every 1.5 s some
// of them were removed longer than RevokeWithin ago.
const recentKeys = 7

// Draw returns a key to send for a workspace: mostly one that stays valid or was added or removed,
// rarely one that was never valid.
func (l *Ledger) Draw(name string) *Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.find(name)
	switch draw := rand.IntN(20); {
	case draw == 0:
		k := l.newKey(name)
		k.never = true
		return k
	case draw < 10:
		return w.constant
	default:
		recent := w.others[max(0, len(w.others)-recentKeys):]
		return recent[rand.IntN(len(recent))]
	}
}

// Rotate removes the oldest key of a workspace and adds a new one by a write to the store.
func (l *Ledger) Rotate(name string, write func() error) error {
	l.mu.Lock()
	w := l.find(name)
	oldest := w.others[slices.IndexFunc(w.others, func(k *Key) bool { return k.removing.IsZero() })]
	next := l.newKey(name)
	// A caller may use the new key at once; until its acknowledgement nothing is expected of it.
	next.added = time.Now().Add(time.Hour)
	oldest.removing = time.Now()
	w.others = append(w.others, next)
	l.mu.Unlock()
	err := write()
	l.mu.Lock()
	defer l.mu.Unlock()
	next.added = time.Now()
	oldest.removed = next.added
	return err
}

// Lower lowers the limit of Lowered by a write to the store.
func (l *Ledger) Lower(write func() error) error {
	l.mu.Lock()
	w := l.find(Lowered)
	w.limits = append(w.limits, limit{from: time.Now().Add(time.Hour), rate: 8, burst: 10})
	l.mu.Unlock()
	err := write()
	l.mu.Lock()
	defer l.mu.Unlock()
	w.limits[len(w.limits)-1].from = time.Now()
	return err
}
