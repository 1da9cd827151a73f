package bfquery

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfcensus"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
	"bilberryflow.org/lib/bfrender"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// client sends requests to a node as bfctl does, with generated change IDs.
type client struct {
	node      *fakeNode
	changeIDs int
}

func (c *client) send(commands string) ([]bfresult.Result, bfresult.Status, error) {
	request := bfresult.CommandRequest{Commands: commands, Author: "forged"}
	for range 9 {
		c.changeIDs++
		request.ChangeIDs = append(request.ChangeIDs, fmt.Sprintf("id-%d", c.changeIDs))
	}
	return c.request(request)
}

func (c *client) request(request bfresult.CommandRequest) ([]bfresult.Result, bfresult.Status, error) {
	var results []bfresult.Result
	var end *bfresult.EndMessage
	err := Serve(context.Background(), "marta", request, c.node, func(message bfresult.ResultMessage) error {
		if message.End != nil {
			end = message.End
			return nil
		}
		result, err := message.Result()
		results = append(results, result)
		return err
	})
	if end == nil {
		return results, "no end", err
	}
	return results, end.Status, err
}

// domainCensus makes a census of one domain from the counts of its reachable nodes by version.
func domainCensus(versions map[bfconfig.Version]int, unreachable ...string) bfcensus.Census {
	domain := bfcensus.Domain{Region: "vienna", Domain: "wien-nord", Unreachable: len(unreachable)}
	for version, count := range versions {
		if domain.Nodes == 0 || version < domain.Oldest {
			domain.Oldest = version
		}
		domain.Nodes += count
	}
	return bfcensus.Census{Domains: []bfcensus.Domain{domain}, Versions: versions, Unreachable: unreachable}
}

