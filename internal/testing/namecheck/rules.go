package main

import (
	"bufio"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"strings"
	"unicode"

	"github.com/pkg/errors"
)

// platformFolders are the folders in which the platform's names may be used.
var platformFolders = []string{"platform", "deploy"}

// Rules lists the names that must not be declared and the strings that must not be used.
type Rules struct {
	folders   []string          // where withdrawn words are checked
	withdrawn map[string]string // the term to use instead, by the withdrawn word in lower case
	kept      map[string]bool   // identifiers that are allowed nevertheless
	platform  []string          // names that only platformFolders may contain
}

// ReadRules reads a list of rules in the format described in the command's documentation.
func ReadRules(list io.Reader) (*Rules, error) {
	rules := &Rules{withdrawn: map[string]string{}, kept: map[string]bool{}}
	scanner := bufio.NewScanner(list)
	for number := 1; scanner.Scan(); number++ {
		fields := strings.Fields(scanner.Text())
		switch {
		case len(fields) == 0 || strings.HasPrefix(fields[0], "#"):
		case fields[0] == "folder" && len(fields) == 2:
			rules.folders = append(rules.folders, fields[1])
		case fields[0] == "platform" && len(fields) == 2:
			rules.platform = append(rules.platform, fields[1])
		case fields[0] == "keep" && len(fields) >= 3:
			rules.kept[fields[1]] = true
		case fields[0] == "withdrawn" && len(fields) >= 3:
			rules.withdrawn[strings.ToLower(fields[1])] = strings.Join(fields[2:], " ")
		default:
			return nil, errors.Errorf("line %d is not a valid rule: %s", number, scanner.Text())
		}
	}
	return rules, errors.Wrap(scanner.Err(), "read the list")
}

// CheckFile returns the violations in the file at path. name is its path relative to the root.
func (r *Rules) CheckFile(name, path string) ([]string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, errors.Wrap(err, "parse")
	}
	position := func(pos token.Pos) string { return fmt.Sprintf("%s:%d", name, files.Position(pos).Line) }
	var found []string
	if inFolders(name, r.folders) {
		found = r.checkNames(file, position)
	}
	if !inFolders(name, platformFolders) {
		found = append(found, r.checkStrings(file, position)...)
	}
	return found, nil
}

// checkNames returns the declared identifiers that contain a withdrawn word.
func (r *Rules) checkNames(file *ast.File, position func(token.Pos) string) (found []string) {
	for _, declared := range declaredIdentifiers(file) {
		if r.kept[declared.Name] {
			continue
		}
		for _, part := range SplitIdentifier(declared.Name) {
			if term, known := r.withdrawn[part]; known {
				found = append(found, fmt.Sprintf("%s: %s: %q is withdrawn, use %s", position(declared.Pos()), declared.Name, part, term))
			}
		}
	}
	return found
}

// checkStrings returns the string literals that contain a name of the platform.
func (r *Rules) checkStrings(file *ast.File, position func(token.Pos) string) (found []string) {
	ast.Inspect(file, func(node ast.Node) bool {
		literal, ok := node.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		for _, platformName := range r.platform {
			if strings.Contains(literal.Value, platformName) {
				found = append(found, fmt.Sprintf("%s: %s is a name of the platform; only platform/ and deploy/ may contain it", position(literal.Pos()), platformName))
			}
		}
		return true
	})
	return found
}

// inFolders reports whether a file is in one of the folders or below.
func inFolders(name string, folders []string) bool {
	for _, folder := range folders {
		if strings.HasPrefix(name, folder+"/") {
			return true
		}
	}
	return false
}

// declaredIdentifiers returns the identifiers that a file declares: types, functions, fields, parameters, variables and
// constants.
func declaredIdentifiers(file *ast.File) (all []*ast.Ident) {
	ast.Inspect(file, func(node ast.Node) bool {
		switch declaration := node.(type) {
		case *ast.FuncDecl:
			all = append(all, declaration.Name)
		case *ast.TypeSpec:
			all = append(all, declaration.Name)
		case *ast.ValueSpec:
			all = append(all, declaration.Names...)
		case *ast.Field:
			all = append(all, declaration.Names...)
		case *ast.AssignStmt:
			all = append(all, newVariables(declaration.Tok, declaration.Lhs...)...)
		case *ast.RangeStmt:
			all = append(all, newVariables(declaration.Tok, declaration.Key, declaration.Value)...)
		}
		return true
	})
	return all
}

// newVariables returns the identifiers on the left side of a statement with :=, including those that it only reassigns.
func newVariables(operator token.Token, left ...ast.Expr) (all []*ast.Ident) {
	if operator != token.DEFINE {
		return nil
	}
	for _, each := range left {
		if name, ok := each.(*ast.Ident); ok && name != nil {
			all = append(all, name)
		}
	}
	return all
}

// SplitIdentifier splits an identifier into its words and converts them to lower case: "newNodeStatus" gives "new",
// "node" and "status". Words end where the case changes, at underscores, and between letters and digits.
func SplitIdentifier(identifier string) (parts []string) {
	runes := []rune(identifier)
	start := 0
	for i := 1; i < len(runes); i++ {
		previous, current := runes[i-1], runes[i]
		startsWord := unicode.IsLower(previous) && unicode.IsUpper(current)
		endsAcronym := unicode.IsUpper(previous) && unicode.IsUpper(current) && i+1 < len(runes) && unicode.IsLower(runes[i+1])
		if startsWord || endsAcronym || current == '_' || previous == '_' || unicode.IsDigit(current) != unicode.IsDigit(previous) {
			parts = append(parts, strings.ToLower(string(runes[start:i])))
			start = i
		}
	}
	return append(parts, strings.ToLower(string(runes[start:])))
}
