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

// behaviour is how a fake node handles a command request.
type behaviour func(w http.ResponseWriter, r *http.Request)

// answer responds with results, then with the end message if there is a status.
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

// cutConnection closes the connection after the request without a response.
func cutConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// hang sends no response until the client closes the request.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func status(code int) behaviour {
	return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "not today", code) }
}

// fakeNode records the requests that it receives.
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

func startNode(t *testing.T, handle behaviour) *fakeNode {
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
		handle(w, r)
	}))
	t.Cleanup(node.server.Close)
	return node
}

// invocation is one run of the client.
type invocation struct {
	env    map[string]string
	stdin  string
	minted int
	output bytes.Buffer
}

func newInvocation() *invocation {
	return &invocation{env: map[string]string{"BFCTL_TOKEN": "secret", "USER": "marta"}}
}

func (c *invocation) main(args ...string) int {
	return Main(context.Background(), args, Environment{
		Stdin: strings.NewReader(c.stdin), Stdout: &c.output, Stderr: &c.output,
		Getenv: func(name string) string { return c.env[name] },
		MintID: func() string {
			c.minted++
			return fmt.Sprintf("ID%d", c.minted)
		},
	})
}

// outcomeCase is a command sent to nodes with given behaviours.
type outcomeCase struct {
	name     string
	commands string
	nodes    []behaviour
	code     int
	// sent is the expected number of requests for each node.
	sent []int
}

// timeout is short only where a node hangs, so that a slow machine interrupts nothing
// else.
func (c outcomeCase) timeout() string {
	if strings.Contains(c.name, "hang") {
		return "1s"
	}
	return "1m"
}

// Covers the outcome and the retries for every behaviour of one or two nodes. A nil
// behaviour is a node that refuses connections; a cut connection may have run the
// command.
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
			run := newInvocation()
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

// startNodes starts a node for each behaviour; nil is an address that refuses
// connections.
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

// Commands are read from standard input and the token from a file, and results are
// written as JSON. Each command that needs a change ID gets a new one unless the
// operator gives it.
func TestStandardInputAndJSON(t *testing.T) {
	is := is.New(t)
	nodes, addresses := startNodes(t, []behaviour{outcome(bfresult.StatusDone, "ok")})
	file := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(file, []byte("secret\n"), 0o600))
	run := newInvocation()
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

// A wrong token is shown as refused, with the reason, and no other node is tried,
// which would refuse it too.
func TestWrongToken(t *testing.T) {
	is := is.New(t)
	_, addresses := startNodes(t, []behaviour{hang, hang})
	run := newInvocation()
	run.env["BFCTL_TOKEN"] = "wrong"
	is.Equal(run.main("--node", strings.Join(addresses, ","), "confirm a"), 2)
	is.Equal(withoutAddresses(run.output.String(), addresses), "invalid: node-1 refused the token: unknown token\n")
}

// The parser takes a bare "help" for its own flag; "bfctl help" must list the commands
// instead.
func TestHelpListsTheCommands(t *testing.T) {
	is := is.New(t)
	run := newInvocation()
	is.Equal(run.main("help"), 0)
	is.Equal(run.output.String(), bfgrammar.HelpText("")+"\n")
	run = newInvocation()
	is.Equal(run.main("--node", "a", ""), 1)
	is.Equal(run.output.String(), "bfctl: COMMAND: it is empty; \"bfctl help\" lists them\n")
}

// Invalid settings exit with code 1 before anything is sent; scripts take 2 for a
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
		run := newInvocation()
		if code := run.main(args...); code != 1 {
			t.Errorf("%q: exit code %d\n%s", args, code, run.output.String())
		}
	}
	is := is.New(t)
	run := newInvocation()
	delete(run.env, "BFCTL_TOKEN")
	is.Equal(run.main("--node", "a", "show routes"), 1)
	is.Equal(newInvocation().main("--help"), 0)
	is.Equal(newInvocation().main("--version"), 0)
}

// Neither the command nor the token is sent to a server whose certificate the given
// authority didn't sign.
func TestCertificateAuthority(t *testing.T) {
	is := is.New(t)
	node := startNode(t, outcome(bfresult.StatusDone, "ok"))
	node.server.StartTLS()
	address := node.server.Listener.Addr().String()
	own := writeCertificate(t, node.server.Certificate().Raw)
	is.Equal(newInvocation().main("--node", address, "--ca", own, "confirm a"), 0)
	is.Equal(len(node.received()), 1)
	is.Equal(newInvocation().main("--node", address, "--ca", otherAuthority(t), "confirm a"), 5)
	is.Equal(newInvocation().main("--node", "https://"+address, "confirm a"), 5)
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

// otherAuthority returns the file of an authority that signed no node's certificate.
func otherAuthority(t *testing.T) string {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	return writeCertificate(t, der)
}
