package bfstyle

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// Finding is a violation of a style rule.
type Finding struct {
	Position string
	Rule     string
}

// String formats the finding as a compiler message, "position: rule".
func (f Finding) String() string { return f.Position + ": " + f.Rule }

const (
	maxFileLines    = 400
	maxPackageLines = 1500
)

// allowedGo lists the packages that may use go statements.
var allowedGo = []string{"bfgroup"}

// Check checks the source files below root. It fails if a file can't be read or parsed.
func Check(root string) ([]Finding, error) {
	c := checker{files: token.NewFileSet(), lines: map[string]int{}}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root:
			return filepath.SkipDir
		case entry.IsDir():
			return c.directory(path)
		case strings.HasSuffix(path, ".go"):
			return c.file(path)
		}
		return nil
	})
	for directory, lines := range c.lines {
		if lines > maxPackageLines {
			c.add(directory, fmt.Sprintf("package of %d lines, more than %d", lines, maxPackageLines))
		}
	}
	slices.SortFunc(c.findings, func(a, b Finding) int { return strings.Compare(a.Position, b.Position) })
	return c.findings, err
}

type checker struct {
	files    *token.FileSet
	lines    map[string]int
	findings []Finding
}

func (c *checker) add(position, rule string) {
	c.findings = append(c.findings, Finding{position, rule})
}

func (c *checker) directory(path string) error {
	sources, err := filepath.Glob(filepath.Join(path, "*.go"))
	if err != nil || len(sources) == 0 {
		return err
	}
	if _, isMain := c.packageOf(sources[0]); isMain {
		return nil
	}
	if !slices.Contains(sources, filepath.Join(path, "doc.go")) {
		c.add(path, "package without doc.go")
	}
	return nil
}

func (c *checker) packageOf(path string) (string, bool) {
	file, err := parser.ParseFile(c.files, path, nil, parser.PackageClauseOnly)
	if err != nil {
		return "", false
	}
	return file.Name.Name, file.Name.Name == "main"
}

func (c *checker) file(path string) error {
	file, err := parser.ParseFile(c.files, path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	c.names(path, file)
	if strings.HasSuffix(path, "_test.go") {
		return nil
	}
	lines := c.files.Position(file.End()).Line
	c.lines[filepath.Dir(path)] += lines
	if lines > maxFileLines {
		c.add(path, fmt.Sprintf("file of %d lines, more than %d", lines, maxFileLines))
	}
	if !slices.Contains(allowedGo, file.Name.Name) {
		c.goStatements(file)
	}
	return nil
}

// goStatements reports go statements. A goroutine outside a group isn't waited for at shutdown,
// and a panic in it kills the process.
func (c *checker) goStatements(file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		if statement, isGo := node.(*ast.GoStmt); isGo {
			c.add(c.files.Position(statement.Pos()).String(), "bare go statement; use bfgroup")
		}
		return true
	})
}

func (c *checker) names(path string, file *ast.File) {
	name := strings.TrimSuffix(file.Name.Name, "_test")
	if name != "main" && !strings.HasPrefix(name, "bf") {
		c.add(path, "package name without the prefix bf")
	}
	for _, group := range file.Comments {
		text := strings.ToLower(group.Text())
		if strings.Contains(text, "copyright") || strings.Contains(text, "licensed under") {
			c.add(c.files.Position(group.Pos()).String(), "licence notice in a source file")
		}
	}
}
