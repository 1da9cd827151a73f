package bfentry

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// Guards against a success for an answer whose head was cut off, by the target or between nodes.
func TestCutHeadIsNotPassedOn(t *testing.T) {
	var head string
	cut := 0
	writeCut := func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, head[:cut])
	}
	for _, framing := range []string{"Content-Length: 5\r\n", "Connection: close\r\n", "Transfer-Encoding: chunked\r\n"} {
		head = fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n%s: id-/approve/1\r\n%s\r\n", names.RequestID, framing)
		for name, breakOff := range map[string]func(m *mesh){
			"target": func(m *mesh) { m.nodes[0].serve = writeCut },
			"node":   func(m *mesh) { m.nodes[0].inbound.Config.Handler = http.HandlerFunc(writeCut) },
		} {
			t.Run(fmt.Sprintf("%s %.10s", name, framing), func(t *testing.T) {
				m := newMesh(t, generous, hello)
				breakOff(m)
				for cut = range head {
					answer, _ := m.send(http.MethodPost, "/approve/1", nil)
					m.Equal(answer, "502 ")
				}
			})
		}
	}
}
