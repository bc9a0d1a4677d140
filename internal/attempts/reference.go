package attempts

import (
	"strconv"
	"strings"
)

// Reference identifies one attempt. On the node that runs the upstream it also has the attempt's entry in the table. The
// zero value is the reference of attempts whose state cannot be queried.
type Reference struct {
	ID    ID
	Mark  Mark
	Entry *Entry
}

// IsSet reports whether the attempt has an identity, so that its state can be queried.
func (r Reference) IsSet() bool { return r.ID != "" }

// Begin must be called immediately before the first byte is sent to the upstream. If it returns false, the attempt is
// fenced and must not run. Attempts without an entry may always run.
func (r Reference) Begin() bool { return r.Entry == nil || r.Entry.Begin() }

// String returns the reference as it is sent in a header, without its entry.
func (r Reference) String() string { return string(r.ID) + ";" + r.Mark.String() }

// ParseReference parses what Reference.String returned. ok is false if the text is not a reference.
func ParseReference(text string) (r Reference, ok bool) {
	id, mark, _ := strings.Cut(text, ";")
	r.ID = ID(id)
	r.Mark, ok = ParseMark(mark)
	return r, ok && id != ""
}

// String returns the mark as it is sent in a header.
func (m Mark) String() string { return m.Incarnation + "." + strconv.FormatUint(m.Era, 10) }

// ParseMark parses what Mark.String returned. ok is false if the text is not a mark.
func ParseMark(text string) (m Mark, ok bool) {
	incarnation, era, _ := strings.Cut(text, ".")
	number, err := strconv.ParseUint(era, 10, 64)
	return Mark{Incarnation: incarnation, Era: number}, err == nil && incarnation != ""
}
