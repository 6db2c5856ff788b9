package connlimit

import "bytes"

// headScanner finds the end of a head: the first empty line after another line. Lines end as net/http's do, with or without a
// carriage return.
type headScanner struct {
	// bytes and lines count those of the head so far, empty lines before it included.
	bytes, lines int64
	// inLine is the number of bytes of the current line so far, and onlyReturn is set if it is just a carriage return.
	inLine     int
	onlyReturn bool
	// started is set once there was a line that is not empty.
	started bool
}

// next reads on. It returns the number of bytes that belong to the head, and whether they end it.
func (s *headScanner) next(p []byte) (taken int, ended bool) {
	for taken < len(p) {
		line := p[taken:]
		end := bytes.IndexByte(line, '\n')
		whole := end >= 0
		if whole {
			line = line[:end]
		}
		if len(line) > 0 {
			s.onlyReturn = s.inLine == 0 && len(line) == 1 && line[0] == '\r'
			s.inLine += len(line)
		}
		taken += len(line)
		if !whole {
			break
		}
		taken++
		s.lines++
		empty := s.inLine == 0 || s.onlyReturn
		s.inLine, s.onlyReturn = 0, false
		if empty && s.started {
			ended = true
			s.started = false
			break
		}
		s.started = s.started || !empty
	}
	s.bytes += int64(taken)
	return taken, ended
}
