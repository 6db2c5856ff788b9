package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/nodelink"
)

// TestOrderWaitCoversLatestOrder checks that a new orderer waits until the order lease has
// passed since the end of another member's latest order.
func TestOrderWaitCoversLatestOrder(t *testing.T) {
	is := is.New(t)
	const lease = 3 * time.Second
	is.Equal(orderWait(nodelink.LastOrderAnswer{}, lease), time.Duration(0)) // a process that sent none
	is.Equal(orderWait(nodelink.LastOrderAnswer{Ordered: true, Since: time.Second}, lease), 2*time.Second)
	is.Equal(orderWait(nodelink.LastOrderAnswer{Ordered: true, Since: 4 * time.Second}, lease), time.Duration(0))
	is.Equal(orderWait(nodelink.LastOrderAnswer{Sending: true}, lease), lease)
}
