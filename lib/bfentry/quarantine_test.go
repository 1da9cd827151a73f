package bfentry

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bfquarantine"
)

// keyOf is the key of a look-up without a body.
func keyOf(path string) bfquarantine.Key {
	return bfquarantine.KeyOf(bfquarantine.Request{Method: http.MethodGet, Host: "h.example", Target: path, Caller: "vault"})
}

func endTargets(b *bfquarantine.Book, path string, ends int) {
	for i := range ends {
		b.Crashed(bfquarantine.CrashOf(fmt.Sprint(path, i)), []bfquarantine.Key{keyOf(path)}, time.Now())
	}
}

// Guards against nodes being asked to run a request that none of them runs.
func TestHeldRequestIsRefusedAtOnce(t *testing.T) {
	m := newMesh(t, generous, hello, hello)
	m.entry.parts.Quarantine = bfquarantine.New("entry")
	endTargets(m.entry.parts.Quarantine, "/look/bad", 3)
	answer, header := m.ask(http.MethodGet, "/look/bad", nil)
	m.Equal(answer, "503 ")
	comeBack, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	m.NoErr(err)
	m.True(comeBack > 290 && comeBack <= 300)
	m.Equal(m.runs(), int32(0))
	answer, _ = m.ask(http.MethodGet, "/look/good", nil)
	m.Equal(answer, "200 hello")
}

// Guards against a held request going from node to node, and their targets being passed over for it.
func TestRefusalOfAHeldRequestIsFinal(t *testing.T) {
	m := newMesh(t, generous, hello, hello, hello)
	var asked atomic.Int32
	for _, n := range m.nodes {
		book := bfquarantine.New("home")
		endTargets(book, "/look/bad", 3)
		n.host = bfhost.New(bfhost.Parts{
			Service: "portal", Names: names, Timer: m.entry.parts.Timer, Account: n.account, Changed: func(*bfhost.Target) {}, Quarantine: book,
		})
		n.host.Heard(bfhost.Heartbeat{Incarnation: "a", Sequence: 1, Service: "portal", State: bfhost.Ready, Slots: slots, Address: "127.0.0.1:1"})
		inbound := bfhost.NewInbound(n.host, nil)
		n.inbound.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			inbound.ServeHTTP(w, r)
		})
	}
	answer, header := m.ask(http.MethodGet, "/look/bad", nil)
	m.Equal(answer, "503 ")
	m.True(len(header.Get("Retry-After")) >= len("300"))
	m.Equal(asked.Load(), int32(1))
	for range m.nodes { // none of them is set aside by it
		_, _ = m.ask(http.MethodGet, "/look/bad", nil)
	}
	m.Equal(asked.Load(), int32(1+len(m.nodes)))
}
