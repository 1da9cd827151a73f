package bflog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bftimer"
)

const (
	// spoolLines is how many lines of each urgency wait for a reader. A node under
	// load writes some tens a second, so they bridge seconds; at about 500 bytes
	// a line they hold a megabyte at most.
	spoolLines = 1000
	// flushTimeout bounds the wait for a reader at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// spool hands lines to one writer without ever waiting for it.
//
// Standard output is a pipe. When nobody reads it, a write waits for ever, and
// with it every request that has something to log. Lines are therefore put into
// a bounded queue, and dropped and counted where it is full; warnings and errors
// have a queue of their own and go first.
type spool struct {
	out     io.Writer
	urgent  chan line
	usual   chan line
	dropped atomic.Int64
}

// line is one line, or the mark behind the last one.
type line struct {
	text []byte
	// reached is closed when the writer comes to the mark; nil for a line.
	reached chan struct{}
}

func newSpool(out io.Writer) *spool {
	return &spool{out: out, urgent: make(chan line, spoolLines), usual: make(chan line, spoolLines)}
}

// put queues a line or drops it.
func (s *spool) put(text []byte, urgent bool) {
	queue := s.usual
	if urgent {
		queue = s.urgent
	}
	select {
	case queue <- line{text: text}:
	default:
		s.dropped.Add(1)
	}
}

// run writes lines until ctx ends.
func (s *spool) run(ctx context.Context) error {
	for {
		next, ok := s.next(ctx)
		if !ok {
			return nil
		}
		if next.reached != nil {
			close(next.reached)
			continue
		}
		// There is no other place to report a broken standard output to.
		_, _ = s.out.Write(next.text)
	}
}

func (s *spool) next(ctx context.Context) (line, bool) {
	select {
	case next := <-s.urgent:
		return next, true
	default:
	}
	select {
	case next := <-s.urgent:
		return next, true
	case next := <-s.usual:
		return next, true
	case <-ctx.Done():
		return line{}, false
	}
}

// urgency is a spool's writer for lines of one urgency.
type urgency struct {
	spool  *spool
	urgent bool
}

// Write queues one line; slog writes each with one call.
func (u urgency) Write(p []byte) (int, error) {
	u.spool.put(append([]byte(nil), p...), u.urgent)
	return len(p), nil
}

// background runs a spool's writer and the summary of dropped lines.
type background struct {
	group *bfgroup.Group
	timer *bftimer.Service
	spool *spool
}

// summaryInterval is how often dropped lines are summed up.
const summaryInterval = 5 * time.Second

func (l *Logger) start(out io.Writer) {
	s := newSpool(out)
	l.background = &background{group: bfgroup.New(context.Background()), timer: bftimer.New(1), spool: s}
	l.background.group.Go("log writer", s.run)
	l.background.group.Go("log timer", l.background.timer.Run)
	l.background.timer.Every(func() time.Duration { return summaryInterval }, func(time.Time) { l.summarize() })
}

// Close writes what is queued, as far as somebody reads it.
func (l *Logger) Close() {
	if l.background == nil {
		return
	}
	l.summarize()
	over := l.background.timer.After(flushTimeout, func(time.Time) { l.background.group.Cancel() })
	defer over.Stop()
	given := l.background.group.Context().Done()
	mark := line{reached: make(chan struct{})}
	select {
	case l.background.spool.usual <- mark:
	case <-given:
		return
	}
	select {
	case <-mark.reached:
	case <-given:
	}
}
