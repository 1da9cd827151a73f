package bfcommand

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfquery/bfgrammar"
	"bilberryflow.org/lib/bfquery/bfresult"
)

// behaviour is what a fake node does with a request for commands.
type behaviour func(w http.ResponseWriter, r *http.Request)

// answer sends results and then the end message with the status, if there is one.
func answer(status bfresult.Status, results ...bfresult.Result) behaviour {
	return func(w http.ResponseWriter, _ *http.Request) {
		encoder := json.NewEncoder(w)
		for _, result := range results {
			message, err := bfresult.Encode(result)
			if err != nil {
				panic(err)
			}
			_ = encoder.Encode(message)
		}
		if status != "" {
			_ = encoder.Encode(bfresult.ResultMessage{End: &bfresult.EndMessage{Status: status}})
		}
	}
}

func outcome(status bfresult.Status, summary string) behaviour {
	return answer(status, bfresult.Outcome{Status: status, Summary: summary})
}

// cutConnection takes the request and closes the connection without an answer.
func cutConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// hang answers nothing until the client gives up.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func status(code int) behaviour {
	return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "not today", code) }
}

// fakeNode records the requests that reach it.
type fakeNode struct {
	server   *httptest.Server
	mu       sync.Mutex
	requests []bfresult.CommandRequest
}

func (n *fakeNode) received() []bfresult.CommandRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests
}

func startNode(t *testing.T, behave behaviour) *fakeNode {
	node := &fakeNode{}
	node.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/v1/commands" || r.Header.Get("Authorization") != "Bearer secret" {
			http.Error(w, "unknown token", http.StatusUnauthorized)
			return
		}
		var request bfresult.CommandRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			t.Error(err)
		}
		node.mu.Lock()
		node.requests = append(node.requests, request)
		node.mu.Unlock()
		behave(w, r)
	}))
	t.Cleanup(node.server.Close)
	return node
}

// call is one run of the client.
type call struct {
	env    map[string]string
	stdin  string
	minted int
	output bytes.Buffer
}

func newCall() *call { return &call{env: map[string]string{"BFCTL_TOKEN": "secret", "USER": "marta"}} }

func (c *call) main(args ...string) int {
	return Main(context.Background(), args, Environment{
		Stdin: strings.NewReader(c.stdin), Stdout: &c.output, Stderr: &c.output,
		Getenv: func(name string) string { return c.env[name] },
		MintID: func() string {
			c.minted++
			return fmt.Sprintf("ID%d", c.minted)
		},
	})
}

// outcomeCase is a command sent to nodes.
type outcomeCase struct {
	name     string
	commands string
	nodes    []behaviour
	code     int
	// sent is how many requests reach each node.
	sent []int
}

// timeout is short only where a node hangs, so that a slow machine cuts nothing else.
func (c outcomeCase) timeout() string {
	if strings.Contains(c.name, "hang") {
		return "1s"
	}
	return "1m"
}

