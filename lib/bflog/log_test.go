package bflog

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfgolden"
)

func TestCatalogueIsCurrent(t *testing.T) {
	bfgolden.Check(t, filepath.Join("..", "..", "docs", "EVENTS.md"), Catalogue())
}

func TestEmitWritesTheNumber(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := New(&out, "n1", slog.LevelInfo)
	logger.Emit(VersionRefused, slog.Int("version", 4), Err(errors.New("no")))
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["event"], float64(VersionRefused.Number()))
	is.Equal(line["msg"], VersionRefused.Message())
	is.Equal(line["instance"], "n1")
	is.Equal(line["error"], "no")
}
