package bfpipeline

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const halfAnswer = 256 << 10

// writeHalf writes a part of an answer without a stated length, then calls end.
func writeHalf(end func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", halfAnswer))
		end()
	}
}

// readOldAnswer reads the answer to an HTTP/1.0 request until its connection ends.
func readOldAnswer(t *testing.T, p *testPort) (read int64, err error) {
	t.Helper()
	c, err := net.Dial("tcp", p.server.Address())
	p.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
	p.NoErr(err)
	return io.Copy(io.Discard, c)
}

// Guards against an answer to an HTTP/1.0 caller that breaks off and looks complete, as its connection ends
// like that of a complete one.
func TestBrokenAnswerOfAnOldCallerIsReset(t *testing.T) {
	p := serve(t, writeHalf(func() { panic(http.ErrAbortHandler) }), Limits{})
	_, err := readOldAnswer(t, p)
	p.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against the same where the port stops before the answer is complete.
func TestAnswerCutByAStopIsReset(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	p := serve(t, writeHalf(func() {
		close(begun)
		<-release
	}), Limits{})
	defer close(release)
	p.server.group.Go("stop", func(context.Context) error {
		<-begun
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		return p.server.Stop(ctx)
	})
	_, err := readOldAnswer(t, p)
	p.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against a reset after a complete answer, of which the caller may lose a part.
func TestCompleteAnswerOfAnOldCallerIsNotReset(t *testing.T) {
	p := serve(t, writeHalf(func() {}), Limits{})
	read, err := readOldAnswer(t, p)
	p.NoErr(err)
	p.True(read > halfAnswer)
}
