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

// LoadParams reads params from a JSON file into a message. No file name means
// nothing to read.
func LoadParams(file string, into proto.Message) error {
	if file == "" {
		return nil
	}
	body, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "params")
	}
	return errors.Wrap(protojson.Unmarshal(body, into), "params")
}

// DefaultBounds sets each bound that isn't set to its default, in b itself, and
// returns it. A nil b gives the defaults.
func DefaultBounds(b *wire.Bounds) *wire.Bounds {
	if b == nil {
		b = &wire.Bounds{}
	}
	usual := func(at **durationpb.Duration, d time.Duration) {
		if *at == nil {
			*at = durationpb.New(d)
		}
	}
	usual(&b.InForce, 2*time.Second)
	usual(&b.SlideBack, 250*time.Millisecond)
	usual(&b.Leaving, 2*time.Second)
	usual(&b.Grace, 6*time.Second)
	usual(&b.Recovery, 15*time.Second)
	usual(&b.Alone, 0)
	return b
}

// CheckBounds returns an error that names each bound outside its limits.
func CheckBounds(b *wire.Bounds) error {
	within := func(low, high time.Duration) validation.Rule {
		return validation.By(func(value any) error {
			d := value.(*durationpb.Duration).AsDuration()
			return validation.Validate(d, validation.Min(low), validation.Max(high))
		})
	}
	return validation.ValidateStruct(b,
		validation.Field(&b.InForce, within(200*time.Millisecond, time.Minute)),
		validation.Field(&b.SlideBack, within(20*time.Millisecond, 10*time.Second)),
		validation.Field(&b.Leaving, within(200*time.Millisecond, time.Minute)),
		validation.Field(&b.Grace, within(time.Second, 5*time.Minute)),
		validation.Field(&b.Recovery, within(time.Second, 5*time.Minute)),
		validation.Field(&b.Alone, within(0, 30*24*time.Hour)),
	)
}

// ErrorLines returns a validation error as sorted lines "field: reason".
func ErrorLines(err error) []string {
	var many validation.Errors
	if !errors.As(err, &many) {
		return []string{err.Error()}
	}
	var lines []string
	for name, each := range many {
		for _, line := range ErrorLines(each) {
			lines = append(lines, fmt.Sprintf("%s: %s", name, line))
		}
	}
	slices.Sort(lines)
	return lines
}

// ExitWithParamErrors prints a program's bad params and exits with code 2.
func ExitWithParamErrors(program string, err error) {
	fmt.Fprintf(os.Stderr, "%s: bad params\n  %s\n", program, strings.Join(ErrorLines(err), "\n  "))
	os.Exit(2)
}
