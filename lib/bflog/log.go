package bflog

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"strings"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Event is a kind of log line. A number is never reused with another meaning.
type Event struct {
	number  int
	level   slog.Level
	message string
	advice  string
}

// Number is the event's number in docs/EVENTS.md.
func (e Event) Number() int { return e.number }

// Message is the fixed text of the event.
func (e Event) Message() string { return e.message }

var catalogue = map[int]Event{}

// declare registers an event. It panics on a duplicate number, so that the fault shows
// whenever the package is loaded.
func declare(number int, level slog.Level, message, advice string) Event {
	if earlier, found := catalogue[number]; found {
		panic(fmt.Sprintf("log event %d declared twice: %q and %q", number, earlier.message, message))
	}
	event := Event{number: number, level: level, message: message, advice: advice}
	catalogue[number] = event
	return event
}

// Logger writes events for one process.
type Logger struct {
	slog *slog.Logger
	// urgent writes warnings and errors; it equals slog if lines are not queued.
	urgent     *slog.Logger
	limits     map[int]*limit
	background *background
	// reportedDrops counts the dropped lines that summarize has reported.
	reportedDrops atomic.Int64
}

// limit is the rate limit of one event.
type limit struct {
	limiter *rate.Limiter
	dropped atomic.Int64
}

const (
	// linesPerSecond and lineBurst limit the lines of one event. An overloaded node refuses
	// hundreds of requests per second for the same reason.
	linesPerSecond = 20
	lineBurst      = 100
)

// New returns a logger that writes JSON lines to w, each with the instance's name.
func New(w io.Writer, instance string, level slog.Level) *Logger {
	shared := newSlog(w, instance, level)
	return &Logger{slog: shared, urgent: shared}
}

// NewSpooled returns a logger that never blocks on w: lines are queued, with a rate limit for
// each event and a bounded queue, and dropped lines are reported in summary lines.
func NewSpooled(w io.Writer, instance string, level slog.Level) *Logger {
	l := &Logger{limits: map[int]*limit{}}
	for number := range catalogue {
		l.limits[number] = &limit{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
	}
	l.start(w)
	l.slog = newSlog(queueWriter{l.background.spool, false}, instance, level)
	l.urgent = newSlog(queueWriter{l.background.spool, true}, instance, level)
	return l
}

func newSlog(w io.Writer, instance string, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})).With("instance", instance)
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	nothing := slog.New(slog.DiscardHandler)
	return &Logger{slog: nothing, urgent: nothing}
}

// Emit writes the event with its attributes.
func (l *Logger) Emit(event Event, attributes ...slog.Attr) {
	ctx := context.Background()
	if !l.slog.Enabled(ctx, event.level) {
		return
	}
	if bound := l.limits[event.number]; bound != nil && !bound.limiter.Allow() {
		bound.dropped.Add(1)
		return
	}
	all := append([]slog.Attr{slog.Int("event", event.number)}, attributes...)
	to := l.slog
	if event.level >= slog.LevelWarn {
		to = l.urgent
	}
	to.LogAttrs(ctx, event.level, event.message, all...)
}

// summarize logs how many lines of each event were dropped since its last call, so that
// missing lines are not mistaken for missing events.
func (l *Logger) summarize() {
	for number, bound := range l.limits {
		if count := bound.dropped.Swap(0); count > 0 {
			l.reportedDrops.Add(count)
			l.Emit(LinesDropped, slog.Int("of_event", number), slog.Int64("count", count), slog.String("reason", "rate limit"))
		}
	}
	if count := l.background.spool.dropped.Swap(0); count > 0 {
		l.reportedDrops.Add(count)
		l.Emit(LinesDropped, slog.Int64("count", count), slog.String("reason", "queue full"))
	}
}

// Dropped is the number of dropped lines as of the last summary.
func (l *Logger) Dropped() int64 { return l.reportedDrops.Load() }

// Err returns the attribute "error" for an error.
func Err(err error) slog.Attr { return slog.String("error", fmt.Sprint(err)) }

// Catalogue renders the declared events as the Markdown page docs/EVENTS.md.
func Catalogue() string {
	numbers := make([]int, 0, len(catalogue))
	for number := range catalogue {
		numbers = append(numbers, number)
	}
	sort.Ints(numbers)
	var page strings.Builder
	page.WriteString("# Log events\n\nGenerated from `lib/bflog/events.go` by `make docs`; a test checks that it is current.\n\n")
	page.WriteString("| event | level | message | what to do |\n|---|---|---|---|\n")
	for _, number := range numbers {
		event := catalogue[number]
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", number, event.level, event.message, event.advice)
	}
	return page.String()
}
