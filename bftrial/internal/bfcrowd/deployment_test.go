package bfcrowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/platform/bfdialect"
)

// The machine of a node: half of the memory and a quarter of the descriptors of the smallest machine that
// nodes are deployed on.
const (
	machineMemory      = 142_000_000 // bytes
	machineDescriptors = 1025
)

// machine is the machine as the settings state it.
var machine = map[string]any{"memoryMB": machineMemory / 1e6, "descriptors": machineDescriptors}

// binaries returns the directory of the programs.
func binaries(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	for _, program := range []string{"bfnode", "bfplatform", "bftarget", "bfctl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(directory, program), "./"+program)
		build.Dir = filepath.Join("..", "..", "..")
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("building %s: %v\n%s", program, err, out)
		}
	}
	return directory
}

// member is one node of a deployment.
type member struct {
	process *bffleet.Process
	listen  bffleet.NodePorts
	ready   string
	metrics string
	// descriptors is the highest number of descriptors seen.
	descriptors int
}

// deployment is an entry without a target, and two nodes with targets.
type deployment struct {
	t       *testing.T
	fleet   *bffleet.Fleet
	group   *bfgroup.Group
	members []*member
	// post sends an ordinary request to the entry and reports whether it was served.
	post func(ctx context.Context) bool
}

func (d *deployment) entry() *member  { return d.members[0] }
func (d *deployment) target() *member { return d.members[1] }

// newDeployment returns a deployment without nodes.
func newDeployment(t *testing.T, programs string) *deployment {
	t.Helper()
	fleet, err := bffleet.New(programs)
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{t: t, fleet: fleet, group: bfgroup.New(context.Background())}
	t.Cleanup(func() {
		d.group.Cancel()
		if t.Failed() {
			fleet.WriteLogs(tail{t})
		}
		if err := fleet.Close(); err != nil {
			t.Log(err)
		}
	})
	d.check(fleet.StartPlatform(bffleet.PlatformSettings{}))
	return d
}

// tail logs the end of what is written to it at once.
type tail struct{ t *testing.T }

// Write logs the last lines of p.
func (l tail) Write(p []byte) (int, error) {
	const most = 4 << 10
	l.t.Logf("%s", p[max(0, len(p)-most):])
	return len(p), nil
}

func (d *deployment) check(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

const (
	service   = "vault"
	host      = "mesh.example"
	takePath  = "/take/"
	fetchPath = "/fetch/"
	slots     = 8
	// requestTimeout is that of the routes: it is longer than a test.
	requestTimeout = time.Minute
	// fetchBytes is the size of the answers under fetchPath.
	fetchBytes = 8 << 20
)

// startMesh starts nodes whose configuration the platform keeps.
func startMesh(t *testing.T, programs string) *deployment {
	d := newDeployment(t, programs)
	for i, name := range []string{"entry", "n1", "n2"} {
		settings := bffleet.MeshSettings{
			Instance: name, FailureDomain: "zone-1", Service: service, Machine: machine,
			Mesh: map[string]any{"metrics": d.fleet.FreeAddress()},
		}
		if i == 0 {
			settings.Service = "front"
		}
		node, err := d.fleet.StartMeshNode(settings, d.fleet.StoreAddress())
		d.check(err)
		settings = node.Settings()
		d.members = append(d.members, &member{
			process: node.Process(), listen: settings.Listen, ready: node.ReadyAddress(), metrics: settings.Mesh["metrics"].(string),
		})
		if i > 0 {
			d.startTarget(name, settings.Listen.Target)
		}
	}
	configuration, err := bfdialect.EncodeConfiguration(spec())
	d.check(err)
	d.check(d.fleet.WriteConfiguration(configuration))
	d.post = d.postToMesh
	d.watch()
	d.awaitServed("before the crowd")
	return d
}

func spec() bftraffic.Spec {
	destinations := []bftraffic.Destination{{Service: service, Weight: 1}}
	route := func(prefix string, kind bftraffic.Kind) bftraffic.RouteSpec {
		return bftraffic.RouteSpec{
			Name: prefix, Host: host, Prefix: prefix, Kind: kind, Timeout: requestTimeout, Objective: time.Second, MaxAttempts: 2, Destinations: destinations,
		}
	}
	return bftraffic.Spec{
		Version:  1,
		Services: []bftraffic.ServiceSpec{{Name: service, MaxConns: 130, HealthPath: "/healthz"}},
		Routes:   []bftraffic.RouteSpec{route(takePath, bftraffic.NonIdempotent), route(fetchPath, bftraffic.Download)},
		Limits:   bftraffic.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: requestTimeout},
	}
}

