package base

import (
	"net/netip"
	"regexp"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pkg/errors"
)

// IsAddress is a validation rule: a string must be empty or an IP address and a
// port, such as 127.0.0.1:8080. Host names are refused.
var IsAddress = validation.By(func(value any) error {
	text, _ := value.(string)
	if text == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.Errorf("%q is not an IP number and port", text)
	}
	return nil
})

// IsName is a validation rule: a string must be empty or a name of a machine,
// zone, service or route, as operators write them: small letters, digits and
// hyphens, at most 63, a letter first.
var IsName = validation.Match(regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`))

// SetDefault sets a value that isn't set, that is, has its type's zero value.
func SetDefault[T comparable](at *T, usual T) {
	var zero T
	if *at == zero {
		*at = usual
	}
}
