package settings

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/state"
)

// ByteSize is a number of bytes, written with a unit such as "64KiB".
type ByteSize int64

// Units of ByteSize.
const (
	Byte ByteSize = 1
	KiB           = 1024 * Byte
	MiB           = 1024 * KiB
	GiB           = 1024 * MiB
)

// byteUnits lists the units from largest to smallest. "B" must be last, since it is
// a suffix of the others.
var byteUnits = []struct {
	name string
	size ByteSize
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *ByteSize) UnmarshalText(text []byte) error {
	for _, unit := range byteUnits {
		number, ok := strings.CutSuffix(string(text), unit.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > int64((1<<62)/unit.size) {
			break
		}
		*b = ByteSize(n) * unit.size
		return nil
	}
	return errors.Newf("%q is not a size; write a whole number with B, KiB, MiB or GiB, such as \"64KiB\"", text)
}

// String returns the size with the largest unit that divides it.
func (b ByteSize) String() string {
	for _, unit := range byteUnits {
		if b != 0 && b%unit.size == 0 {
			return strconv.FormatInt(int64(b/unit.size), 10) + unit.name
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}

// Address is an IP address and a port, such as "10.0.0.1:8080". Host names are
// rejected, since a node must work without name resolution.
type Address struct{ netip.AddrPort }

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return errors.Newf("%q is not an IP address with a port, such as \"10.0.0.1:8080\" or \"[::1]:8080\"; host names are not resolved", text)
	}
	a.AddrPort = parsed
	return nil
}

// BaseURL is an http URL whose host is an IP address, such as "http://10.0.0.1:7000".
type BaseURL struct {
	Address netip.AddrPort
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (u *BaseURL) UnmarshalText(text []byte) error {
	host, ok := strings.CutPrefix(string(text), "http://")
	parsed, err := netip.ParseAddrPort(strings.TrimSuffix(host, "/"))
	if !ok || err != nil {
		return errors.Newf("%q is no base URL; write http:// with an IP address and a port, such as \"http://10.0.0.1:7000\"", text)
	}
	u.Address = parsed
	return nil
}

// String returns the URL without a trailing slash, or "" if it is not set.
func (u BaseURL) String() string {
	if !u.Address.IsValid() {
		return ""
	}
	return "http://" + u.Address.String()
}

// Name is an identifier that is valid in headers, metrics and the query language.
type Name string

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *Name) UnmarshalText(text []byte) error {
	if !state.ValidName(string(text)) {
		return errors.Newf("%q is not a valid name; use up to 128 letters, digits, '-', '_' and '.'", text)
	}
	*n = Name(text)
	return nil
}
