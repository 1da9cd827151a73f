package bffleet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

// MeshSettings are those of a node whose configuration the platform keeps.
type MeshSettings struct {
	Instance      string            `json:"instance"`
	Region        string            `json:"region"`
	FailureDomain string            `json:"failureDomain"`
	Service       string            `json:"service"`
	Listen        NodePorts         `json:"listen"`
	Platform      map[string]string `json:"platform"`
	Mesh          map[string]any    `json:"mesh"`
}

// MeshNode is one bfnode whose configuration the platform keeps.
type MeshNode struct {
	settings MeshSettings
	file     string
	process  atomic.Pointer[Process]
}

// Process is the node's present process.
func (n *MeshNode) Process() *Process { return n.process.Load() }

// Settings are what the node was started with.
func (n *MeshNode) Settings() MeshSettings { return n.settings }

// Ready is where the node is asked whether it takes callers.
func (n *MeshNode) Ready() string { return n.settings.Mesh["ready"].(string) }

// StartMeshNode starts a node that reaches the store at an address; ports are filled in.
func (f *Fleet) StartMeshNode(settings MeshSettings, store string) (*MeshNode, error) {
	settings.Region = "trial"
	settings.Listen = NodePorts{
		Caller: f.ports.next(), Inbound: f.ports.next(), Operator: f.ports.next(),
		Target: f.ports.next(), Peer: f.ports.next(),
	}
	settings.Platform = map[string]string{"address": store}
	settings.Mesh = map[string]any{
		"ready": f.ports.next(), "grace": "6s", "linkMbps": 1000,
		"repeats": map[string]any{"ratio": 0.2, "slack": 60, "window": "10s"},
	}
	file, err := f.writeSettings(settings.Instance, settings)
	if err != nil {
		return nil, err
	}
	node := &MeshNode{settings: settings, file: file}
	return node, f.RestartMeshNode(node)
}

// RestartMeshNode starts a node's process, with the settings it had before.
func (f *Fleet) RestartMeshNode(node *MeshNode) error {
	process, err := f.startProcess("bfnode", node.settings.Instance, node.file)
	if err != nil {
		return err
	}
	node.process.Store(process)
	f.adopt(process)
	return nil
}

// StoreAddress is where the stand-in platform's store listens.
func (f *Fleet) StoreAddress() string { return f.platformAddress }

// Operate writes a configuration as the platform's operators do.
func (f *Fleet) Operate(configuration []byte) error { return f.operate(http.MethodPut, configuration) }

// DropHistory has the stand-in store forget its changes.
func (f *Fleet) DropHistory() error { return f.operate(http.MethodDelete, nil) }

func (f *Fleet) operate(method string, body []byte) error {
	request, err := http.NewRequest(method, f.Platform()+"/configuration", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusNoContent {
		err = fmt.Errorf("platform answered %s of the configuration with %d: %s", method, response.StatusCode, answer)
	}
	return err
}
