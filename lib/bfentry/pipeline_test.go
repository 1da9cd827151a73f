package bfentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bilberryflow.org/lib/bfanswer"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfpipeline"
)

// Guards against requests that sound targets have run and that get no answer (LOST), as a target breaks off the
// long answer before them on their connection.
func TestRequestsBehindALongAnswerAreNotPassedOn(t *testing.T) {
	const length = 2 * bfanswer.TargetBufferBytes
	var breaks atomic.Bool
	m := newMesh(t, generous, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/look/long" {
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(length))
		_, _ = io.WriteString(w, strings.Repeat("x", length/4*3))
		if breaks.Load() {
			time.Sleep(50 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, strings.Repeat("x", length/4))
	})
	port, err := bfpipeline.Listen("127.0.0.1:0", bfpipeline.Config{
		Name: "caller", Handler: m.entry, Logger: m.entry.config.Logger, MayRunConcurrently: m.entry.MayRunConcurrently,
	})
	m.NoErr(err)
	group := bfgroup.New(context.Background())
	group.Go("port", port.Start)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = port.Stop(ctx)
	})
	conn, err := net.Dial("tcp", port.Address())
	m.NoErr(err)
	defer conn.Close()
	get := func(path string) string {
		return fmt.Sprintf("GET /look/%s HTTP/1.1\r\nHost: h.example\r\n%s: id-%s\r\n\r\n", path, names.RequestID, path)
	}
	reader := bufio.NewReader(conn)
	_, err = io.WriteString(conn, get("long"))
	m.NoErr(err)
	response, err := http.ReadResponse(reader, nil)
	m.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	m.NoErr(err)
	response.Body.Close()
	breaks.Store(true)
	_, err = io.WriteString(conn, get("long")+get("1")+get("2"))
	m.NoErr(err)
	broken, err := http.ReadResponse(reader, nil)
	m.NoErr(err)
	defer broken.Body.Close()
	_, err = io.Copy(io.Discard, broken.Body)
	m.True(err != nil)
	_, err = reader.ReadByte()
	m.True(err != nil)
	m.Equal(m.runs(), int32(2)) // the long ones
}
