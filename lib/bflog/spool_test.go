package bflog

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (g *lockedBuffer) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.data.Write(p)
}

func (g *lockedBuffer) lines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Split(strings.TrimSpace(g.data.String()), "\n")
}

// Guards against requests that block on logging because the process's output is not read.
func TestEmitDoesNotBlockOnUnreadOutput(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe() // unbuffered
	l := NewSpooled(writer, "a", slog.LevelInfo)
	began := time.Now()
	for range 10_000 {
		l.Emit(OutcomeUnknown)
		l.Emit(TargetDraining)
	}
	is.True(time.Since(began) < time.Second)
	l.Close()
	is.True(time.Since(began) < 2*time.Second)
	reader.Close()
}

// Guards against one event flooding the log: lines above its rate limit are counted, and other
// events are still written.
func TestLinesOfOneEventAreRateLimited(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	l := NewSpooled(&out, "a", slog.LevelInfo)
	const emitted = 5000
	for range emitted {
		l.Emit(RequestRefused, slog.String("reason", "full"))
	}
	l.Emit(OutcomeUnknown)
	l.Close()
	refused, dropped, other := 0, 0, 0
	for _, line := range out.lines() {
		var read struct {
			Event   int `json:"event"`
			OfEvent int `json:"of_event"`
			Count   int `json:"count"`
		}
		is.NoErr(json.Unmarshal([]byte(line), &read))
		switch read.Event {
		case RequestRefused.Number():
			refused++
		case LinesDropped.Number():
			is.Equal(read.OfEvent, RequestRefused.Number())
			dropped += read.Count
		case OutcomeUnknown.Number():
			other++
		}
	}
	is.True(refused >= lineBurst && refused < lineBurst+linesPerSecond)
	is.Equal(refused+dropped, emitted)
	is.Equal(other, 1)
}

// Guards against warnings that are dropped because the queue is full of other lines.
func TestWarningsHaveTheirOwnQueue(t *testing.T) {
	is := is.New(t)
	s := newSpool(io.Discard)
	for range 2 * spoolLines {
		s.put([]byte("usual"), false)
	}
	s.put([]byte("warning"), true)
	is.Equal(s.dropped.Load(), int64(spoolLines))
	first, ok := s.next(t.Context())
	is.True(ok)
	is.Equal(string(first.text), "warning")
}

func BenchmarkEmit(b *testing.B) {
	for name, l := range map[string]*Logger{"spooled": NewSpooled(io.Discard, "a", slog.LevelInfo), "off": Discard()} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				l.Emit(RequestRefused, slog.String("request", "0123456789abcdef"), slog.String("reason", "full"), slog.Duration("after", time.Second))
			}
		})
	}
}
