package bftraffic

import "time"

// Version orders configurations; versions grow in uneven steps.
type Version uint64

// Kind says how the requests of a route may be treated.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Download requests are idempotent and have large answers.
	Download
)

// String is the kind in a word.
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

// Spec is one whole configuration as a message.
type Spec struct {
	Version  Version       `cbor:"1,keyasint"`
	Routes   []RouteSpec   `cbor:"2,keyasint"`
	Services []ServiceSpec `cbor:"3,keyasint"`
	Limits   Limits        `cbor:"4,keyasint"`
}

// RouteSpec sends the requests of a host whose path begins with a prefix to services.
type RouteSpec struct {
	Name string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Prefix begins and ends with a slash.
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Objective is the time within which an answer has its full value.
	Objective time.Duration `cbor:"6,keyasint"`
	// MaxAttempts is the largest number of targets that one request is sent to.
	MaxAttempts int `cbor:"7,keyasint"`
	// Rank orders routes at a full target; 0 goes first.
	Rank int `cbor:"8,keyasint"`
	// Destinations share the route's requests by weight.
	Destinations []Destination `cbor:"9,keyasint"`
}

// Destination is one service of a route and its share of the requests.
type Destination struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// ServiceSpec describes a service that routes may name.
type ServiceSpec struct {
	Name string `cbor:"1,keyasint"`
	// MaxConns is how many connections one target accepts from all nodes.
	MaxConns int `cbor:"2,keyasint"`
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint"`
	MaxBodyBytes   int64         `cbor:"2,keyasint"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint"`
	IdleTimeout    time.Duration `cbor:"4,keyasint"`
}
