package bfmesh

import (
	"hash/fnv"
	"net"
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfhedge"
	"bilberryflow.org/lib/bfresource"
	"bilberryflow.org/lib/bfsettings"
)

// MeshSettings are the settings that only such a node has.
type MeshSettings struct {
	Ready      string              `json:"ready" jsonschema:"minLength=1,description=Port on which the platform asks whether the node takes callers."`
	Metrics    string              `json:"metrics,omitempty" jsonschema:"description=Port that shows /debug/vars beside the operator port, empty for none."`
	Grace      bfsettings.Duration `json:"grace" jsonschema:"description=Time from SIGTERM to SIGKILL."`
	LinkMbps   float64             `json:"linkMbps" jsonschema:"exclusiveMinimum=0,maximum=1000000,description=Bandwidth of the machine's link in Mbit/s."`
	Seeds      []string            `json:"seeds,omitempty" jsonschema:"description=Addresses of nodes that may be there; their hosts take calls on this node's own peer port."`
	FirstStart bool                `json:"firstStart,omitempty" jsonschema:"description=Whether the whole fleet starts for the first time: the store holds no member yet."`
	Repeats    RetryBudget         `json:"repeats" jsonschema:"description=Bound of the repeats that all nodes together send to a service."`
	Rollouts   *RolloutTerms       `json:"rollouts,omitempty" jsonschema:"description=Limits of roll-outs; by default a share of 0.1 and no slack."`
	Revocation *Revocation         `json:"revocation,omitempty" jsonschema:"description=How soon an API key that was removed is refused; by default the version in force decides."`
	Quotas     *Quotas             `json:"quotas,omitempty" jsonschema:"description=Limits of the requests of workspaces; without it quotas of the configuration are not enforced."`
	LearnRoom  bool                `json:"learnRoom,omitempty" jsonschema:"description=Whether resets of connections lower the number of requests that a target gets; for targets that reset when they are full and else answer."`
	Hedging    *Hedging            `json:"hedging,omitempty" jsonschema:"description=Second copies of slow requests; off by default."`
}

// Revocation bounds how long a removed API key may be honoured.
type Revocation struct {
	Strict bool                `json:"strict" jsonschema:"description=Whether nodes that can't prove that their configuration is recent refuse API keys."`
	Within bfsettings.Duration `json:"within" jsonschema:"description=Time after the removal of a key from which requests sent with it must not run."`
}

// minWithin is the shortest time within which removed keys can be refused. Proofs are up to a second old
// in the calm, and about two when the store is slow.
const minWithin = time.Second

// Check validates what the schema can't express. It returns a *bfsettings.FieldError for the first
// invalid field.
func (m MeshSettings) Check() error {
	if r := m.Revocation; r != nil && r.Within.Std() < minWithin {
		return &bfsettings.FieldError{Field: "/mesh/revocation/within", Value: r.Within.Std().String(), Allowed: "at least " + minWithin.String()}
	}
	return nil
}

// Quotas are the tolerances of the workspaces' quotas over all nodes.
type Quotas struct {
	Window    bfsettings.Duration `json:"window" jsonschema:"description=Span in which requests are counted\\, 1s to 10m."`
	Overshoot float64             `json:"overshoot" jsonschema:"minimum=0,maximum=10,description=Share by which the quota of a window may be exceeded."`
	Slack     float64             `json:"slack" jsonschema:"minimum=0,maximum=1000000,description=Requests beside the quota in a window\\; below 7 workspaces without a burst may exceed it by 2."`
}

// Hedging bounds the second copies of requests.
type Hedging struct {
	Share float64 `json:"share" jsonschema:"minimum=0,maximum=1,description=Second copies for each request of a service; 0 for none."`
}

// RetryBudget bounds the retries that all nodes together send to one service.
type RetryBudget struct {
	Ratio  float64             `json:"ratio" jsonschema:"minimum=0,maximum=10,description=Repeats for each request."`
	Slack  float64             `json:"slack" jsonschema:"minimum=0,maximum=1000000,description=Repeats beside the ratio in a window."`
	Window bfsettings.Duration `json:"window" jsonschema:"description=Span in which both are counted."`
}

const (
	// maxSendDelay is how long one connection's queued bytes may take to leave the
	// machine. It bounds the delay of a short response behind concurrent downloads.
	maxSendDelay = 20 * time.Millisecond
	// minSendBuffer and maxSendBuffer bound the resulting buffer in bytes: a smaller one
	// doesn't fill the round trip to another region, a larger one gains nothing over the
	// system's own.
	minSendBuffer = 8 << 10
	maxSendBuffer = 1 << 20
)

// linkBytes returns the bandwidth of the link in bytes per second.
func (m MeshSettings) linkBytes() float64 {
	const bytesPerMbit = 1e6 / 8
	return m.LinkMbps * bytesPerMbit
}

// sendBuffer returns the size of a connection's send buffer in bytes.
func (m MeshSettings) sendBuffer() int {
	return int(min(max(m.linkBytes()*maxSendDelay.Seconds(), minSendBuffer), maxSendBuffer))
}

// seedPeer returns the peer address of a seed, "" where there is none; all nodes of a
// fleet use the same ports. The seed is chosen by a hash of the node's own address, so
// that no single seed receives the connections of all nodes.
func (m MeshSettings) seedPeer(own string) string {
	if len(m.Seeds) == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(own)) // hash.Hash.Write never returns an error
	host, _, errSeed := net.SplitHostPort(m.Seeds[int(h.Sum32()%uint32(len(m.Seeds)))])
	_, port, errOwn := net.SplitHostPort(own)
	if errSeed != nil || errOwn != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

func (r RetryBudget) terms() bfbudget.Terms {
	return bfbudget.Terms{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Std()}
}

// terms returns the limits of second copies, none if h is nil.
func (h *Hedging) terms() bfhedge.Terms {
	if h == nil {
		return bfhedge.Terms{}
	}
	return bfhedge.Terms{Share: h.Share}
}

// CommonSettings are the settings that every kind of node has.
type CommonSettings struct {
	Instance, Region, FailureDomain, Service                 string
	Caller, Inbound, Operator, Target, Peer, PlatformAddress string
	// Limits bound what the process holds for clients; the zero value bounds nothing.
	Limits bfresource.Limits
}

// Example returns settings with every required field set.
func Example() MeshSettings {
	return MeshSettings{
		Ready: "127.0.0.1:7805", Metrics: "127.0.0.1:7806", Grace: bfsettings.Duration(6 * time.Second), LinkMbps: 1000,
		Repeats: RetryBudget{Ratio: 0.2, Slack: 64, Window: bfsettings.Duration(10 * time.Second)}, Rollouts: &RolloutTerms{Share: 0.1, Slack: 50},
		Revocation: &Revocation{Strict: true, Within: bfsettings.Duration(5 * time.Second)},
		Quotas:     &Quotas{Window: bfsettings.Duration(5 * time.Second), Overshoot: 0.1, Slack: 20},
		Hedging:    &Hedging{Share: 0.05},
	}
}
