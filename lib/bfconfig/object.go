package bfconfig

import (
	"time"
)

// Version is the sequence number of a configuration; versions are totally
// ordered, and version 0 is the empty configuration.
type Version uint64

// Kind is the type of a configuration object.
type Kind string

// The kinds of objects.
const (
	KindEvent   Kind = "event"
	KindService Kind = "service"
	KindRoute   Kind = "route"
	KindPolicy  Kind = "policy"
)

// Kinds returns all kinds in display order.
func Kinds() []Kind { return []Kind{KindEvent, KindService, KindRoute, KindPolicy} }

// Ref identifies an object by kind and name.
type Ref struct {
	Kind Kind   `json:"kind" cbor:"1,keyasint"`
	Name string `json:"name" cbor:"2,keyasint"`
}

// String returns the form used in operators' commands, such as "route home".
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }

// Object is a configuration object: ServiceSpec, RouteSpec, PolicySpec or EventSpec.
//
// Specs are the format that operators write and that nodes exchange. Specs
// inside a State must not be modified.
type Object interface {
	// Ref returns the object's kind and name.
	Ref() Ref
	// references lists the objects that must exist for this one to be valid.
	references() []Ref
	// check validates the object's own fields.
	check() error
}

// References lists the objects that must exist for object to be valid.
func References(object Object) []Ref { return object.references() }

// ServiceSpec describes a set of interchangeable target instances.
type ServiceSpec struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Slots is the number of concurrent requests per target, for targets that announce no number.
	Slots int `json:"slots,omitempty" cbor:"2,keyasint,omitempty"`
	// ColdStart is how long a newly started target takes to reach its full rate.
	ColdStart time.Duration `json:"coldStart,omitempty" cbor:"3,keyasint,omitempty"`
}

// RouteSpec routes requests by method and path prefix to a service and applies a policy.
type RouteSpec struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Prefix matches whole path segments; the longest matching prefix wins.
	Prefix string `json:"prefix" cbor:"2,keyasint"`
	// Methods lists the HTTP methods of the route; empty means every method.
	Methods []string `json:"methods,omitempty" cbor:"3,keyasint,omitempty"`
	Service string   `json:"service" cbor:"4,keyasint"`
	Policy  string   `json:"policy" cbor:"5,keyasint"`
}

// PolicySpec defines limits, retries and priority for a class of requests.
type PolicySpec struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Class identifies the requests in admission control and metrics.
	Class string `json:"class" cbor:"2,keyasint"`
	// Idempotent allows requests to be retried; all others run at most once.
	Idempotent bool `json:"idempotent,omitempty" cbor:"3,keyasint,omitempty"`
	// Deadline is the default and the maximum deadline of a request.
	Deadline time.Duration `json:"deadline" cbor:"4,keyasint"`
	// Priority orders classes at a saturated target; higher values go first.
	Priority int `json:"priority,omitempty" cbor:"5,keyasint,omitempty"`
	// Queue is the maximum number of requests of the class that wait at one target.
	Queue int `json:"queue,omitempty" cbor:"6,keyasint,omitempty"`
	// Concurrency is the maximum number of slots of the class at one target; 0 means no limit.
	Concurrency int `json:"concurrency,omitempty" cbor:"7,keyasint,omitempty"`
	// RetryPercent is the retry budget, as a percentage of recent successful requests.
	RetryPercent int `json:"retryPercent,omitempty" cbor:"8,keyasint,omitempty"`
	// TenantLimit is the maximum number of slots of one tenant at one target; 0 means no limit.
	TenantLimit int `json:"tenantLimit,omitempty" cbor:"9,keyasint,omitempty"`
	// DurableKeys stores claims of callers' idempotency keys in the table, so
	// that they are valid across instances.
	DurableKeys bool `json:"durableKeys,omitempty" cbor:"10,keyasint,omitempty"`
}

// EventSpec overrides the policies of routes between a start and an end time.
type EventSpec struct {
	Name  string    `json:"name" cbor:"1,keyasint"`
	Start time.Time `json:"start" cbor:"2,keyasint"`
	End   time.Time `json:"end" cbor:"3,keyasint"`
	// WarmUp is how long before the start nodes begin to open connections to the services of its routes.
	WarmUp    time.Duration `json:"warmUp,omitempty" cbor:"4,keyasint,omitempty"`
	Overrides []Override    `json:"overrides,omitempty" cbor:"5,keyasint,omitempty"`
}

// Override replaces the policy of a route during an event.
type Override struct {
	Route  string `json:"route" cbor:"1,keyasint"`
	Policy string `json:"policy" cbor:"2,keyasint"`
}

// Ref returns the service's kind and name.
func (s ServiceSpec) Ref() Ref { return Ref{KindService, s.Name} }

// Ref returns the route's kind and name.
func (s RouteSpec) Ref() Ref { return Ref{KindRoute, s.Name} }

// Ref returns the policy's kind and name.
func (s PolicySpec) Ref() Ref { return Ref{KindPolicy, s.Name} }

// Ref returns the event's kind and name.
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
