package bfmesh

import (
	"hash/fnv"
	"net"
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfsettings"
)

// Mesh is the part of a node's settings that only such a node has.
type Mesh struct {
	Ready      string              `json:"ready" jsonschema:"minLength=1,description=Port on which the platform asks whether the node takes callers."`
	Metrics    string              `json:"metrics,omitempty" jsonschema:"description=Port that shows /debug/vars beside the operator port, empty for none."`
	Grace      bfsettings.Duration `json:"grace" jsonschema:"description=Time from SIGTERM to SIGKILL."`
	LinkMbps   float64             `json:"linkMbps" jsonschema:"exclusiveMinimum=0,maximum=1000000,description=Bandwidth of the machine's link in Mbit/s."`
	Seeds      []string            `json:"seeds,omitempty" jsonschema:"description=Addresses of nodes that may be there; their hosts take calls on this node's own peer port."`
	FirstStart bool                `json:"firstStart,omitempty" jsonschema:"description=Whether the whole fleet starts for the first time: the store holds no member yet."`
	Repeats    Repeats             `json:"repeats" jsonschema:"description=Bound of the repeats that all nodes together send to a service."`
}

// Repeats bound what all nodes together send again to one service.
type Repeats struct {
	Ratio  float64             `json:"ratio" jsonschema:"minimum=0,maximum=10,description=Repeats for each request."`
	Slack  float64             `json:"slack" jsonschema:"minimum=0,maximum=1000000,description=Repeats beside the ratio in a window."`
	Window bfsettings.Duration `json:"window" jsonschema:"description=Span in which both are counted."`
}

const (
	// sendQueue is how long one connection's bytes may take to leave the machine:
	// a short answer behind those of three downloads is 60 ms late.
	sendQueue = 20 * time.Millisecond
	// leastBuffer and mostBuffer bound what follows from it: below, the way there
	// and back to another region would not be filled, and above, the system's own
	// buffers are as good.
	leastBuffer = 8 << 10
	mostBuffer  = 1 << 20
)

// linkBytes is how many bytes the link moves in a second.
func (m Mesh) linkBytes() float64 {
	const bytesOfMbit = 1e6 / 8
	return m.LinkMbps * bytesOfMbit
}

// sendBuffer is the bytes that may wait for one connection's peer.
func (m Mesh) sendBuffer() int {
	return int(min(max(m.linkBytes()*sendQueue.Seconds(), leastBuffer), mostBuffer))
}

// seedPeer is where a seed takes calls from nodes, "" where there is none: all nodes of a
// fleet have the same ports. Each node takes one of the seeds by its own address. With one
// seed for all, that one held 465 connections and 35 MB at 300 instances, twice as much
// as any other.
func (m Mesh) seedPeer(own string) string {
	if len(m.Seeds) == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(own)) // never fails
	host, _, errSeed := net.SplitHostPort(m.Seeds[int(h.Sum32()%uint32(len(m.Seeds)))])
	_, port, errOwn := net.SplitHostPort(own)
	if errSeed != nil || errOwn != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

func (r Repeats) terms() bfbudget.Terms {
	return bfbudget.Terms{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Std()}
}

// Node is what such a node takes from the settings that all nodes have.
type Node struct {
	Instance, Region, FailureDomain, Service                 string
	Caller, Inbound, Operator, Target, Peer, PlatformAddress string
}

// Example shows every field.
func Example() Mesh {
	return Mesh{
		Ready: "127.0.0.1:7805", Metrics: "127.0.0.1:7806", Grace: bfsettings.Duration(6 * time.Second), LinkMbps: 1000,
		Repeats: Repeats{Ratio: 0.2, Slack: 64, Window: bfsettings.Duration(10 * time.Second)},
	}
}
