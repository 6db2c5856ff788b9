package testutil

import (
	"fmt"
	"os"
)

// Host returns the n-th loopback address of this test process, n from 1 to 254. Other processes get others, so that runs of
// the same tests at the same time may use the same ports.
func Host(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8%64, pid%256, n)
}
