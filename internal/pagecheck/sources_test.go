package pagecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// repositoryRoot is the path from this package's directory, in which its tests run, to the repository.
const repositoryRoot = "../.."

// logCall is a call of a logger with a literal message.
type logCall struct {
	message string
	keys    map[string]bool // all string literals in the other arguments, among them the attributes' keys
}

// sourceIndex indexes the names and log calls that pages can refer to.
type sourceIndex struct {
	packages map[string]bool      // directories that hold a package, like "internal/storage"
	names    map[string]bool      // functions, methods and types, like "internal/storage.Cache.Apply"
	logCalls map[string][]logCall // by message
}

// parseSources indexes all Go files under cmd and internal except for tests.
func parseSources(t *testing.T) sourceIndex {
	t.Helper()
	found := sourceIndex{packages: map[string]bool{}, names: map[string]bool{}, logCalls: map[string][]logCall{}}
	for _, top := range []string{"cmd", "internal"} {
		root := filepath.Join(repositoryRoot, top)
		err := filepath.WalkDir(root, func(file string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
				return err
			}
			return found.addFile(file)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

func (s *sourceIndex) addFile(file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	relative, err := filepath.Rel(repositoryRoot, file)
	if err != nil {
		return err
	}
	directory := path.Dir(filepath.ToSlash(relative))
	s.packages[directory] = true
	for _, declaration := range parsed.Decls {
		s.addDeclaration(directory, declaration)
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		if call, ok := node.(*ast.CallExpr); ok {
			s.addLogCall(call)
		}
		return true
	})
	return nil
}

func (s *sourceIndex) addDeclaration(directory string, declaration ast.Decl) {
	switch declared := declaration.(type) {
	case *ast.FuncDecl:
		name := declared.Name.Name
		if declared.Recv != nil {
			name = receiverType(declared.Recv.List[0].Type) + "." + name
		}
		s.names[directory+"."+name] = true
	case *ast.GenDecl:
		for _, spec := range declared.Specs {
			if typeSpec, ok := spec.(*ast.TypeSpec); ok {
				s.names[directory+"."+typeSpec.Name.Name] = true
			}
		}
	}
}

// receiverType returns the name of a method's receiver type, without pointer and type parameters.
func receiverType(expression ast.Expr) string {
	switch receiver := expression.(type) {
	case *ast.StarExpr:
		return receiverType(receiver.X)
	case *ast.IndexExpr:
		return receiverType(receiver.X)
	case *ast.Ident:
		return receiver.Name
	}
	return ""
}

// addLogCall records a call if it is a call of a logger with a literal message.
func (s *sourceIndex) addLogCall(call *ast.CallExpr) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !isLogMethod(selector.Sel.Name) || !isLogger(selector.X) {
		return
	}
	message, ok := literalString(call.Args[0])
	if !ok {
		return
	}
	logged := logCall{message: message, keys: map[string]bool{}}
	for _, argument := range call.Args[1:] {
		ast.Inspect(argument, func(node ast.Node) bool {
			if expression, ok := node.(ast.Expr); ok {
				if key, ok := literalString(expression); ok {
					logged.keys[key] = true
				}
			}
			return true
		})
	}
	s.logCalls[message] = append(s.logCalls[message], logged)
}

func isLogMethod(name string) bool {
	switch name {
	case "Debug", "Info", "Warn", "Error":
		return true
	}
	return false
}

// isLogger reports whether an expression looks like a logger: an identifier or field named log, logger or slog in any
// case, or a call of the method With of one.
func isLogger(expression ast.Expr) bool {
	switch logger := expression.(type) {
	case *ast.Ident:
		name := strings.ToLower(logger.Name)
		return name == "log" || name == "logger" || name == "slog"
	case *ast.SelectorExpr:
		return isLogger(logger.Sel)
	case *ast.CallExpr:
		with, ok := logger.Fun.(*ast.SelectorExpr)
		return ok && with.Sel.Name == "With" && isLogger(with.X)
	}
	return false
}

func literalString(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}
