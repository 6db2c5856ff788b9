package explain

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// cause says why the call ended as it did, by its last line.
func (c *call) cause() string {
	last := &c.lines[len(c.lines)-1]
	switch last.Kind {
	case "answered":
		return c.answered(last)
	case "refused":
		return c.refused(last)
	case "failed", "broken off":
		return c.failed(last)
	case "caller left":
		return fmt.Sprintf("The caller left after %s while the call was %s. %s", ms(last.number("age")), last.text("while"), c.progress())
	default:
		return "The log has no line about the end of the call: it was cut off with its node, or the line is in another file."
	}
}

// ms returns a number of milliseconds as text.
func ms(n float64) string {
	return (time.Duration(n) * time.Millisecond).String()
}

// when says how long before or after the call's arrival a line was written.
func (c *call) when(line *Line) string {
	d := line.At.Sub(c.arrived).Round(time.Millisecond)
	if d < 0 {
		return (-d).String() + " before the call arrived"
	}
	return d.String() + " after the call arrived"
}

// last returns the latest line about the call of one of the given kinds, or nil.
func (c *call) last(kinds ...string) *Line {
	for i := len(c.lines) - 1; i >= 0; i-- {
		for _, kind := range kinds {
			if c.lines[i].Kind == kind {
				return &c.lines[i]
			}
		}
	}
	return nil
}

func (c *call) answered(last *Line) string {
	text := fmt.Sprintf("Answered with status %.0f after %s", last.number("status"), ms(last.number("age")))
	if _, stream := last.Fields["first"]; stream {
		text += fmt.Sprintf(", the first event after %s, the longest pause %s", ms(last.number("first")), ms(last.number("pause")))
	}
	return text + ". " + c.progress()
}

// progress says how long the call waited for an upstream, and for what.
func (c *call) progress() string {
	sent := c.last("sent")
	switch {
	case sent == nil:
		return "It was never sent to an upstream. " + c.load(c.ended)
	case sent.number("age") == 0:
		return fmt.Sprintf("It was sent to %s at once.", sent.text("upstream"))
	default:
		return fmt.Sprintf("It was sent to %s after %s (attempt %.0f). %s",
			sent.text("upstream"), ms(sent.number("age")), sent.number("attempt"), c.load(sent.At))
	}
}

// load says which order for the call's model or adapter was the latest before the given time,
// and what the leader knew of the model.
func (c *call) load(before time.Time) string {
	if c.model == "" {
		return ""
	}
	var order, busiest *Line
	for i := range c.context {
		line := &c.context[i]
		if line.At.After(before) {
			break
		}
		if c.isLoad(line) {
			order = line
		}
		if line.Kind == "busiest models" {
			busiest = line
		}
	}
	text := "No line tells of a load of " + c.wanted() + " in that time."
	if order != nil {
		text = fmt.Sprintf("%s ordered %s to load %s %s (%s).",
			order.Node, order.text("upstream"), c.wanted(), c.when(order), order.text("answer"))
	}
	if busiest != nil {
		m := c.busiest(busiest)
		text += fmt.Sprintf(" The leader expected %v calls a second for %s, on %v engines; %v others had a copy.", m["perSecond"], c.model, m["holders"], m["copies"])
	}
	return text + c.orderer(before)
}

// isLoad reports whether a line tells of an order to load what the call needs.
func (c *call) isLoad(line *Line) bool {
	if line.Kind != "order sent" || line.text("model") != c.model || line.Fields["load"] != true {
		return false
	}
	return line.text("adapter") == "" || line.text("adapter") == c.adapter
}

// wanted names the call's model, with its adapter if it has one.
func (c *call) wanted() string {
	if c.adapter == "" {
		return c.model
	}
	return c.model + "/" + c.adapter
}

// orderer says since when a new leader sends orders, if it began shortly before.
func (c *call) orderer(before time.Time) string {
	for i := range c.context {
		line := &c.context[i]
		if line.Kind == "sending orders" && line.At.Before(before) {
			return fmt.Sprintf(" %s took over the orders %s and waited up to %s for the lease of the node before it.",
				line.Node, c.when(line), ms(line.number("waitMillis")))
		}
	}
	return ""
}

func (c *call) refused(last *Line) string {
	text := fmt.Sprintf("Refused after %s, to be tried again in %.1f s: %s. ", ms(last.number("age")), last.number("retryAfter"), last.text("why"))
	switch last.text("why") {
	case "model not loaded in time":
		return text + c.load(c.ended)
	case "no room in time":
		return text + "All upstreams that offer the model were full or paused."
	case "no engine memory in time":
		return text + "The engines that hold the model had free slots, but no memory for a call of this length beside those of all nodes."
	case "larger than engine memory":
		return text + "The prompt is longer than the memory that the configuration states for the engines of the service."
	case "model overloaded":
		return text + "The engines that hold the model had more calls of all nodes than they can run."
	case "upstreams asked for a pause":
		return text + "Every upstream that could run the call had asked this node for a pause that outlasts it."
	case "prompt crashes engines":
		return text + "Engines crashed on calls that have a part of their prompts in common with this one."
	case "no configuration yet", "no upstream":
		return text + fmt.Sprintf("%d lines before it tell of control nodes that did not answer %s.", c.count(withoutLeader...), last.Node)
	case "configuration not proved current":
		return text + fmt.Sprintf("%s could not show that the caller's key was still valid: %d lines before it tell of control nodes that did not answer.",
			last.Node, c.count(withoutLeader...))
	default:
		return strings.TrimSpace(text)
	}
}

// count returns the number of context lines of a kind.
// withoutLeader holds the kinds of line that an entry node writes while it does not reach the leader.
var withoutLeader = []string{"control node does not answer", "leader not found"}

func (c *call) count(kinds ...string) int {
	n := 0
	for i := range c.context {
		if slices.Contains(kinds, c.context[i].Kind) {
			n++
		}
	}
	return n
}

func (c *call) failed(last *Line) string {
	if last.number("status") == http.StatusUnauthorized {
		return fmt.Sprintf("Not run: %s, by version %.0f of the configuration, which was in force on %s.",
			last.text("why"), last.number("version"), last.Node)
	}
	text := fmt.Sprintf("The call ended after %s without a whole answer: %s. ", ms(last.number("age")), last.text("why"))
	failure := c.last("lost", "not sent", "upstream silent", "failed at upstream", "upstream refuses", "rejected")
	if failure == nil {
		return strings.TrimSpace(text)
	}
	upstream := failure.text("upstream")
	text += fmt.Sprintf("%s: %s", upstream, failure.Kind)
	if e := failure.text("error"); e != "" {
		text += " (" + e + ")"
	}
	if failure.Kind != "lost" && failure.Kind != "not sent" {
		return text + "."
	}
	calls, nodes := c.alsoFailed(failure, upstream)
	if calls == 0 {
		return text + ". No other call in these logs lost that upstream within a second: look at this node's connections."
	}
	return text + fmt.Sprintf(". Within a second %d other calls on %d nodes lost that upstream: it failed, or its host did.", calls, nodes)
}

// alsoFailed counts the other calls that lost an upstream at about the same time, and the
// nodes that they ran on.
func (c *call) alsoFailed(failure *Line, upstream string) (calls, nodes int) {
	on := map[string]bool{}
	for i := range c.failures {
		line := &c.failures[i]
		if line.text("upstream") == upstream && line.At.Sub(failure.At).Abs() <= sameFailureWithin {
			calls++
			on[line.Node] = true
		}
	}
	return calls, len(on)
}
