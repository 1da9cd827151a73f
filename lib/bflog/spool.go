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
	// spoolLines is the capacity of each of the two queues, in lines. It bridges a reader
	// that stalls for seconds and holds about a megabyte at most.
	spoolLines = 1000
	// flushTimeout limits how long Close waits for queued lines to be read.
	flushTimeout = 200 * time.Millisecond
)

// spool passes lines to one writer without blocking the caller.
//
// Standard output may be a pipe that is not read, on which a write blocks forever, and with it
// every request that logs. Lines are therefore put into a bounded queue, and dropped and
// counted if it is full. Warnings and errors have their own queue, which is written first.
type spool struct {
	out     io.Writer
	urgent  chan line
	normal  chan line
	dropped atomic.Int64
}

// line is a log line, or a marker that Close appends to detect that the queue is written.
type line struct {
	text []byte
	// reached is closed when the writer reaches the marker; nil for a log line.
	reached chan struct{}
}

func newSpool(out io.Writer) *spool {
	return &spool{out: out, urgent: make(chan line, spoolLines), normal: make(chan line, spoolLines)}
}

// put queues a line or drops it.
func (s *spool) put(text []byte, urgent bool) {
	queue := s.normal
	if urgent {
		queue = s.urgent
	}
	select {
	case queue <- line{text: text}:
	default:
		s.dropped.Add(1)
	}
}

// run writes lines until ctx is done.
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
		// An error can't be reported: this is the log output.
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
	case next := <-s.normal:
		return next, true
	case <-ctx.Done():
		return line{}, false
	}
}

// queueWriter is an io.Writer that puts lines into one of a spool's queues.
type queueWriter struct {
	spool  *spool
	urgent bool
}

// Write queues one line; slog calls it once for each line.
func (u queueWriter) Write(p []byte) (int, error) {
	u.spool.put(append([]byte(nil), p...), u.urgent)
	return len(p), nil
}

// background runs the goroutines that write the spool and summarize dropped lines.
type background struct {
	group *bfgroup.Group
	timer *bftimer.Service
	spool *spool
}

// summaryInterval is the interval of the reports on dropped lines.
const summaryInterval = 5 * time.Second

func (l *Logger) start(out io.Writer) {
	s := newSpool(out)
	l.background = &background{group: bfgroup.New(context.Background()), timer: bftimer.New(1), spool: s}
	l.background.group.Go("log writer", s.run)
	l.background.group.Go("log timer", l.background.timer.Run)
	l.background.timer.Every(func() time.Duration { return summaryInterval }, func(time.Time) { l.summarize() })
}

// Close writes the queued lines, for up to flushTimeout if the output is not read.
func (l *Logger) Close() {
	if l.background == nil {
		return
	}
	l.summarize()
	timeout := l.background.timer.After(flushTimeout, func(time.Time) { l.background.group.Cancel() })
	defer timeout.Stop()
	timedOut := l.background.group.Context().Done()
	marker := line{reached: make(chan struct{})}
	select {
	case l.background.spool.normal <- marker:
	case <-timedOut:
		return
	}
	select {
	case <-marker.reached:
	case <-timedOut:
	}
}
