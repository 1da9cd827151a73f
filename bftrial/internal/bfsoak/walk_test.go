package bfsoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bftraffic"
)

// walkWorld starts nodes and targets without faults.
func walkWorld(t *testing.T, nodes int) *world {
	t.Helper()
	binaries := t.TempDir()
	for _, program := range []string{"bfnode", "bfplatform", "bfctl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(binaries, program), "./"+program)
		build.Dir = filepath.Join("..", "..", "..")
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("building %s: %v\n%s", program, err, out)
		}
	}
	fleet, err := bffleet.New(binaries)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		options: Options{Nodes: nodes, Binaries: binaries}, out: io.Discard, fleet: fleet, group: bfgroup.New(context.Background()), ledger: newLedger(),
		acked: map[bftraffic.Version]time.Time{}, seen: map[*bffleet.Process]bftraffic.Version{},
	}
	t.Cleanup(func() {
		w.group.Cancel()
		if err := fleet.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := w.start(); err != nil {
		t.Fatal(err)
	}
	return w
}

// pageCommand is the command of docs/OPERATIONS.md that finds a request's lines;
// the test runs it as it stands there, so that the page can't go stale.
func pageCommand(t *testing.T, id string) string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^(grep .*REQUEST-ID.*)$`).FindSubmatch(page)
	if found == nil {
		t.Fatal("the page has no command that finds a request")
	}
	return strings.ReplaceAll(string(found[1]), "REQUEST-ID", id)
}

// lines runs the page's command over the nodes' logs until it finds a line of the event.
func lines(t *testing.T, w *world, id string, event int) string {
	t.Helper()
	command := pageCommand(t, id)
	deadline := time.Now().Add(5 * time.Second)
	for {
		directory := t.TempDir()
		for _, n := range w.nodes {
			path := filepath.Join(directory, n.process.Settings().Instance+".log")
			if err := os.WriteFile(path, []byte(n.process.Process().Log()), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		run := exec.Command("sh", "-c", command)
		run.Dir = directory
		out, _ := run.Output() // grep's code says only whether it found something
		if strings.Contains(string(out), fmt.Sprintf(`"event":%d`, event)) {
			t.Logf("%s\n%s", command, out)
			return string(out)
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s found no event %d:\n%s", command, event, out)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// nextID is the ID of the next request.
func nextID() string { return fmt.Sprintf("r%d", requests.Load()+1) }

func wants(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("no %s in %s", part, text)
		}
	}
}

// A spike takes every slot, and a caller is refused. From its ID the log must say
// that it was refused for want of slots, how many targets were asked, and when it
// was told to come back.
func TestWalkOfARefusedRequest(t *testing.T) {
	w := walkWorld(t, 1)
	w.nodes[0].target.proxy.set(pass, 400*time.Millisecond)
	for range targetSlots {
		w.group.Go("spike", func(ctx context.Context) error {
			w.ask(ctx, &http.Client{}, w.nodes[0], false, "vault")
			return nil
		})
	}
	time.Sleep(200 * time.Millisecond)
	refused := w.ask(context.Background(), &http.Client{}, w.nodes[0], true, "vault")
	if refused.status != http.StatusServiceUnavailable {
		t.Fatalf("status %d, %v", refused.status, refused.err)
	}
	wants(t, lines(t, w, refused.id, 4101), `"reason":"full"`, `"asked":1`, `"come_back":`)
}

// The node beside a target is killed while the target runs an approval. The
// caller is told that nobody knows; the log must say which node had it and how
// the connection ended, and then that the node was passed over.
func TestWalkOfALostRequest(t *testing.T) {
	w := walkWorld(t, 2)
	entry, killed := w.nodes[0], w.nodes[1]
	entry.target.stop(context.Background(), true)
	killed.target.proxy.set(pass, 400*time.Millisecond)
	ends := make(chan outcome, 1)
	w.group.Go("approval", func(ctx context.Context) error {
		ends <- w.ask(ctx, &http.Client{}, entry, false, "vault")
		return nil
	})
	time.Sleep(500 * time.Millisecond)
	if err := killed.process.Process().Kill(); err != nil {
		t.Fatal(err)
	}
	lost := <-ends
	if lost.status != http.StatusBadGateway {
		t.Fatalf("status %d, %v", lost.status, lost.err)
	}
	wants(t, lines(t, w, lost.id, 4102), `"node":"`+killed.process.Settings().Listen.Inbound+`"`, `"reason":"no answer from`)
}