// With several nodes, each case tells what they do in turn. "down" is a node
// that nobody listens for; a cut connection may have carried the command out.
func TestOutcomesGolden(t *testing.T) {
	committed := outcome(bfresult.StatusDone, "a is version 41")
	halfAnswer := answer("", bfresult.Outcome{Status: bfresult.StatusDone, Summary: "a is version 41"})
	away := outcome(bfresult.StatusNotAccepted, "the table is away")
	table := bfresult.Table{Name: "routes", Columns: []bfresult.Column{{Name: "name", Type: bfresult.TypeText}},
		Rows: [][]bfresult.Cell{{bfresult.TextCell("assets")}}}
	progress := bfresult.Progress{Version: 41, Held: 1, Nodes: 2, Oldest: 40}
	cases := []outcomeCase{
		{"done", "confirm a", []behaviour{committed, committed}, 0, []int{1, 0}},
		{"repeated after a cut", "confirm a", []behaviour{cutConnection, committed}, 0, []int{1, 1}},
		{"repeated after a hang", "confirm a", []behaviour{hang, committed}, 0, []int{1, 1}},
		{"repeated after half an answer", "confirm a", []behaviour{halfAnswer, committed}, 0, []int{1, 1}},
		{"half an answer is no success", "confirm a", []behaviour{halfAnswer}, 4, []int{1}},
		{"cut, then down", "confirm a", []behaviour{cutConnection, nil}, 4, []int{1, 0}},
		{"cut, then not accepted", "confirm a", []behaviour{cutConnection, away}, 4, []int{1, 1}},
		{"not accepted", "confirm a", []behaviour{away, committed}, 2, []int{1, 0}},
		{"unknown, then already committed", "confirm a", []behaviour{outcome(bfresult.StatusUnknown, "?"), committed}, 0, []int{1, 1}},
		{"unknown", "confirm a", []behaviour{outcome(bfresult.StatusUnknown, "whether a was committed is unknown")}, 4, []int{1}},
		{"conflict", "confirm a; show routes", []behaviour{outcome(bfresult.StatusConflict, "ines came first")}, 3, []int{1}},
		{"first node down", "confirm a", []behaviour{nil, committed}, 0, []int{0, 1}},
		{"first node starting", "confirm a", []behaviour{status(503), committed}, 0, []int{1, 1}},
		{"server error", "confirm a", []behaviour{status(500)}, 4, []int{1}},
		{"all down", "confirm a", []behaviour{nil, nil}, 5, []int{0, 0}},
		{"drain is not repeated", "drain a", []behaviour{cutConnection, committed}, 4, []int{1, 0}},
		{"discard is not repeated", "discard a", []behaviour{cutConnection, committed}, 4, []int{1, 0}},
		{"show is repeated", "show routes", []behaviour{answer("", table), answer(bfresult.StatusDone, table)}, 0, []int{1, 1}},
		{"half a table is not shown", "show routes", []behaviour{answer("", table)}, 5, []int{1}},
		{"watch shows progress at once", "watch version 41", []behaviour{answer("", progress)}, 5, []int{1}},
		{"refused by the node", "show routes", []behaviour{answer(bfresult.StatusRefused, bfresult.Failure{Kind: "invalid", Message: "no"})}, 2, []int{1}},
		{"wrong syntax is not sent", "confirm a\nshow roots", []behaviour{committed}, 2, []int{0}},
		{"help needs no node", "help undo", nil, 0, nil},
		{"not an answer", "confirm a", []behaviour{func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "<html>") }}, 4, []int{1}},
	}
	var got strings.Builder
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			nodes, addresses := startNodes(t, c.nodes)
			run := newCall()
			is.Equal(run.main("--node", strings.Join(addresses, ","), "--timeout", c.timeout(), c.commands), c.code)
			for i, node := range nodes {
				requests := node.received()
				is.Equal(len(requests), c.sent[i])
				if len(requests) > 0 && strings.HasPrefix(c.commands, "confirm") {
					is.Equal(requests[0], bfresult.CommandRequest{Commands: "confirm a", ChangeIDs: []string{"ID1"}, Author: "marta"})
				}
			}
			fmt.Fprintf(&got, "# %s: %s\n%s[exit %d]\n\n", c.name, c.commands, withoutAddresses(run.output.String(), addresses), c.code)
		})
	}
	golden(t, "testdata/outcomes.golden", got.String())
}

// startNodes starts a node for each behaviour; nil is an address that refuses connections.
func startNodes(t *testing.T, behaviours []behaviour) ([]*fakeNode, []string) {
	var nodes []*fakeNode
	var addresses []string
	for _, behave := range behaviours {
		node := startNode(t, behave)
		address := node.server.Listener.Addr().String()
		if behave == nil {
			node.server.Listener.Close()
		} else {
			node.server.Start()
		}
		nodes, addresses = append(nodes, node), append(addresses, address)
	}
	return nodes, addresses
}

func withoutAddresses(text string, addresses []string) string {
	for i, address := range addresses {
		text = strings.ReplaceAll(text, address, fmt.Sprintf("node-%d", i+1))
	}
	return text
}

func golden(t *testing.T, name, got string) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(name, []byte(got), 0o644))
	}
	want, err := os.ReadFile(name)
	is.NoErr(err)
	is.Equal(got, string(want))
}

