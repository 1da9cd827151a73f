package bfcommand

import (
	"fmt"
	"net/netip"
	"time"

	"bilberryflow.org/bfnode/internal/bfmesh"
	"bilberryflow.org/lib/bfcontrol"
	"bilberryflow.org/lib/bfoperator"
	"bilberryflow.org/lib/bfresource"
	"bilberryflow.org/lib/bfsettings"
)

// Settings are the settings of a node.
type Settings struct {
	Instance      string               `json:"instance" jsonschema:"minLength=1,maxLength=64,pattern=^[a-z0-9]([a-z0-9-]*[a-z0-9])?$,description=Name of the instance; no two of the fleet share one."`
	Region        string               `json:"region" jsonschema:"minLength=1,maxLength=64,description=Region of the instance."`
	FailureDomain string               `json:"failureDomain" jsonschema:"minLength=1,maxLength=64,description=Failure domain of the instance."`
	Service       string               `json:"service,omitempty" jsonschema:"maxLength=64,description=Service whose target runs beside the node; empty for none."`
	Listen        Listen               `json:"listen" jsonschema:"description=Ports."`
	Platform      Platform             `json:"platform" jsonschema:"description=The platform's table service and object store."`
	Seeds         []string             `json:"seeds,omitempty" jsonschema:"description=Peer addresses of nodes to find the fleet by\\, beside the meeting rows in the table."`
	Profile       string               `json:"profile,omitempty" jsonschema:"enum=convergence,enum=bytes,description=What control weighs more: convergence time or control bytes."`
	Requests      Requests             `json:"requests,omitempty" jsonschema:"description=Limits of requests."`
	Operators     []bfoperator.Token   `json:"operators,omitempty" jsonschema:"description=Who may send commands."`
	Certificate   string               `json:"certificate,omitempty" jsonschema:"description=File of the operators' port's certificate; with it and its key the port runs TLS."`
	Key           string               `json:"key,omitempty" jsonschema:"description=File of the certificate's key."`
	SnapshotEvery int                  `json:"snapshotEvery,omitempty" jsonschema:"minimum=1,maximum=1000000,description=Versions between two snapshots in the object store."`
	StopTimeout   bfsettings.Duration  `json:"stopTimeout,omitempty" jsonschema:"description=Bound of a graceful stop."`
	Machine       bfresource.Machine   `json:"machine,omitempty" jsonschema:"description=What the machine offers the process."`
	Clients       bfresource.Clients   `json:"clients,omitempty" jsonschema:"description=Limits of what the process holds for clients."`
	Mesh          *bfmesh.MeshSettings `json:"mesh,omitempty" jsonschema:"description=Set where the platform keeps the configuration in its own form; operators then change it there and not by bfctl."`
}

// Listen holds the addresses of the node's ports; port number 0 selects a free one.
type Listen struct {
	Caller   string `json:"caller" jsonschema:"minLength=1,description=Port for callers."`
	Inbound  string `json:"inbound" jsonschema:"minLength=1,description=Port for requests from other nodes."`
	Operator string `json:"operator" jsonschema:"minLength=1,description=Port for operators and metrics."`
	Target   string `json:"target" jsonschema:"minLength=1,description=Port on which the target announces itself."`
	Peer     string `json:"peer" jsonschema:"minLength=1,description=Port for the control plane\\, UDP and TCP; it must be an IP address with a number above 0."`
}

// Platform holds the address of the platform and the time limit of a call to it.
type Platform struct {
	Address string              `json:"address" jsonschema:"minLength=1,description=Base URL."`
	Timeout bfsettings.Duration `json:"timeout,omitempty" jsonschema:"description=Bound of one call."`
}

// Requests holds the limits of requests.
type Requests struct {
	MaxBody     int64               `json:"maxBody,omitempty" jsonschema:"minimum=1,maximum=67108864,description=Largest body of a caller's request in bytes."`
	BodyTimeout bfsettings.Duration `json:"bodyTimeout,omitempty" jsonschema:"description=Time in which a caller must have sent its body."`
	Protocol    string              `json:"protocol,omitempty" jsonschema:"enum=http1,enum=http2,description=How requests between nodes share connections."`
}

