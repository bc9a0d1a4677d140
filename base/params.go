package base

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/proto/wire"
)

// LoadParams reads parameters from a JSON file into a message. It does nothing if
// the file name is empty.
func LoadParams(file string, message proto.Message) error {
	if file == "" {
		return nil
	}
	body, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "params")
	}
	return errors.Wrap(protojson.Unmarshal(body, message), "params")
}

// DefaultBounds sets each unset bound in b to its default and returns b. If b is
// nil, it returns a new message with all defaults.
func DefaultBounds(b *wire.Bounds) *wire.Bounds {
	if b == nil {
		b = &wire.Bounds{}
	}
	setDefault := func(field **durationpb.Duration, value time.Duration) {
		if *field == nil {
			*field = durationpb.New(value)
		}
	}
	setDefault(&b.InForce, 2*time.Second)
	setDefault(&b.SlideBack, 250*time.Millisecond)
	setDefault(&b.Leaving, 2*time.Second)
	setDefault(&b.Grace, 6*time.Second)
	setDefault(&b.Recovery, 15*time.Second)
	setDefault(&b.Alone, 0)
	return b
}

// CheckBounds returns an error that names each bound outside its limits, or nil.
func CheckBounds(b *wire.Bounds) error {
	inRange := func(low, high time.Duration) validation.Rule {
		return validation.By(func(value any) error {
			d := value.(*durationpb.Duration).AsDuration()
			return validation.Validate(d, validation.Min(low), validation.Max(high))
		})
	}
	return validation.ValidateStruct(b,
		validation.Field(&b.InForce, inRange(200*time.Millisecond, time.Minute)),
		validation.Field(&b.SlideBack, inRange(20*time.Millisecond, 10*time.Second)),
		validation.Field(&b.Leaving, inRange(200*time.Millisecond, time.Minute)),
		validation.Field(&b.Grace, inRange(time.Second, 5*time.Minute)),
		validation.Field(&b.Recovery, inRange(time.Second, 5*time.Minute)),
		validation.Field(&b.Alone, inRange(0, 30*24*time.Hour)),
	)
}

// ErrorLines returns the failures of a validation error as sorted lines of the
// form "field: reason", with the names of nested fields joined by ": ". Any other
// error becomes a single line.
func ErrorLines(err error) []string {
	var fieldErrors validation.Errors
	if !errors.As(err, &fieldErrors) {
		return []string{err.Error()}
	}
	var lines []string
	for name, fieldErr := range fieldErrors {
		for _, line := range ErrorLines(fieldErr) {
			lines = append(lines, fmt.Sprintf("%s: %s", name, line))
		}
	}
	slices.Sort(lines)
	return lines
}

// ExitWithParamErrors prints the parameter errors of a program to standard error
// and exits with status 2.
func ExitWithParamErrors(program string, err error) {
	fmt.Fprintf(os.Stderr, "%s: invalid parameters\n  %s\n", program, strings.Join(ErrorLines(err), "\n  "))
	os.Exit(2)
}