// startTarget starts a target that reads each request to its end before it answers, and its heartbeats.
func (d *deployment) startTarget(name, reports string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	d.check(err)
	server := &http.Server{Handler: http.HandlerFunc(serveTarget)}
	d.t.Cleanup(func() { server.Close() })
	d.group.Go("target", func(context.Context) error {
		_ = server.Serve(listener)
		return nil
	})
	sender := bfdialect.ReportSender{NodeAddress: reports, Client: &http.Client{Timeout: time.Second}}
	d.group.Go("heartbeats", func(ctx context.Context) error {
		for sequence := int64(1); ctx.Err() == nil; sequence++ {
			_ = sender.SendHeartbeat(ctx, bflifecycle.Heartbeat{
				Incarnation: "i-" + name, Sequence: sequence, Service: service, Address: listener.Addr().String(), Slots: slots, State: bflifecycle.Ready,
			})
			time.Sleep(300 * time.Millisecond)
		}
		return nil
	})
}

func serveTarget(w http.ResponseWriter, r *http.Request) {
	names := bfdialect.Headers()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler) // not run
	}
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Target, r.Header.Get(names.ExpectTarget))
	w.Header().Set(bfdialect.SignatureHeader, "of "+id)
	if strings.HasPrefix(r.URL.Path, fetchPath) {
		w.Header().Set("Content-Length", strconv.Itoa(fetchBytes))
		_, _ = w.Write(make([]byte, fetchBytes))
	}
}

var requestIDs atomic.Int64

// head returns the request line and the headers that a request of a caller needs.
func head(method, path string) string {
	return fmt.Sprintf("%s %sx HTTP/1.1\r\nHost: %s\r\n%s: r%d\r\n%s: %d\r\n",
		method, path, host, bfdialect.Headers().RequestID, requestIDs.Add(1), bfdialect.Headers().Deadline, requestTimeout.Milliseconds())
}

// ordinaryBytes is the size of an ordinary request's body.
const ordinaryBytes = 1000

func (d *deployment) postToMesh(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.entry().listen.Caller+takePath+"x", strings.NewReader(strings.Repeat("x", ordinaryBytes)))
	d.check(err)
	request.Host = host
	id := fmt.Sprintf("ordinary-%d", requestIDs.Add(1))
	request.Header.Set(bfdialect.Headers().RequestID, id)
	request.Header.Set(bfdialect.Headers().Deadline, "5000")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && response.Header.Get(bfdialect.SignatureHeader) == "of "+id
}

// awaitServed sends ordinary requests until one is served. The crowd stays for longer than the limit.
func (d *deployment) awaitServed(when string) {
	d.t.Helper()
	const limit = 30 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for !d.post(ctx) {
		if ctx.Err() != nil {
			d.t.Errorf("%s: no ordinary request was served within %v", when, limit)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// watch counts the members' descriptors until the test ends.
func (d *deployment) watch() {
	stopped := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	d.group.Go("watch descriptors", func(context.Context) error {
		defer close(stopped)
		for ctx.Err() == nil {
			for _, m := range d.members {
				entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.process.ID()))
				if err == nil {
					m.descriptors = max(m.descriptors, len(entries))
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	})
	d.t.Cleanup(func() {
		cancel()
		<-stopped
		for _, m := range d.members {
			d.t.Logf("%s: at most %d descriptors", m.process.Name(), m.descriptors)
			if m.descriptors > machineDescriptors {
				d.t.Errorf("%s: %d descriptors, the machine has %d", m.process.Name(), m.descriptors, machineDescriptors)
			}
		}
	})
}

// checkMembers checks that the processes live and stayed within the memory of the machine.
func (d *deployment) checkMembers() {
	d.t.Helper()
	for _, m := range d.members {
		if err := m.process.Signal(syscall.Signal(0)); err != nil {
			d.t.Errorf("%s has ended: %v", m.process.Name(), err)
			continue
		}
		peak := peakMemory(m.process.ID())
		d.t.Logf("%s: peak of %d MB", m.process.Name(), peak/1_000_000)
		if peak > machineMemory || peak == 0 {
			d.t.Errorf("%s: peak of %d bytes, the machine has %d", m.process.Name(), peak, machineMemory)
		}
	}
}

// peakMemory returns the highest resident memory of a process in bytes, 0 if it has ended.
func peakMemory(id int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			kib, err := strconv.Atoi(fields[1])
			if err != nil {
				return 0
			}
			return kib << 10
		}
	}
	return 0
}
