package testutil

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// failedTest is a test that has failed.
type failedTest struct {
	testing.TB
	failed  bool
	printed []string
}

func (f *failedTest) Helper()         {}
func (f *failedTest) Name() string    { return "TestX/part" }
func (f *failedTest) Failed() bool    { return f.failed }
func (f *failedTest) Log(args ...any) { f.printed = append(f.printed, fmt.Sprintln(args...)) }

// TestLogOfFailedTestIsKept asks for the logs of a test that has failed and of one that has not.
func TestLogOfFailedTestIsKept(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "logs")
	t.Setenv(keptLogsVariable, dir)
	long := strings.Repeat("a line of the log\n", 10_000)
	var b LogBuffer
	_, err := b.Write([]byte(long))
	is.NoErr(err)
	passed, failed := &failedTest{}, &failedTest{failed: true}
	b.KeepIfFailed(passed, "core")
	is.Equal(len(passed.printed), 0)
	b.KeepIfFailed(failed, "core")
	is.Equal(len(failed.printed), 1)
	path := strings.TrimSpace(strings.TrimPrefix(failed.printed[0], "whole log: "))
	is.Equal(filepath.Dir(path), dir)
	kept, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(string(kept), long)
}
