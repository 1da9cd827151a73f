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

// guarded is a buffer for concurrent use.
type guarded struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (g *guarded) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.data.Write(p)
}

func (g *guarded) lines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Split(strings.TrimSpace(g.data.String()), "\n")
}

// Whoever read the process's output stops reading. Requests that log must not
// wait for it: a pipe holds 64 KiB, and every write after that would block.
func TestNobodyReads(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe() // holds nothing at all
	l := NewSpooled(writer, "a", slog.LevelInfo)
	began := time.Now()
	for range 10_000 {
		l.Emit(OutcomeUnknown)
		l.Emit(TargetLeaving)
	}
	is.True(time.Since(began) < time.Second)
	l.Close() // and the process ends
	is.True(time.Since(began) < 2*time.Second)
	reader.Close()
}

// A spike refuses thousands of requests. The first lines are written, the rest
// are counted in one line by event, and other events are not cut short.
func TestLinesOfOneEventAreBounded(t *testing.T) {
	is := is.New(t)
	var out guarded
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

// While the queue is full of usual lines, a warning must still get through.
func TestWarningsHaveAQueueOfTheirOwn(t *testing.T) {
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
