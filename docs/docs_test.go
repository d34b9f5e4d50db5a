// Package docs_test checks the documentation against the code: files and identifiers that the pages
// refer to must exist, and every logged warning and error must be documented for on-call engineers.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const root = ".."

// maintainedPages returns the paths of the pages that describe the present code. Other pages record
// measurements, findings and changes of the past, and keep the names that were in use then.
func maintainedPages() []string {
	list := []string{filepath.Join(root, "README.md"), filepath.Join(root, "DEVELOPERS.md")}
	for _, name := range []string{"ARCHITECTURE", "BALANCE", "DESIGN", "GLOSSARY", "MEETINGS", "OPERATIONS", "SCALE", "SHARDS"} {
		list = append(list, name+".md")
	}
	return list
}

// repository holds the names that pages may refer to.
type repository struct {
	files []string        // files and directories, relative to the root
	words map[string]bool // in the contents and paths of all files but .md and .sum files
}

// optionalFiles may be missing from the repository although pages refer to them.
var optionalFiles = map[string]bool{"KNOWN-RED.txt": true}

// skippedDirs are directories without sources.
var skippedDirs = map[string]bool{".git": true, "journal": true, "target": true}

var wordPattern = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*`)

func readRepository(t *testing.T) *repository {
	t.Helper()
	r := &repository{words: map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if skippedDirs[d.Name()] {
				return filepath.SkipDir
			}
			r.files = append(r.files, rel)
			return nil
		}
		r.files = append(r.files, rel)
		if strings.HasSuffix(rel, ".md") || strings.HasSuffix(rel, ".sum") {
			return nil
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, word := range wordPattern.FindAllString(string(raw), -1) {
			r.words[word] = true
		}
		for _, word := range wordPattern.FindAllString(rel, -1) {
			r.words[word] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// hasPath reports whether the repository has a file or directory with this path, or with a path that
// ends in it.
func (r *repository) hasPath(path string) bool {
	path = strings.TrimSuffix(strings.TrimPrefix(path, "./"), "/")
	for _, f := range r.files {
		if f == path || strings.HasSuffix(f, "/"+path) {
			return true
		}
	}
	return false
}

var (
	backquoted        = regexp.MustCompile("`([^`\n]+)`")
	fileNamePattern   = regexp.MustCompile(`^[\w./-]+\.(go|toml|json|md|yml|txt)$`)
	directoryPattern  = regexp.MustCompile(`^\.?[\w-]+(/[\w.-]+)+/?$`)
	identifierPattern = regexp.MustCompile(`^[A-Za-z_]\w*(\.[A-Za-z_]\w*)*(\(\))?$`)
)

// resolves reports whether a name that a page puts in backquotes exists, if it has the form of a
// file, a path or an identifier. Anything else, such as a command, is accepted unchecked.
func (r *repository) resolves(name string) bool {
	switch {
	case fileNamePattern.MatchString(name):
		return optionalFiles[name] || r.hasPath(name) || r.words[strings.TrimSuffix(name, filepath.Ext(name))]
	case strings.HasPrefix(name, "internal/") || strings.HasPrefix(name, "cmd/") || strings.HasPrefix(name, "docs/"):
		return !directoryPattern.MatchString(name) || r.hasPath(name)
	case identifierPattern.MatchString(name):
		for _, word := range wordPattern.FindAllString(name, -1) {
			if !r.words[word] {
				return false
			}
		}
	}
	return true
}

// TestReferencesInPagesExist checks that each file and identifier that a maintained page puts in
// backquotes exists in the repository.
func TestReferencesInPagesExist(t *testing.T) {
	r := readRepository(t)
	for _, page := range maintainedPages() {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, match := range backquoted.FindAllStringSubmatch(string(raw), -1) {
			if name := match[1]; !r.resolves(name) {
				t.Errorf("%s refers to %s, which does not exist in the repository", page, name)
			}
		}
	}
}

// loggedMessages returns the messages of all calls that log at level warn or error, each with the
// position of a call.
func loggedMessages(t *testing.T) map[string]string {
	t.Helper()
	found := map[string]string{}
	for _, dir := range []string{"internal", "cmd/brasskeel"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
				strings.Contains(path, "simulator") {
				return err
			}
			fset := token.NewFileSet()
			f, err := parser.ParseFile(fset, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(f, func(n ast.Node) bool {
				if message, ok := warningMessage(n); ok {
					found[message] = fset.Position(n.Pos()).String()
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// warningMessage returns the message of a call that logs at level warn or error. ok is false for any
// other node, and for a message that is not a string literal.
func warningMessage(n ast.Node) (message string, ok bool) {
	call, isCall := n.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return "", false
	}
	function, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector || function.Sel.Name != "Warn" && function.Sel.Name != "Error" {
		return "", false
	}
	literal, isLiteral := call.Args[0].(*ast.BasicLit)
	if !isLiteral || literal.Kind != token.STRING {
		return "", false
	}
	message, err := strconv.Unquote(literal.Value)
	return message, err == nil
}

// TestWarningsAreDocumented checks that docs/OPERATIONS.md has every message that is logged at level
// warn or error.
func TestWarningsAreDocumented(t *testing.T) {
	raw, err := os.ReadFile("OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	messages := loggedMessages(t)
	if len(messages) == 0 {
		t.Fatal("found no call that logs a warning or error")
	}
	for message, where := range messages {
		if !strings.Contains(string(raw), "`"+message+"`") {
			t.Errorf("message %q (%s) is not documented in OPERATIONS.md", message, where)
		}
	}
}
