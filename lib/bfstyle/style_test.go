package bfstyle

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestWorkspaceFollowsTheRules(t *testing.T) {
	is := is.New(t)
	findings, err := Check(filepath.Join("..", ".."))
	is.NoErr(err)
	for _, finding := range findings {
		t.Error(finding)
	}
}

func TestCheckFindsEachViolation(t *testing.T) {
	is := is.New(t)
	root := t.TempDir()
	source := "// Copyright nobody\npackage other\n\nfunc f() { go f() }\n"
	is.NoErr(os.WriteFile(filepath.Join(root, "x.go"), []byte(source), 0o600))
	findings, err := Check(root)
	is.NoErr(err)
	rules := map[string]bool{}
	for _, finding := range findings {
		rules[finding.Rule] = true
	}
	is.True(rules["bare go statement; use bfgroup"])
	is.True(rules["package without doc.go"])
	is.True(rules["package name without the prefix bf"])
	is.True(rules["licence notice in a source file"])
}
