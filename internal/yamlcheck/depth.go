package yamlcheck

import (
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// tooDeep returns the line on which lists and mappings in brackets, or entries that begin on the same line, are nested deeper than
// maxDepth. Deeper nesting by indentation is as long as it is deep.
func tooDeep(data []byte) (line int, found bool) {
	brackets, entries, entryLine := 0, 0, 0
	for _, t := range lexer.Tokenize(string(data)) {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			brackets++
		case token.SequenceEndType, token.MappingEndType:
			brackets--
		case token.SequenceEntryType, token.MappingKeyType:
			if t.Position.Line != entryLine {
				entries, entryLine = 0, t.Position.Line
			}
			entries++
		}
		if max(brackets, entries) > maxDepth {
			return t.Position.Line, true
		}
	}
	return 0, false
}
