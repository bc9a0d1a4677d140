package main

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const exampleRules = `
# a comment
folder internal/lending
withdrawn keel controller
withdrawn mate peer or replica
keep KeelPath the wire names it
platform Shelf-Mark
`

func TestPartsFollowTheCaseOfAnIdentifier(t *testing.T) {
	for identifier, expected := range map[string][]string{
		"keel": {"keel"}, "newKeelView": {"new", "keel", "view"}, "HTTPMate": {"http", "mate"}, "mates_port2": {"mates", "_", "port", "2"}, "MateURL": {"mate", "url"},
	} {
		if found := SplitIdentifier(identifier); !reflect.DeepEqual(found, expected) {
			t.Errorf("%s has the parts %q", identifier, found)
		}
	}
}

// folderWith returns a folder that holds one file.
func folderWith(t *testing.T, file, source string) string {
	t.Helper()
	root := t.TempDir()
	path := filepath.Join(root, file)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(source), 0o644); err != nil {
		t.Fatal(err)
	}
	return root
}

func TestCheck(t *testing.T) {
	for _, each := range []struct {
		about, file, source string
		expected            []string
	}{
		{"a clean file", "internal/lending/a.go", "package lending\n\nfunc Peer() string { return \"keel\" }\n", nil},
		{"a function", "internal/lending/a.go", "package lending\n\nfunc OpenKeel() {}\n", []string{"keel"}},
		{"a field and a parameter", "internal/lending/a.go", "package lending\n\ntype T struct{ Mate int }\n\nfunc f(keelAt int) {}\n", []string{"mate", "keel"}},
		{"variables", "internal/lending/a.go", "package lending\n\nvar keel = 1\n\nfunc f() {\n\tmate := 1\n\tfor keel, mate := range []int{mate} {\n\t\t_, _ = keel, mate\n\t}\n}\n", []string{"keel", "mate", "keel", "mate"}},
		{"a name of a library's, used only", "internal/lending/a.go", "package lending\n\nimport \"x/keel\"\n\nvar a = keel.Keel\n", nil},
		{"a word within a word", "internal/lending/a.go", "package lending\n\nvar climate, inmates, keelson int\n", nil},
		{"an identifier that is kept", "internal/lending/a.go", "package lending\n\nfunc KeelPath() {}\n", nil},
		{"another folder", "internal/loans/a.go", "package loans\n\nvar keel int\n", nil},
		{"a name of the platform's", "internal/loans/a.go", "package loans\n\nvar header = \"Shelf-Mark: 7\"\n", []string{"Shelf-Mark"}},
		{"a name of the platform's in a comment", "internal/loans/a.go", "package loans // Shelf-Mark\n", nil},
		{"a name of the platform's in platform/", "platform/a.go", "package platform\n\nvar header = \"Shelf-Mark\"\n", nil},
		{"generated code", "proto/wire/a.go", "package wire\n\nvar header = \"Shelf-Mark\"\n", nil},
	} {
		t.Run(each.about, func(t *testing.T) {
			found, err := check(folderWith(t, each.file, each.source), strings.NewReader(exampleRules))
			if err != nil || len(found) != len(each.expected) {
				t.Fatalf("found %q, %v", found, err)
			}
			for _, word := range each.expected {
				if !strings.Contains(strings.Join(found, "\n"), word) {
					t.Errorf("%s isn't named in %q", word, found)
				}
			}
		})
	}
}

func TestMalformedRulesAreNamed(t *testing.T) {
	for _, line := range []string{"withdrawn keel", "folder", "platform a b", "keel controller"} {
		if _, err := ReadRules(strings.NewReader("folder a\n" + line)); err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: %v", line, err)
		}
	}
}
