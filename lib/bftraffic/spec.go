package bftraffic

import "time"

// Version orders configurations; it increases, but not necessarily by one.
type Version uint64

// Kind defines how the requests of a route may be treated.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Download requests are idempotent and have large responses.
	Download
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Download:
		return "download"
	}
	return "unknown"
}

// Repeatable reports whether a request of the kind may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// Spec is the encoded form of a complete configuration.
type Spec struct {
	Version  Version       `cbor:"1,keyasint"`
	Routes   []RouteSpec   `cbor:"2,keyasint"`
	Services []ServiceSpec `cbor:"3,keyasint"`
	Limits   Limits        `cbor:"4,keyasint"`
	// KeysRequired is set if requests of routes that are not public need an API key.
	KeysRequired bool            `cbor:"5,keyasint,omitempty"`
	Workspaces   []WorkspaceSpec `cbor:"6,keyasint,omitempty"`
}

// RouteSpec routes the requests of a host with a path prefix to services.
type RouteSpec struct {
	Name string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Prefix begins and ends with a slash.
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Timeout is the maximum duration of a request, including retries.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Objective is the response time within which an answer has its full value.
	Objective time.Duration `cbor:"6,keyasint"`
	// MaxAttempts is the maximum number of targets to which one request is sent.
	MaxAttempts int `cbor:"7,keyasint"`
	// Rank is the priority of the route at a saturated target; 0 is the highest.
	Rank int `cbor:"8,keyasint"`
	// Destinations are the services of the route, weighted by their share of requests.
	Destinations []Destination `cbor:"9,keyasint"`
	// Public is set if requests need no API key.
	Public bool `cbor:"10,keyasint,omitempty"`
}

// Destination is a service of a route and its weight.
type Destination struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// ServiceSpec describes a service that routes can refer to.
type ServiceSpec struct {
	Name string `cbor:"1,keyasint"`
	// MaxConns is the maximum number of connections that one target accepts from all nodes.
	MaxConns int `cbor:"2,keyasint"`
	// HealthPath is the path at which a target answers whether it accepts requests, "" if not known. It
	// has no part in the digest: nodes of releases without the field keep configurations without it.
	HealthPath string `cbor:"3,keyasint,omitempty"`
}

// Limits bound the size of a caller's request and the time to send it.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint"`
	MaxBodyBytes   int64         `cbor:"2,keyasint"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint"`
	IdleTimeout    time.Duration `cbor:"4,keyasint"`
}
