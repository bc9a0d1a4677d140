package base

import (
	"net/netip"
	"regexp"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pkg/errors"
)

// IsAddress is a validation rule that accepts an empty string or an IP address
// with a port, such as 127.0.0.1:8080. It rejects host names.
var IsAddress = validation.By(func(value any) error {
	text, _ := value.(string)
	if text == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.Errorf("%q is not an IP address and port", text)
	}
	return nil
})

// IsName is a validation rule for the names of machines, zones, services and
// routes. It accepts an empty string or 1 to 63 lowercase letters, digits and
// hyphens that begin with a letter.
var IsName = validation.Match(regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`))

// SetDefault sets target to value if target holds the zero value of its type.
func SetDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}
