package bfcommand

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfgolden"
	"bilberryflow.org/lib/bfsettings"
)

func TestReferenceIsCurrent(t *testing.T) {
	settings := Program().Example()
	page := bfsettings.Reference("bftarget", &settings)
	bfgolden.Check(t, filepath.Join("..", "..", "..", "docs", "settings", "bftarget.md"), page)
}

func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	program := Program()
	example := program.Example()
	text, err := bfsettings.Example(&example)
	is.NoErr(err)
	read := program.Defaults()
	is.NoErr(bfsettings.Decode([]byte(text), &read))
	is.NoErr(program.Check(read))
	is.Equal(read, example)
}
