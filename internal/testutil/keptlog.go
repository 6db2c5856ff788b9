package testutil

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// keptLogsVariable names the folder that keeps the logs of failed tests; that of other temporary files if it is not set.
const keptLogsVariable = "AGATESLIP_TEST_LOGS"

// KeepIfFailed keeps the whole log in a file if the test has failed, and prints its path. What the test itself prints of the
// log often begins too late to tell the cause, and a failure that comes once in a hundred runs is not had again.
func (b *LogBuffer) KeepIfFailed(t testing.TB, name string) {
	t.Helper()
	if !t.Failed() {
		return
	}
	dir := os.Getenv(keptLogsVariable)
	if dir != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Log("log not kept:", err)
			return
		}
	}
	file, err := os.CreateTemp(dir, strings.ReplaceAll(t.Name(), string(filepath.Separator), "-")+"-"+name+"-*.log")
	if err != nil {
		t.Log("log not kept:", err)
		return
	}
	defer file.Close()
	if _, err := file.WriteString(b.Tail(math.MaxInt)); err != nil {
		t.Log("log not kept:", err)
		return
	}
	t.Log("whole log:", file.Name())
}
