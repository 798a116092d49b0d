// Package dfudocs_test checks the documentation pages against the code.
package dfudocs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// root is the directory of the module.
const root = "../.."

var (
	testName   = regexp.MustCompile("`([a-z/]+) (Test\\w+)(?:/([\\w.*-]+))?`")
	pageLink   = regexp.MustCompile(`\]\(([^)\s#]+)(?:#[^)]*)?\)`)
	pagePath   = regexp.MustCompile(`\bdocs/[\w./-]+\.md\b`)
	metricRow  = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|")
	inlineCode = regexp.MustCompile("`([^`\n]+)`")
	invocation = regexp.MustCompile(`(?:^|[\s/])dragonflyusher((?:\s+--[\w-]+(?:\s+[A-Z0-9][\w.:]*)?)*)\s+([a-z]+)`)
	subcommand = regexp.MustCompile(`\{"([a-z]+)", "[^"]+", &\w+Command\{\}\}`)
)

// TestPromisesNameTests checks that each test and test session that is named in
// docs/PROMISES.md exists. A star in the name of a session matches any characters.
func TestPromisesNameTests(t *testing.T) {
	is := is.New(t)
	names := testName.FindAllStringSubmatch(read(t, "docs/PROMISES.md"), -1)
	is.True(len(names) > 0)
	for _, name := range names {
		dir, function, session := filepath.Join(root, name[1]), name[2], name[3]
		if !slices.Contains(testsOf(t, dir), function) {
			t.Errorf("%s has no test %s", name[1], function)
		}
		if session != "" && len(sessionsOf(t, dir, strings.TrimSuffix(session, ".txtar")+".txtar")) == 0 {
			t.Errorf("%s has no session %s", name[1], session)
		}
	}
}

// TestLinksResolve checks that the relative links of all pages, and the paths of
// pages in their text, lead to existing files.
func TestLinksResolve(t *testing.T) {
	for path, text := range pages(t) {
		for _, link := range pageLink.FindAllStringSubmatch(text, -1) {
			if !strings.Contains(link[1], "://") {
				exists(t, path, filepath.Join(filepath.Dir(path), link[1]))
			}
		}
		for _, name := range pagePath.FindAllString(text, -1) {
			exists(t, path, filepath.Join(root, name))
		}
	}
}

// TestMetricsAreListed checks that docs/METRICS.md lists exactly the metrics that
// the code registers.
func TestMetricsAreListed(t *testing.T) {
	is := is.New(t)
	var listed []string
	for _, row := range metricRow.FindAllStringSubmatch(read(t, "docs/METRICS.md"), -1) {
		listed = append(listed, row[1])
	}
	registered := registeredMetrics(t)
	is.True(len(registered) > 0)
	for _, name := range listed {
		if !slices.ContainsFunc(registered, func(m metric) bool { return m.covers(name) }) {
			t.Errorf("no code registers the metric %s", name)
		}
	}
	for _, m := range registered {
		if !slices.ContainsFunc(listed, m.covers) {
			t.Errorf("docs/METRICS.md lacks the metric %s", m.name)
		}
	}
}

// TestSubcommandsExist checks that the client has each subcommand that the pages
// show as code.
func TestSubcommandsExist(t *testing.T) {
	is := is.New(t)
	var known []string
	for _, match := range subcommand.FindAllStringSubmatch(read(t, "io/process/dfuoperator/operator.go"), -1) {
		known = append(known, match[1])
	}
	is.True(len(known) > 0)
	found := 0
	for path, text := range pages(t) {
		for _, code := range codeOf(text) {
			for _, match := range invocation.FindAllStringSubmatch(code, -1) {
				found++
				if !slices.Contains(known, match[2]) {
					t.Errorf("%s: the client has no subcommand %s", path, match[2])
				}
			}
		}
	}
	is.True(found > 0)
}

// metric is the name of a registered metric, or a prefix if the rest of the name is
// computed.
type metric struct {
	name   string
	prefix bool
}

func (m metric) covers(name string) bool {
	return name == m.name || m.prefix && strings.HasPrefix(name, m.name)
}

func registeredMetrics(t *testing.T) []metric {
	var found []metric
	walk(t, "io", ".go", func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		ast.Inspect(parse(t, path), func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			if f, ok := call.Fun.(*ast.SelectorExpr); ok && strings.HasPrefix(f.Sel.Name, "GetOrRegister") {
				found = append(found, metricOf(t, path, call.Args[0]))
			}
			return true
		})
	})
	return found
}

// metricOf returns the metric for the name argument of a registration, which must be
// a string literal or a concatenation that begins with one.
func metricOf(t *testing.T, path string, e ast.Expr) metric {
	prefix := false
	for {
		sum, ok := e.(*ast.BinaryExpr)
		if !ok {
			break
		}
		prefix = true
		e = sum.X
	}
	literal, ok := e.(*ast.BasicLit)
	if !ok {
		t.Fatalf("%s: a metric's name must begin with a literal", path)
	}
	name, err := strconv.Unquote(literal.Value)
	if err != nil {
		t.Fatal(err)
	}
	return metric{name, prefix}
}

// codeOf returns the inline code and the indented lines, which are code blocks, of a
// page.
func codeOf(text string) []string {
	var code []string
	for _, match := range inlineCode.FindAllStringSubmatch(text, -1) {
		code = append(code, match[1])
	}
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "    ") {
			code = append(code, line)
		}
	}
	return code
}

func testsOf(t *testing.T, dir string) []string {
	var names []string
	paths, _ := filepath.Glob(filepath.Join(dir, "*_test.go"))
	for _, path := range paths {
		for _, decl := range parse(t, path).Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && f.Recv == nil {
				names = append(names, f.Name.Name)
			}
		}
	}
	return names
}

func sessionsOf(t *testing.T, dir, pattern string) []string {
	var found []string
	for _, below := range []string{"testdata", "testdata/*"} {
		paths, err := filepath.Glob(filepath.Join(dir, below, pattern))
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, paths...)
	}
	return found
}

func parse(t *testing.T, path string) *ast.File {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// pages returns the text of each Markdown page of the module by path.
func pages(t *testing.T) map[string]string {
	texts := map[string]string{}
	walk(t, ".", ".md", func(path string) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		texts[path] = string(text)
	})
	return texts
}

// walk calls visit for each file under below whose name ends in suffix, except in
// hidden directories.
func walk(t *testing.T, below, suffix string, visit func(path string)) {
	err := filepath.WalkDir(filepath.Join(root, below), func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && strings.HasPrefix(d.Name(), ".") && d.Name() != "..":
			return filepath.SkipDir
		case !d.IsDir() && strings.HasSuffix(path, suffix):
			visit(path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func exists(t *testing.T, page, path string) {
	if _, err := os.Stat(path); err != nil {
		t.Errorf("%s: %v", page, err)
	}
}

func read(t *testing.T, path string) string {
	text, err := os.ReadFile(filepath.Join(root, path))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
