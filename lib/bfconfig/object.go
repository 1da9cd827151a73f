package bfconfig

import (
	"time"
)

// Version is a place in the one total order of configurations; 0 is the empty one.
type Version uint64

// Kind is what an object is.
type Kind string

// The kinds of objects.
const (
	KindEvent   Kind = "event"
	KindService Kind = "service"
	KindRoute   Kind = "route"
	KindPolicy  Kind = "policy"
)

// Kinds lists every kind in the order in which pages show them.
func Kinds() []Kind { return []Kind{KindEvent, KindService, KindRoute, KindPolicy} }

// Ref names one object.
type Ref struct {
	Kind Kind   `json:"kind" cbor:"1,keyasint"`
	Name string `json:"name" cbor:"2,keyasint"`
}

// String is the form of operators' commands.
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }

// Object is the sealed set of configuration objects: ServiceSpec, RouteSpec, PolicySpec and EventSpec.
//
// A spec is a message: it is what operators write and what travels. Values of
// specs inside a State are never changed.
type Object interface {
	// Ref is the object's kind and name.
	Ref() Ref
	// references lists what must exist for this object to be valid.
	references() []Ref
	// check validates the object by itself.
	check() error
}

// References lists what must exist for object to be valid.
func References(object Object) []Ref { return object.references() }

// ServiceSpec is a set of target instances that answer the same requests.
type ServiceSpec struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Slots is how many requests one target runs at once, where the target announces no number.
	Slots int `json:"slots,omitempty" cbor:"2,keyasint,omitempty"`
	// ColdStart is how long a new target takes to reach its full rate.
	ColdStart time.Duration `json:"coldStart,omitempty" cbor:"3,keyasint,omitempty"`
}

// RouteSpec sends requests by method and path prefix to a service under a policy.
type RouteSpec struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Prefix is matched on whole path segments; the longest prefix wins.
	Prefix string `json:"prefix" cbor:"2,keyasint"`
	// Methods are the HTTP methods of the route; none means every method.
	Methods []string `json:"methods,omitempty" cbor:"3,keyasint,omitempty"`
	Service string   `json:"service" cbor:"4,keyasint"`
	Policy  string   `json:"policy" cbor:"5,keyasint"`
}

// PolicySpec says how one class of request may be treated.
type PolicySpec struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Class labels the requests in admission and metrics.
	Class string `json:"class" cbor:"2,keyasint"`
	// Idempotent requests may be sent again; all others run at most once.
	Idempotent bool `json:"idempotent,omitempty" cbor:"3,keyasint,omitempty"`
	// Deadline bounds a request that brings none, and caps one that does.
	Deadline time.Duration `json:"deadline" cbor:"4,keyasint"`
	// Priority orders classes at a full target: the higher one goes first.
	Priority int `json:"priority,omitempty" cbor:"5,keyasint,omitempty"`
	// Queue is how many requests of the class may wait at one target.
	Queue int `json:"queue,omitempty" cbor:"6,keyasint,omitempty"`
	// Concurrency caps the class's slots at one target; 0 means no cap.
	Concurrency int `json:"concurrency,omitempty" cbor:"7,keyasint,omitempty"`
	// RetryPercent is the share of recent successes that may be retried.
	RetryPercent int `json:"retryPercent,omitempty" cbor:"8,keyasint,omitempty"`
	// TenantLimit caps one tenant's slots at one target; 0 means no cap.
	TenantLimit int `json:"tenantLimit,omitempty" cbor:"9,keyasint,omitempty"`
	// DurableKeys has callers' idempotency keys claimed in the table, so that they hold across instances.
	DurableKeys bool `json:"durableKeys,omitempty" cbor:"10,keyasint,omitempty"`
}

// EventSpec changes the policies of routes between a fixed start and end.
type EventSpec struct {
	Name  string    `json:"name" cbor:"1,keyasint"`
	Start time.Time `json:"start" cbor:"2,keyasint"`
	End   time.Time `json:"end" cbor:"3,keyasint"`
	// WarmUp is how long before the start nodes open connections to the services of its routes.
	WarmUp    time.Duration `json:"warmUp,omitempty" cbor:"4,keyasint,omitempty"`
	Overrides []Override    `json:"overrides,omitempty" cbor:"5,keyasint,omitempty"`
}

// Override puts a route under another policy while its event lasts.
type Override struct {
	Route  string `json:"route" cbor:"1,keyasint"`
	Policy string `json:"policy" cbor:"2,keyasint"`
}

// Ref is the service's kind and name.
func (s ServiceSpec) Ref() Ref { return Ref{KindService, s.Name} }

// Ref is the route's kind and name.
func (s RouteSpec) Ref() Ref { return Ref{KindRoute, s.Name} }

// Ref is the policy's kind and name.
func (s PolicySpec) Ref() Ref { return Ref{KindPolicy, s.Name} }

// Ref is the event's kind and name.
func (s EventSpec) Ref() Ref { return Ref{KindEvent, s.Name} }

func (s ServiceSpec) references() []Ref { return nil }

func (s RouteSpec) references() []Ref {
	return []Ref{{KindService, s.Service}, {KindPolicy, s.Policy}}
}

func (s PolicySpec) references() []Ref { return nil }

func (s EventSpec) references() []Ref {
	refs := make([]Ref, 0, 2*len(s.Overrides))
	for _, o := range s.Overrides {
		refs = append(refs, Ref{KindRoute, o.Route}, Ref{KindPolicy, o.Policy})
	}
	return refs
}
