// Command namecheck fails if withdrawn names come back, or if the platform's names leave platform/. It parses the Go
// files of the folder that it is run in; generated code is left out.
//
//	namecheck < names.txt
//
// names.txt has a line each:
//
//	folder PATH            the folder, with all below it, declares no withdrawn name
//	withdrawn WORD FIELD'S TERM...  no identifier declared there has the word as one of its parts
//	keep IDENTIFIER REASON...  this identifier stays for the reason given
//	platform NAME          no string outside platform/ and deploy/ holds the name
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

// generatedFolder holds the code that is generated from the schema.
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

// check returns what the Go files below a folder break of the rules, sorted.
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
			return errors.Wrap(err, "folder")
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
