package bfmesh

import (
	"time"

	"bilberryflow.org/lib/bfretry"
	"bilberryflow.org/lib/bfsettings"
)

// Mesh is the part of a node's settings that only such a node has.
type Mesh struct {
	Ready   string              `json:"ready" jsonschema:"minLength=1,description=Port on which the platform asks whether the node takes callers."`
	Grace   bfsettings.Duration `json:"grace" jsonschema:"description=Time from SIGTERM to SIGKILL."`
	Repeats Repeats             `json:"repeats" jsonschema:"description=Bound of the repeats that all nodes together send to a service."`
}

// Repeats bound what all nodes together send again to one service.
type Repeats struct {
	Ratio  float64             `json:"ratio" jsonschema:"minimum=0,maximum=10,description=Repeats for each request."`
	Slack  float64             `json:"slack" jsonschema:"minimum=0,maximum=1000000,description=Repeats beside the ratio in a window."`
	Window bfsettings.Duration `json:"window" jsonschema:"description=Span in which both are counted."`
}

func (r Repeats) terms() bfretry.Terms {
	return bfretry.Terms{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Std()}
}

// Node is what such a node takes from the settings that all nodes have.
type Node struct {
	Instance, FailureDomain, Service                         string
	Caller, Inbound, Operator, Target, Peer, PlatformAddress string
}

// Example shows every field.
func Example() Mesh {
	return Mesh{
		Ready: "127.0.0.1:7805", Grace: bfsettings.Duration(6 * time.Second),
		Repeats: Repeats{Ratio: 0.2, Slack: 64, Window: bfsettings.Duration(10 * time.Second)},
	}
}
