package contract

import (
	"strconv"
	"strings"
	"time"

	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml/ast"
)

// String returns the duration in Go's notation, as in "1.5s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes the duration as in "1.5s".
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalYAML decodes a duration. The error carries the field and the line.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	return yamlcheck.UnmarshalScalar(node, d)
}

// UnmarshalText decodes a duration with units, as in "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration with a unit, such as 1.5s", text)
	}
	*d = Duration(v)
	return nil
}

// byteUnit is a unit of memory and its size in bytes.
type byteUnit struct {
	suffix string
	size   int64
}

// byteUnits lists the units from large to small. "B" is last, as it is a suffix of all
// others.
var byteUnits = []byteUnit{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// String returns the amount as a whole number of the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if b != 0 && int64(b)%u.size == 0 {
			return strconv.FormatInt(int64(b)/u.size, 10) + u.suffix
		}
	}
	return "0B"
}

// MarshalText encodes the amount as in "14GiB".
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalYAML decodes an amount. The error carries the field and the line.
func (b *Bytes) UnmarshalYAML(node ast.Node) error {
	return yamlcheck.UnmarshalScalar(node, b)
}

// UnmarshalText decodes an amount with a unit, as in "14GiB" or "1.5GiB". The largest
// amount is 1 EiB.
func (b *Bytes) UnmarshalText(text []byte) error {
	s := strings.TrimSpace(string(text))
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || v < 0 || v*float64(u.size) > 1<<60 {
			break
		}
		*b = Bytes(v * float64(u.size))
		return nil
	}
	return errors.Newf("%q is not an amount of memory with a unit, such as 14GiB", text)
}
