package bfquery

import (
	"time"

	"bilberryflow.org/lib/bfquarantine"
)

// ReleaseContent releases a request content, given in the form that logs use, from the
// quarantine book of a node. It returns an *UnknownContentError if the content is
// invalid or not in quarantine.
func ReleaseContent(book *bfquarantine.Book, text string, now time.Time) error {
	content, ok := bfquarantine.ParseContent(text)
	if !ok || !book.Release(content, now) {
		return &UnknownContentError{Content: text}
	}
	return nil
}
