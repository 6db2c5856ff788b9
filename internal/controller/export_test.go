package controller

import "time"

// SlowApplication makes the node take d longer to apply each log entry. It must be called
// before Run.
func (c *Controller) SlowApplication(d time.Duration) {
	notify := c.stateMachine.notify
	c.stateMachine.notify = func() {
		time.Sleep(d)
		notify()
	}
}
