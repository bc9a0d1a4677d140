// Command namecheck fails if a withdrawn name is declared again, or if a name of the platform is used outside platform/
// and deploy/. It parses all Go files below the current folder except generated code.
//
//	namecheck < names.txt
//
// Each line of names.txt is empty, a comment that begins with #, or one of:
//
//	folder PATH                     no withdrawn name may be declared in the folder or below
//	withdrawn WORD TERM...          no identifier declared there may contain the word; the term replaces it
//	keep IDENTIFIER REASON...       the identifier is allowed, for the given reason
//	platform NAME                   no string literal outside platform/ and deploy/ may contain the name
//
// It prints one line per violation and exits with status 1 if there are any, and with 2 on other errors.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// generatedFolder holds the code generated from the protobuf schema. It isn't checked.
const generatedFolder = "proto/wire"

func main() {
	found, err := check(".", os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "namecheck:", err)
		os.Exit(2)
	}
	for _, each := range found {
		fmt.Println(each)
	}
	if len(found) > 0 {
		os.Exit(1)
	}
}

// check returns the violations of the rules in the Go files below a folder, sorted.
func check(root string, list io.Reader) ([]string, error) {
	rules, err := ReadRules(list)
	if err != nil {
		return nil, err
	}
	var found []string
	err = filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return errors.Wrap(err, "relative path")
		}
		name = filepath.ToSlash(name)
		if entry.IsDir() {
			if name == generatedFolder || strings.HasPrefix(entry.Name(), ".") && name != "." {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		findings, err := rules.CheckFile(name, path)
		found = append(found, findings...)
		return err
	})
	slices.Sort(found)
	return found, err
}
