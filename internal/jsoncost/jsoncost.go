// Package jsoncost estimates the memory that JSON documents take once they are decoded. A few bytes of text may become a value of some
// hundred, so that a limit of the text alone does not bound it.
package jsoncost

import "github.com/cockroachdb/errors"

const (
	// maxDepth bounds the nesting of arrays and objects, as encoding/json does.
	maxDepth = 10_000
	// memberBytes is the memory of a name in an object while the object is read, with what a growing list of them leaves behind.
	memberBytes = 100
	// escapedBytes is the size of a character that is escaped, and replacementRatio that of invalid bytes to their replacement.
	escapedBytes     = 6
	replacementRatio = 3
)

// ErrTooDeep means that the arrays and objects of a document are nested too deeply.
var ErrTooDeep = errors.New("document is nested too deeply")

// Estimate returns how many bytes a document takes at most while it is decoded, without the document itself. elementBytes is
// the memory of an element of an array. The document need not be valid. It fails with ErrTooDeep.
func Estimate(document []byte, elementBytes int64) (int64, error) {
	var (
		text, elements int64
		members, most  int64
		// open has the members of each array or object that has not ended, and -1 for an array.
		open             []int64
		inText, escaping bool
	)
	for _, c := range document {
		text++
		switch {
		case c >= 0x80:
			text += replacementRatio - 1
		case c == '<' || c == '>' || c == '&':
			text += escapedBytes - 1
		}
		if inText {
			switch {
			case escaping:
				escaping = false
			case c == '\\':
				escaping = true
			case c == '"':
				inText = false
			}
			continue
		}
		switch c {
		case '"':
			inText = true
		case '[', '{':
			if len(open) == maxDepth {
				return 0, ErrTooDeep
			}
			if c == '[' {
				open = append(open, -1)
				elements++
			} else {
				open = append(open, 0)
			}
		case ']', '}':
			if last := len(open) - 1; last >= 0 {
				members -= max(0, open[last])
				open = open[:last]
			}
		case ',':
			if last := len(open) - 1; last >= 0 && open[last] < 0 {
				elements++
			}
		case ':':
			if last := len(open) - 1; last >= 0 && open[last] >= 0 {
				open[last]++
				members++
				most = max(most, members)
			}
		}
	}
	return text + elements*elementBytes + most*memberBytes, nil
}