// Names of the control plane's profiles.
const (
	profileConvergence = "convergence"
	profileBytes       = "bytes"
)

// Defaults returns the settings that apply where the file sets none.
func Defaults() Settings {
	return Settings{
		Profile:       profileConvergence,
		Platform:      Platform{Timeout: bfsettings.Duration(2 * time.Second)},
		Requests:      Requests{MaxBody: 1 << 20, BodyTimeout: bfsettings.Duration(10 * time.Second), Protocol: "http1"},
		SnapshotEvery: 100,
		StopTimeout:   bfsettings.Duration(30 * time.Second),
	}
}

// Example returns settings with every field set.
func Example() Settings {
	s := Defaults()
	s.Instance, s.Region, s.FailureDomain, s.Service = "wien-nord-1", "vienna", "wien-nord", "portal-core"
	s.Listen = Listen{
		Caller: "127.0.0.1:7800", Inbound: "127.0.0.1:7801", Operator: "127.0.0.1:7802",
		Target: "127.0.0.1:7804", Peer: "127.0.0.1:7803",
	}
	s.Platform.Address = "http://127.0.0.1:7900"
	s.Seeds = []string{"127.0.0.1:7813"}
	s.Operators = []bfoperator.Token{{Name: "anna", Secret: "change-this-secret"}}
	s.Machine = bfresource.Machine{MemoryMB: 284, Descriptors: 4100}
	s.Clients = bfresource.Clients{MemoryShare: 0.4, ConnectionShare: 0.5, BodyRate: 16384, BodyPause: bfsettings.Duration(500 * time.Millisecond), AnswerPause: bfsettings.Duration(2 * time.Second)}
	mesh := bfmesh.Example()
	s.Mesh = &mesh
	return s
}

// Check validates what the schema can't express. It returns a *bfsettings.FieldError
// for the first invalid field.
func Check(s Settings) error {
	peer, err := netip.ParseAddrPort(s.Listen.Peer)
	if err != nil || peer.Port() == 0 {
		return &bfsettings.FieldError{Field: "/listen/peer", Value: fmt.Sprintf("%q", s.Listen.Peer), Allowed: "an IP address and a port above 0"}
	}
	for i, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return &bfsettings.FieldError{Field: fmt.Sprintf("/seeds/%d", i), Value: fmt.Sprintf("%q", seed), Allowed: "an IP address and a port"}
		}
	}
	if s.Mesh != nil {
		if err := s.Mesh.Check(); err != nil {
			return err
		}
	}
	if (s.Certificate == "") != (s.Key == "") {
		return &bfsettings.FieldError{Field: "/certificate", Value: fmt.Sprintf("%q", s.Certificate), Allowed: "both certificate and key, or neither"}
	}
	return s.Mesh.CheckQuotas()
}

// limits returns the limits of what the process holds for clients.
func (s Settings) limits() bfresource.Limits { return bfresource.NewLimits(s.Machine, s.Clients) }

// commonSettings returns the settings that bfmesh shares with other nodes.
func (s Settings) commonSettings() bfmesh.CommonSettings {
	return bfmesh.CommonSettings{
		Instance: s.Instance, Region: s.Region, FailureDomain: s.FailureDomain, Service: s.Service,
		Caller: s.Listen.Caller, Inbound: s.Listen.Inbound, Operator: s.Listen.Operator,
		Target: s.Listen.Target, Peer: s.Listen.Peer, PlatformAddress: s.Platform.Address, Limits: s.limits(),
	}
}

func (s Settings) profile() bfcontrol.Profile {
	if s.Profile == profileBytes {
		return bfcontrol.LowTrafficProfile()
	}
	return bfcontrol.FastConvergenceProfile()
}
