package command

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/adminapi"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

// TestOperationsPageIsComplete checks that docs/OPERATIONS.md lists every log
// message, refusal reason, error code, settings field and command of the
// programs.
func TestOperationsPageIsComplete(t *testing.T) {
	page := readFile(t, filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	check := func(kind, name string) {
		if !strings.Contains(page, "`"+name+"`") && !strings.Contains(page, "."+name+"`") {
			t.Errorf("%s %q is missing in docs/OPERATIONS.md", kind, name)
		}
	}
	for _, file := range parsePackages(t) {
		ast.Inspect(file, func(node ast.Node) bool {
			if message, ok := logMessage(node); ok {
				check("log message", message)
			}
			for _, name := range constantsOf(node, "Reason", "ErrorCode") {
				check("reason or code", name)
			}
			return true
		})
	}
	for _, document := range []any{settings.Entry{}, settings.Agent{}, settings.Gateway{}, settings.Runner{}, lists.Plans{}, lists.Allowances{}} {
		for _, field := range leafFields(reflect.TypeOf(document)) {
			check("field", field)
		}
	}
	for _, command := range append(EntryCommands(), AgentCommands()...) {
		if !strings.Contains(page, "`"+command.Name+" ") && !strings.Contains(page, "`"+command.Name+"`") {
			t.Errorf("command %q is missing in docs/OPERATIONS.md", command.Name)
		}
	}
	for _, flag := range adminFlags() {
		check("flag", "--"+flag.(*cli.StringFlag).Name)
	}
	for _, path := range []string{adminapi.ListsPath, adminapi.StatusPath, adminapi.DumpPath} {
		if !strings.Contains(page, "GET "+path) {
			t.Errorf("path %s is missing in docs/OPERATIONS.md", path)
		}
	}
}

func parsePackages(t *testing.T) []*ast.File {
	t.Helper()
	var files []*ast.File
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		files = append(files, file)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// logMessage returns the message of a logger call above debug level.
func logMessage(node ast.Node) (string, bool) {
	call, ok := node.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	message := call.Args[0]
	switch method.Sel.Name {
	case "Info", "Warn", "Error":
	case "LogAttrs":
		message = call.Args[2]
	default:
		return "", false
	}
	return literal(message)
}

func literal(expression ast.Expr) (string, bool) {
	value, ok := expression.(*ast.BasicLit)
	if !ok || value.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(value.Value)
	return text, err == nil
}

// constantsOf returns the values of string constants whose type has one of the names.
func constantsOf(node ast.Node, types ...string) []string {
	spec, ok := node.(*ast.ValueSpec)
	if !ok || len(spec.Values) == 0 {
		return nil
	}
	name := ""
	switch kind := spec.Type.(type) {
	case *ast.Ident:
		name = kind.Name
	case *ast.SelectorExpr:
		name = kind.Sel.Name
	}
	var values []string
	for _, wanted := range types {
		if text, ok := literal(spec.Values[0]); ok && name == wanted {
			values = append(values, text)
		}
	}
	return values
}

// leafFields returns the JSON names of a document's fields that are not nested
// structs.
func leafFields(kind reflect.Type) []string {
	for kind.Kind() == reflect.Pointer || kind.Kind() == reflect.Slice {
		kind = kind.Elem()
	}
	if kind.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for i := range kind.NumField() {
		field := kind.Field(i)
		nested := leafFields(field.Type)
		if nested == nil {
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			nested = []string{name}
		}
		names = append(names, nested...)
	}
	return names
}
