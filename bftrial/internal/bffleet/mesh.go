package bffleet

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"bilberryflow.org/platform/bfdialect"
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
	// Machine is what the node may use of its machine; nil means what the system reports.
	Machine map[string]any `json:"machine,omitempty"`
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

// IsReady asks the node once whether it takes callers.
func (n *MeshNode) IsReady(client *http.Client) bool {
	response, err := client.Get("http://" + n.ReadyAddress() + bfdialect.ReadyPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// StartMeshNode starts a node that connects to the store at an address; ports are filled in, and what Mesh doesn't set.
func (f *Fleet) StartMeshNode(settings MeshSettings, store string) (*MeshNode, error) {
	settings.Region = "trial"
	settings.Listen = NodePorts{
		Caller: f.ports.next(), Inbound: f.ports.next(), Operator: f.ports.next(),
		Target: f.ports.next(), Peer: f.ports.next(),
	}
	settings.Platform = map[string]string{"address": store}
	mesh := map[string]any{
		"ready": f.ports.next(), "grace": "6s", "linkMbps": 1000,
		"repeats":  map[string]any{"ratio": 0.2, "slack": 60, "window": "10s"},
		"rollouts": map[string]any{"share": 0.1, "slack": 50},
	}
	maps.Copy(mesh, settings.Mesh)
	settings.Mesh = mesh
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

// FreeAddress returns a loopback address that no other part of the fleet uses.
func (f *Fleet) FreeAddress() string { return f.ports.next() }

// StoreAddress returns the listen address of the stand-in platform's store.
func (f *Fleet) StoreAddress() string { return f.platformAddress }

// WriteConfiguration writes a configuration to the store, as the platform's operators do.
func (f *Fleet) WriteConfiguration(configuration []byte) error {
	return f.operate(http.MethodPut, "/configuration", configuration)
}

// RestoreStore replaces the stand-in store by a copy of an age.
func (f *Fleet) RestoreStore(age time.Duration) error {
	return f.operate(http.MethodPost, "/restore?age="+age.String(), nil)
}

// OrderRollout writes the order of a service's roll-out to the store, as the platform's operators do.
func (f *Fleet) OrderRollout(service string, order []byte) error {
	return f.operate(http.MethodPut, "/rollout/"+service, order)
}

// RolloutStatus returns the status of a service's roll-out, nothing if there is none.
func (f *Fleet) RolloutStatus(service string) ([]byte, error) {
	response, err := f.client.Get(f.PlatformURL() + "/rollout/" + service)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, nil
	}
	return io.ReadAll(response.Body)
}

// DropHistory deletes the change history of the stand-in store.
func (f *Fleet) DropHistory() error { return f.operate(http.MethodDelete, "/configuration", nil) }

// operate makes an operator's call to the stand-in store.
func (f *Fleet) operate(method, path string, body []byte) error {
	request, err := http.NewRequest(method, f.PlatformURL()+path, bytes.NewReader(body))
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
		err = fmt.Errorf("%s %s on the platform: unexpected status %d: %s", method, path, response.StatusCode, answer)
	}
	return err
}
