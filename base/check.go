package base

import (
	"net/netip"

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