// Compares a session as bfctl shows it with the golden file. Each paragraph of the
// script is one request.
func TestSessionGolden(t *testing.T) {
	is := is.New(t)
	script, err := os.ReadFile("testdata/session.txt")
	is.NoErr(err)
	node := newFakeNode()
	node.census = []bfcensus.Census{
		domainCensus(map[bfconfig.Version]int{4: 2, 3: 1}, "portal-core-2"), domainCensus(map[bfconfig.Version]int{4: 3}, "portal-core-2"),
	}
	c := &client{node: node}
	var got bytes.Buffer
	for _, commands := range strings.Split(strings.TrimSpace(string(script)), "\n\n") {
		results, status, err := c.send(commands)
		is.NoErr(err)
		fmt.Fprintf(&got, "> %s\n", commands)
		for _, result := range results {
			is.NoErr(bfrender.Text(&got, result))
		}
		fmt.Fprintf(&got, "[%s]\n\n", status)
	}
	const golden = "testdata/session.golden"
	if *update {
		is.NoErr(os.WriteFile(golden, got.Bytes(), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(got.String(), string(want))
	is.Equal(node.drained, []string{"portal-core-1"})
}

func mustSend(t *testing.T, c *client, commands string) {
	t.Helper()
	if results, status, err := c.send(commands); status != bfresult.StatusDone || err != nil {
		t.Fatalf("%s: %v %v %v", commands, results, status, err)
	}
}

// A change of an object that is committed while another change of the same object
// is being staged must cause a conflict at confirm. Otherwise the staged object,
// computed from the older state, would silently revert it.
func TestConfirmDetectsChangeDuringStage(t *testing.T) {
	is := is.New(t)
	node := newFakeNode()
	c := &client{node: node}
	mustSend(t, c, "stage a create policy lookup class lookup deadline 2s; confirm a; stage b change policy lookup deadline 3s")
	node.afterState = func() {
		_, err := node.Confirm(context.Background(), "b", "marta-1", "marta")
		is.NoErr(err)
	}
	mustSend(t, c, "stage c change policy lookup queue 50")
	results, status, err := c.send("confirm c")
	is.NoErr(err)
	is.Equal(status, bfresult.StatusConflict)
	outcome := results[0].(bfresult.Outcome)
	is.Equal(outcome.Author, "marta")
	is.Equal(outcome.Object, "policy lookup")
}

// A node without a configuration must report itself unavailable instead of
// showing empty tables, which look like lost configuration. Commands that don't
// read the configuration must work.
func TestNodeNotStarted(t *testing.T) {
	is := is.New(t)
	node := newFakeNode()
	node.notStarted = true
	c := &client{node: node}
	for _, command := range []string{
		"show routes", "show events where name = a", "stage a create service docs", "diff a", "undo 1", "explain GET /a",
	} {
		results, status, err := c.send(command)
		is.NoErr(err)
		is.Equal(status, bfresult.StatusNotAccepted)
		is.Equal(results[0].(bfresult.Failure).Kind, bfresult.FailureUnavailable)
	}
	is.Equal(len(node.staged), 0)
	mustSend(t, c, "show members; show nodes; show staged; help")
}

// A watch before the first commit must not report version 0 as in force.
func TestWatchBeforeTheFirstVersion(t *testing.T) {
	is := is.New(t)
	results, status, err := (&client{node: newFakeNode()}).send("watch version latest")
	is.NoErr(err)
	is.Equal(status, bfresult.StatusDone)
	is.Equal(results, []bfresult.Result{bfresult.Message{Text: "no version has been committed yet"}})
}

// A confirm must report "unknown" with its ID if the response of the store is lost,
// and "not accepted" if the store is unavailable. A retry with the ID must return
// the committed version and not commit again.
func TestConfirmOutcomes(t *testing.T) {
	is := is.New(t)
	node := newFakeNode()
	c := &client{node: node}
	mustSend(t, c, "stage a create service docs")
	node.storeDown = true
	results, status, err := c.send("confirm a")
	is.NoErr(err)
	is.Equal(status, bfresult.StatusNotAccepted)
	is.True(results[0].(bfresult.Outcome).RetryAfter > 0)
	results, status, err = c.send("stage b create service other")
	is.NoErr(err)
	is.Equal(status, bfresult.StatusNotAccepted)
	is.Equal(results[0].(bfresult.Outcome).Summary, "the platform does not answer, and nothing was written: table away")
	node.storeDown, node.loseResponse = false, true
	results, status, err = c.send("confirm a; show services")
	is.NoErr(err)
	is.Equal(status, bfresult.StatusUnknown)
	is.Equal(len(results), 1)
	_, status, err = c.send("confirm a id " + results[0].(bfresult.Outcome).ChangeID)
	is.NoErr(err)
	is.Equal(status, bfresult.StatusDone)
	is.Equal(len(node.log), 1)
	is.Equal(node.log[0].Author, "marta")
}

// Commands that write must be refused without a change ID, since their outcome
// could not be looked up after a lost response.
func TestWritingNeedsChangeID(t *testing.T) {
	is := is.New(t)
	c := &client{node: newFakeNode()}
	mustSend(t, c, "stage a create service docs")
	for _, text := range []string{"stage b create service docs", "confirm a", "undo 1"} {
		_, status, err := c.request(bfresult.CommandRequest{Commands: text})
		is.NoErr(err)
		is.Equal(status, bfresult.StatusRefused)
	}
	is.Equal(len(c.node.staged), 1)
	is.Equal(c.node.confirms, 0)
}

// If the connection breaks during a response, no end message may follow and no
// later command may run.
func TestServeStopsWhenEmitFails(t *testing.T) {
	is := is.New(t)
	node := newFakeNode()
	sent := 0
	request := bfresult.CommandRequest{Commands: "show routes; drain portal-core-1"}
	err := Serve(context.Background(), "marta", request, node, func(bfresult.ResultMessage) error {
		sent++
		return os.ErrClosed
	})
	is.Equal(err, os.ErrClosed)
	is.Equal(sent, 1)
	is.Equal(len(node.drained), 0)
}

// The rows of each table must match its columns.
func TestRowsMatchColumns(t *testing.T) {
	is := is.New(t)
	c := &client{node: newFakeNode()}
	for _, table := range bfsyntax.TableNames() {
		results, status, err := c.send("show " + string(table))
		is.NoErr(err)
		is.Equal(status, bfresult.StatusDone)
		is.Equal(results[0].(bfresult.Table).Name, string(table))
	}
}
