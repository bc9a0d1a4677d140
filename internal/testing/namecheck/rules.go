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

// platformFolders may hold the platform's names.
var platformFolders = []string{"platform", "deploy"}

// Rules say which names may not be declared, and which texts may not be held.
type Rules struct {
	folders   []string
	withdrawn map[string]string // the field's term, by the withdrawn word in lower case
	kept      map[string]bool   // identifiers that stay
	platform  []string
}

// ReadRules reads a list of rules; its form is described at the command.
func ReadRules(list io.Reader) (*Rules, error) {
	rules := &Rules{withdrawn: map[string]string{}, kept: map[string]bool{}}
	lines := bufio.NewScanner(list)
	for number := 1; lines.Scan(); number++ {
		fields := strings.Fields(lines.Text())
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
			return nil, errors.Errorf("line %d is no rule: %s", number, lines.Text())
		}
	}
	return rules, errors.Wrap(lines.Err(), "read the list")
}

// CheckFile returns what a file breaks; name is its path from the root.
func (r *Rules) CheckFile(name, path string) ([]string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, errors.Wrap(err, "parse")
	}
	at := func(position token.Pos) string { return fmt.Sprintf("%s:%d", name, files.Position(position).Line) }
	var found []string
	if within(name, r.folders) {
		found = r.checkNames(file, at)
	}
	if !within(name, platformFolders) {
		found = append(found, r.checkTexts(file, at)...)
	}
	return found, nil
}

// checkNames returns the withdrawn words among the parts of declared identifiers.
func (r *Rules) checkNames(file *ast.File, at func(token.Pos) string) (found []string) {
	for _, declared := range declaredIn(file) {
		if r.kept[declared.Name] {
			continue
		}
		for _, part := range SplitIdentifier(declared.Name) {
			if term, known := r.withdrawn[part]; known {
				found = append(found, fmt.Sprintf("%s: %s: %q is withdrawn, use %s", at(declared.Pos()), declared.Name, part, term))
			}
		}
	}
	return found
}

// checkTexts returns the platform's names among the string literals.
func (r *Rules) checkTexts(file *ast.File, at func(token.Pos) string) (found []string) {
	ast.Inspect(file, func(node ast.Node) bool {
		text, ok := node.(*ast.BasicLit)
		if !ok || text.Kind != token.STRING {
			return true
		}
		for _, each := range r.platform {
			if strings.Contains(text.Value, each) {
				found = append(found, fmt.Sprintf("%s: %s is a name of the platform's, which only platform/ knows", at(text.Pos()), each))
			}
		}
		return true
	})
	return found
}

func within(name string, folders []string) bool {
	for _, folder := range folders {
		if strings.HasPrefix(name, folder+"/") {
			return true
		}
	}
	return false
}

// declaredIn lists the identifiers that a file declares: types, functions, fields, parameters, variables and constants.
func declaredIn(file *ast.File) (all []*ast.Ident) {
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
			all = append(all, assigned(declaration.Tok, declaration.Lhs...)...)
		case *ast.RangeStmt:
			all = append(all, assigned(declaration.Tok, declaration.Key, declaration.Value)...)
		}
		return true
	})
	return all
}

// assigned lists the identifiers that a statement with := declares, or declares again.
func assigned(operator token.Token, left ...ast.Expr) (all []*ast.Ident) {
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

// SplitIdentifier splits an identifier where its case changes, in lower case: "newNodeStatus" is new, node and status.
func SplitIdentifier(identifier string) (parts []string) {
	runes := []rune(identifier)
	start := 0
	for i := 1; i < len(runes); i++ {
		before, here := runes[i-1], runes[i]
		word := unicode.IsLower(before) && unicode.IsUpper(here)
		endOfCapitals := unicode.IsUpper(before) && unicode.IsUpper(here) && i+1 < len(runes) && unicode.IsLower(runes[i+1])
		if word || endOfCapitals || here == '_' || before == '_' || unicode.IsDigit(here) != unicode.IsDigit(before) {
			parts = append(parts, strings.ToLower(string(runes[start:i])))
			start = i
		}
	}
	return append(parts, strings.ToLower(string(runes[start:])))
}
