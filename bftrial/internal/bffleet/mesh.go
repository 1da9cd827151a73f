package bffleet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

// MeshSettings is the settings file of a bfnode whose configuration is stored on the platform.
type MeshSettings struct {
	Instance      string            `json:"instance"`
	Region        string            `json:"region"`
	FailureDomain string            `json:"failureDomain"`
	Service       string            `json:"service"`
	Listen        NodePorts         `json:"listen"`
	Platform      map[string]string `json:"platform"`
	Mesh          map[string]any    `json:"mesh"`
}

// MeshNode is one bfnode whose configuration is stored on the platform.
type MeshNode struct {
	settings MeshSettings
	file     string
	process  atomic.Pointer[Process]
}

// Process returns the node's current process.
func (n *MeshNode) Process() *Process { return n.process.Load() }

// Settings returns the settings that the node was started with.
func (n *MeshNode) Settings() MeshSettings { return n.settings }

// ReadyAddress returns the address of the node's readiness endpoint.
func (n *MeshNode) ReadyAddress() string { return n.settings.Mesh["ready"].(string) }

// StartMeshNode starts a node that connects to the store at an address; ports are filled in.
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

// RestartMeshNode starts a node's process again with its previous settings.
func (f *Fleet) RestartMeshNode(node *MeshNode) error {
	process, err := f.startProcess("bfnode", node.settings.Instance, node.file)
	if err != nil {
		return err
	}
	node.process.Store(process)
	f.addProcess(process)
	return nil
}

// StoreAddress returns the listen address of the stand-in platform's store.
func (f *Fleet) StoreAddress() string { return f.platformAddress }

// WriteConfiguration writes a configuration to the store, as the platform's operators do.
func (f *Fleet) WriteConfiguration(configuration []byte) error {
	return f.sendConfiguration(http.MethodPut, configuration)
}

// DropHistory deletes the change history of the stand-in store.
func (f *Fleet) DropHistory() error { return f.sendConfiguration(http.MethodDelete, nil) }

func (f *Fleet) sendConfiguration(method string, body []byte) error {
	request, err := http.NewRequest(method, f.PlatformURL()+"/configuration", bytes.NewReader(body))
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
		err = fmt.Errorf("%s of the configuration on the platform: unexpected status %d: %s", method, response.StatusCode, answer)
	}
	return err
}