// Commands come from standard input, the token from a file, and the answer goes
// out as JSON; each command that needs an ID gets one of its own, and one that
// the operator gives is kept.
func TestStandardInputAndJSON(t *testing.T) {
	is := is.New(t)
	nodes, addresses := startNodes(t, []behaviour{outcome(bfresult.StatusDone, "ok")})
	file := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(file, []byte("secret\n"), 0o600))
	run := newCall()
	run.env["BFCTL_TOKEN"] = "other"
	run.stdin = "undo 41 # back\nshow routes\nconfirm undo-41\nconfirm b id mine\n"
	is.Equal(run.main("--json", "--token-file", file, "-n", addresses[0]), 0)
	is.Equal(run.output.String(), strings.Repeat(`{"kind":"outcome","status":"done","summary":"ok"}`+"\n", 4))
	var ids [][]string
	for _, request := range nodes[0].received() {
		ids = append(ids, request.ChangeIDs)
	}
	is.Equal(ids, [][]string{{"ID1"}, nil, {"ID2"}, {"mine"}})
}

// A wrong token must read as "refused", with the reason, and not as a node that
// could not be reached: another node would refuse it too.
func TestWrongToken(t *testing.T) {
	is := is.New(t)
	_, addresses := startNodes(t, []behaviour{hang, hang})
	run := newCall()
	run.env["BFCTL_TOKEN"] = "wrong"
	is.Equal(run.main("--node", strings.Join(addresses, ","), "confirm a"), 2)
	is.Equal(withoutAddresses(run.output.String(), addresses), "invalid: node-1 refused the token: unknown token\n")
}

// "bfctl help" is what the usage names for the commands. The parser of flags
// takes a bare "help" for its own flag, and the operator read the usage again.
func TestHelpListsTheCommands(t *testing.T) {
	is := is.New(t)
	run := newCall()
	is.Equal(run.main("help"), 0)
	is.Equal(run.output.String(), bfgrammar.HelpText("")+"\n")
	run = newCall()
	is.Equal(run.main("--node", "a", ""), 1)
	is.Equal(run.output.String(), "bfctl: COMMAND: it is empty; \"bfctl help\" lists them\n")
}

// Wrong settings end with code 1 before anything is sent; scripts take 2 for a
// command that a node refused.
func TestWrongUsage(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{
		{"show routes"}, {"--node", ","}, {"--node", "a", "--timeout", "0s", "show routes"}, {"--node", "a", "--timeout", "x", "show routes"},
		{"--node", "a", "--token-file", "/no/such/file", "show routes"}, {"--node", "a", "--token-file", empty, "show routes"},
		{"--node", "a", "--ca", empty, "show routes"}, {"--node", "a", "--colour", "show routes"}, {"--node", "a", "show", "routes"},
		{"--node", "a", ""}, {"--node", "a", "# nothing"}, {"--node", "http://a b", "show routes"}, {"--node"},
	} {
		run := newCall()
		if code := run.main(args...); code != 1 {
			t.Errorf("%q: exit code %d\n%s", args, code, run.output.String())
		}
	}
	is := is.New(t)
	run := newCall()
	delete(run.env, "BFCTL_TOKEN")
	is.Equal(run.main("--node", "a", "show routes"), 1)
	is.Equal(newCall().main("--help"), 0)
	is.Equal(newCall().main("--version"), 0)
}

// The node's certificate must be signed by the authority given: to any other
// server neither the command nor the token is sent at all.
func TestCertificateAuthority(t *testing.T) {
	is := is.New(t)
	node := startNode(t, outcome(bfresult.StatusDone, "ok"))
	node.server.StartTLS()
	address := node.server.Listener.Addr().String()
	own := writeCertificate(t, node.server.Certificate().Raw)
	is.Equal(newCall().main("--node", address, "--ca", own, "confirm a"), 0)
	is.Equal(len(node.received()), 1)
	is.Equal(newCall().main("--node", address, "--ca", otherAuthority(t), "confirm a"), 5)
	is.Equal(newCall().main("--node", "https://"+address, "confirm a"), 5)
	is.Equal(len(node.received()), 1)
}

func writeCertificate(t *testing.T, der []byte) string {
	file := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: der}
	if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// otherAuthority is an authority that signed no node's certificate.
func otherAuthority(t *testing.T) string {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	return writeCertificate(t, der)
}
