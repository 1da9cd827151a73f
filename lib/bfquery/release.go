package bfquery

import (
	"time"

	"bilberryflow.org/lib/bfquarantine"
)

// ReleaseIn releases a content, as it is written in logs, in a node's book, or fails with
// a NoContentError.
func ReleaseIn(book *bfquarantine.Book, text string, now time.Time) error {
	content, ok := bfquarantine.ParseContent(text)
	if !ok || !book.Release(content, now) {
		return &NoContentError{Content: text}
	}
	return nil
}
