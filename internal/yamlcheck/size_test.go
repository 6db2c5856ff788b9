package yamlcheck

import (
	"runtime"
	"strings"
	"testing"
)

// TestInvalidDocumentsCostNoMoreThanTheirSize guards against documents whose memory grows with the square of their text.
func TestInvalidDocumentsCostNoMoreThanTheirSize(t *testing.T) {
	type item struct {
		Name string `yaml:"name" validate:"required"`
		Size int    `yaml:"size" validate:"gt=0"`
	}
	type document struct {
		Items []item `yaml:"items" validate:"dive"`
	}
	allocated := func(text string) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var out document
		if Decode("f", []byte(text), &out, nil) == nil {
			t.Error("accepted")
		}
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	for name, text := range map[string]func(n int) string{
		"open lists":      func(n int) string { return strings.Repeat("[", n) },
		"nested lists":    func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) },
		"nested mappings": func(n int) string { return strings.Repeat("{a: ", n) + strings.Repeat("}", n) },
		"nested entries":  func(n int) string { return strings.Repeat("- ", n) + "a" },
		"nested keys":     func(n int) string { return strings.Repeat("? ", n) + "a" },
		"other types":     func(n int) string { return "items: [" + strings.Repeat("[],", n) + "[]]" },
		"empty mappings":  func(n int) string { return "items: [" + strings.Repeat("{},", n) + "{}]" },
		"empty lines":     func(n int) string { return "items:\n" + strings.Repeat("  - {}\n", n) },
		"long key":        func(n int) string { return strings.Repeat("a", n) + ": 1" },
	} {
		t.Run(name, func(t *testing.T) {
			// Twice the text may take up to two and a half times the memory, as buffers double.
			half, whole := allocated(text(2000)), allocated(text(4000))
			t.Logf("%d bytes a byte", whole/uint64(len(text(4000))))
			if whole > half*5/2 {
				t.Errorf("%d bytes for half of the text, %d for the whole", half, whole)
			}
		})
	}
}
