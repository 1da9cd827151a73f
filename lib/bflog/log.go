package bflog

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"strings"
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
}

// New makes a logger that writes JSON lines to w, each with the instance's name.
func New(w io.Writer, instance string, level slog.Level) *Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return &Logger{slog: slog.New(handler).With("instance", instance)}
}

// Discard makes a logger that writes nothing.
func Discard() *Logger { return &Logger{slog: slog.New(slog.DiscardHandler)} }

// Emit writes the event with its attributes.
func (l *Logger) Emit(event Event, attributes ...slog.Attr) {
	ctx := context.Background()
	if !l.slog.Enabled(ctx, event.level) {
		return
	}
	all := append([]slog.Attr{slog.Int("event", event.number)}, attributes...)
	l.slog.LogAttrs(ctx, event.level, event.message, all...)
}

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
