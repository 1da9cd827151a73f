package bffault

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Mode is a way in which the platform fails.
type Mode string

// The modes, each a failure seen on the real platform.
const (
	// Down refuses every call without any effect.
	Down Mode = "down"
	// Silent accepts calls and never responds; they have no effect.
	Silent Mode = "silent"
	// Slow delays the effect and the response.
	Slow Mode = "slow"
	// LoseAnswers applies writes and closes the connection without a response.
	LoseAnswers Mode = "lose-answers"
	// LateWrites closes the connection at once and applies the write after Delay.
	LateWrites Mode = "late-writes"
)

// Spec turns a fault on for a time.
type Spec struct {
	Mode Mode `json:"mode"`
	// For is the duration of the fault, in the format of time.ParseDuration.
	For string `json:"for"`
	// Delay delays a response or a write, in the format of time.ParseDuration.
	Delay string `json:"delay,omitempty"`
	// Percent is the percentage of affected calls; 0 means all.
	Percent int `json:"percent,omitempty"`
	// Key restricts the fault to writes of rows whose key has this prefix; empty means
	// every call.
	Key string `json:"key,omitempty"`
}

// SpecError reports an invalid field of a Spec.
type SpecError struct {
	Field   string
	Value   string
	Allowed string
}

// Error returns the field, its value and the allowed values.
func (e *SpecError) Error() string {
	return fmt.Sprintf("fault field %s: value %q: allowed: %s", e.Field, e.Value, e.Allowed)
}

type activeFault struct {
	mode    Mode
	until   time.Time
	delay   time.Duration
	percent int
	key     string
}

// matches reports whether the fault applies to a call that writes the rows of keys.
func (a activeFault) matches(keys []string) bool {
	starts := func(key string) bool { return strings.HasPrefix(key, a.key) }
	return a.key == "" || slices.ContainsFunc(keys, starts)
}

// Injector holds the active faults.
type Injector struct {
	mu     sync.Mutex
	faults []activeFault
	rand   *rand.Rand
}

// New returns an injector without faults; seed seeds the choice of affected calls.
func New(seed uint64) *Injector {
	return &Injector{rand: rand.New(rand.NewPCG(seed, seed))}
}

// Add turns a fault on until its duration after now. It returns a *SpecError for an
// invalid spec.
func (in *Injector) Add(now time.Time, spec Spec) error {
	fault, err := parse(now, spec)
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faults = append(in.faults, fault)
	return nil
}

func parse(now time.Time, spec Spec) (activeFault, error) {
	switch spec.Mode {
	case Down, Silent, Slow, LoseAnswers, LateWrites:
	default:
		return activeFault{}, &SpecError{"mode", string(spec.Mode), "down, silent, slow, lose-answers, late-writes"}
	}
	duration, err := time.ParseDuration(spec.For)
	if err != nil || duration <= 0 {
		return activeFault{}, &SpecError{"for", spec.For, "a duration above 0"}
	}
	var delay time.Duration
	if spec.Delay != "" {
		if delay, err = time.ParseDuration(spec.Delay); err != nil || delay < 0 {
			return activeFault{}, &SpecError{"delay", spec.Delay, "a duration"}
		}
	}
	if spec.Percent < 0 || spec.Percent > 100 {
		return activeFault{}, &SpecError{"percent", fmt.Sprint(spec.Percent), "0 to 100"}
	}
	if spec.Percent == 0 {
		spec.Percent = 100
	}
	return activeFault{spec.Mode, now.Add(duration), delay, spec.Percent, spec.Key}, nil
}

// Clear turns off every fault.
func (in *Injector) Clear() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faults = nil
}

// Effect is the combined effect of the active faults on one call.
type Effect struct {
	// Refuse responds that the call was not run.
	Refuse bool
	// Hang never responds and runs nothing.
	Hang bool
	// Delay precedes the call's effect and its response.
	Delay time.Duration
	// Cut closes the connection instead of responding.
	Cut bool
	// Late closes the connection at once and runs the call after Delay.
	Late bool
}

// EffectOn returns the effect on a call at a time; write reports whether the call
// changes anything, keys are the rows that it writes.
func (in *Injector) EffectOn(now time.Time, write bool, keys ...string) Effect {
	in.mu.Lock()
	defer in.mu.Unlock()
	var effect Effect
	active := in.faults[:0]
	for _, fault := range in.faults {
		if now.After(fault.until) {
			continue
		}
		active = append(active, fault)
		if fault.matches(keys) && in.rand.IntN(100) < fault.percent {
			effect.add(fault, write)
		}
	}
	in.faults = active
	return effect
}

func (e *Effect) add(fault activeFault, write bool) {
	switch fault.mode {
	case Down:
		e.Refuse = true
	case Silent:
		e.Hang = true
	case Slow:
		e.Delay += fault.delay
	case LoseAnswers:
		e.Cut = e.Cut || write
	case LateWrites:
		if write {
			e.Late = true
			e.Delay += fault.delay
		}
	}
}
