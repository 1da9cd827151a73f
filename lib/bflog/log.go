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

// Event is one kind of log line; its number never changes its meaning.
type Event struct {
	number  int
	level   slog.Level
	message string
	advice  string
}

// Number is the event's number in the catalogue.
func (e Event) Number() int { return e.number }

// Message is the fixed text of the event.
func (e Event) Message() string { return e.message }

var catalogue = map[int]Event{}

// declare panics on a number declared twice: two meanings under one number is
// a fault of the source that must not get past the first start.
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
	// urgent takes warnings and errors; it is slog where lines are not queued.
	urgent     *slog.Logger
	limits     map[int]*limit
	background *background
	// lost counts the lines that summarize told of.
	lost atomic.Int64
}

// limit bounds the lines of one event.
type limit struct {
	limiter *rate.Limiter
	dropped atomic.Int64
}

const (
	// linesPerSecond is how many lines of one event are written a second, and
	// lineBurst how many at once. A node in a spike refuses hundreds of requests a
	// second for the same reason; the first tell it.
	linesPerSecond = 20
	lineBurst      = 100
)

// New makes a logger that writes JSON lines to w, each with the instance's name.
func New(w io.Writer, instance string, level slog.Level) *Logger {
	one := newSlog(w, instance, level)
	return &Logger{slog: one, urgent: one}
}

// NewSpooled makes a logger that never waits for w: lines are queued, bounded by
// event and in all, and what was dropped is summed up in a line of its own.
func NewSpooled(w io.Writer, instance string, level slog.Level) *Logger {
	l := &Logger{limits: map[int]*limit{}}
	for number := range catalogue {
		l.limits[number] = &limit{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
	}
	l.start(w)
	l.slog = newSlog(urgency{l.background.spool, false}, instance, level)
	l.urgent = newSlog(urgency{l.background.spool, true}, instance, level)
	return l
}

func newSlog(w io.Writer, instance string, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})).With("instance", instance)
}

// Discard makes a logger that writes nothing.
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

// summarize writes how many lines of which events were dropped since the last
// time, so that no reader takes silence for calm.
func (l *Logger) summarize() {
	for number, bound := range l.limits {
		if count := bound.dropped.Swap(0); count > 0 {
			l.lost.Add(count)
			l.Emit(LinesDropped, slog.Int("of_event", number), slog.Int64("count", count), slog.String("reason", "too many a second"))
		}
	}
	if count := l.background.spool.dropped.Swap(0); count > 0 {
		l.lost.Add(count)
		l.Emit(LinesDropped, slog.Int64("count", count), slog.String("reason", "nobody reads"))
	}
}

// Dropped is how many lines were dropped, as of the last summary.
func (l *Logger) Dropped() int64 { return l.lost.Load() }

// Err is the attribute for an error.
func Err(err error) slog.Attr { return slog.String("error", fmt.Sprint(err)) }

// Catalogue renders every declared event as the page docs/EVENTS.md.
func Catalogue() string {
	numbers := make([]int, 0, len(catalogue))
	for number := range catalogue {
		numbers = append(numbers, number)
	}
	sort.Ints(numbers)
	var page strings.Builder
	page.WriteString("# Log events\n\nMade from `lib/bflog/events.go` by `make docs`; a test holds it to the code.\n\n")
	page.WriteString("| event | level | message | what to do |\n|---|---|---|---|\n")
	for _, number := range numbers {
		event := catalogue[number]
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", number, event.level, event.message, event.advice)
	}
	return page.String()
}
