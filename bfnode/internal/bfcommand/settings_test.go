package bfcommand

import (
	"errors"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfgolden"
	"bilberryflow.org/lib/bfsettings"
)

func TestReferenceIsCurrent(t *testing.T) {
	settings := Program().Example()
	page := bfsettings.Reference("bfnode", &settings)
	bfgolden.Check(t, filepath.Join("..", "..", "..", "docs", "settings", "bfnode.md"), page)
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

// An operator's file names a peer port by host name, a seed that is no address and
// half of a certificate. Each is refused by name before anything listens.
func TestCheckRefusesWhatTheSchemaAllows(t *testing.T) {
	is := is.New(t)
	for field, change := range map[string]func(*Settings){
		"/listen/peer": func(s *Settings) { s.Listen.Peer = "localhost:1" },
		"/seeds/0":     func(s *Settings) { s.Seeds = []string{"nowhere"} },
		"/certificate": func(s *Settings) { s.Key = "k.pem" },
	} {
		settings := Example()
		change(&settings)
		var wrong *bfsettings.FieldError
		is.True(errors.As(Check(settings), &wrong))
		is.Equal(wrong.Field, field)
	}
}
