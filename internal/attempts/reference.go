package attempts

import (
	"strconv"
	"strings"
)

// Reference names one attempt, and on the node beside the upstream its entry in the table. The zero value stands for attempts
// that nobody asks about.
type Reference struct {
	ID    ID
	Mark  Mark
	Entry *Entry
}

// IsSet tells whether anybody can ask about the attempt.
func (r Reference) IsSet() bool { return r.ID != "" }

// Begin is asked right before the first byte may go to the upstream; false means that the attempt must never run.
func (r Reference) Begin() bool { return r.Entry == nil || r.Entry.Begin() }

// String is the reference as it is sent, without its entry.
func (r Reference) String() string { return string(r.ID) + ";" + r.Mark.String() }

// ParseReference reads a reference that was sent; ok is false if there is none.
func ParseReference(text string) (r Reference, ok bool) {
	id, mark, _ := strings.Cut(text, ";")
	r.ID = ID(id)
	r.Mark, ok = ParseMark(mark)
	return r, ok && id != ""
}

// String is the mark as it is sent.
func (m Mark) String() string { return m.Incarnation + "." + strconv.FormatUint(m.Era, 10) }

// ParseMark reads a mark that was sent as text.
func ParseMark(text string) (m Mark, ok bool) {
	incarnation, era, _ := strings.Cut(text, ".")
	number, err := strconv.ParseUint(era, 10, 64)
	return Mark{Incarnation: incarnation, Era: number}, err == nil && incarnation != ""
}