// A node believes that a target works that has fallen silent. A look-up waits
// there and is late; the log must say which node had it and where the time went.
func TestWalkOfALateRequest(t *testing.T) {
	w := walkWorld(t, 1)
	w.nodes[0].target.proxy.set(pass, 250*time.Millisecond)
	for answerOf(nextID()) != "answer to "+nextID()+"\n" {
		requests.Add(1) // the proxy delays each piece of a long answer, up to the route's timeout
	}
	late := w.ask(context.Background(), &http.Client{}, w.nodes[0], true, "vault")
	if late.status != http.StatusOK {
		t.Fatalf("status %d, %v", late.status, late.err)
	}
	wants(t, lines(t, w, late.id, 4105), `"objective":`, `"slot_wait":`, `"at_target":`, `"version":1`, `"members":1`)
}

// An operator asks one node by bfctl what is in force everywhere and how a request
// would be treated, without a token; and is refused what the platform keeps.
func TestOperatorAsksOnThePlatform(t *testing.T) {
	w := walkWorld(t, 3)
	ask := func(command string) string {
		run := exec.Command(filepath.Join(w.options.Binaries, "bfctl"), "--no-token", "--node", w.nodes[0].process.Settings().Listen.Operator, command)
		out, err := run.CombinedOutput()
		if err != nil {
			t.Logf("%s: %v", command, err)
		}
		return string(out)
	}
	deadline := time.Now().Add(10 * time.Second)
	for !strings.Contains(ask("in force everywhere"), "3 nodes in reach; version 1 on 3 nodes") {
		if time.Now().After(deadline) {
			t.Fatal(ask("in force everywhere"))
		}
		time.Sleep(100 * time.Millisecond)
	}
	wants(t, ask("show members"), w.nodes[2].process.Settings().Instance)
	wants(t, ask("explain GET //"+host+"/look-vault/1"), "service vault", "idempotent")
	wants(t, ask("confirm autumn"), "kept by the platform")
}

// Targets ended under a request, and it is refused. From its ID the log must lead to its
// content, and from that to each end of a target with all that ran there.
func TestWalkOfAHeldRequest(t *testing.T) {
	w := walkWorld(t, 5)
	path := newCrashingPath()
	send := func() outcome {
		return w.askFor(context.Background(), &http.Client{}, w.nodes[0], newID(), http.MethodGet, path)
	}
	deadline := time.Now().Add(20 * time.Second)
	held := send()
	for held.status != http.StatusServiceUnavailable || !strings.Contains(w.nodes[0].process.Process().Log(), `"reason":"quarantined"`) {
		if time.Now().After(deadline) {
			t.Fatalf("not held: status %d, %v", held.status, held.err)
		}
		time.Sleep(300 * time.Millisecond)
		held = send()
	}
	refused := lines(t, w, held.id, 4101)
	found := regexp.MustCompile(`"content":"([0-9a-f]{32})"`).FindStringSubmatch(refused)
	if found == nil {
		t.Fatalf("no content in %s", refused)
	}
	ends := 0
	for _, n := range w.nodes {
		for line := range strings.Lines(n.process.Process().Log()) {
			if strings.Contains(line, found[1]) && strings.Contains(line, `"event":4107`) {
				ends++
			}
		}
	}
	if ends < crashesBefore {
		t.Errorf("%d ends of targets name content %s", ends, found[1])
	}
}
