package config_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/config"
)

// TestDetoursUseThePortAfterLinks also covers a node that others reach through a proxy.
func TestDetoursUseThePortAfterLinks(t *testing.T) {
	is := is.New(t)
	c := config.Managed{Listen: config.ManagedListen{Links: "10.0.0.1:7380"}}
	reached, bind, err := c.DetourAddrs()
	is.NoErr(err)
	is.Equal([]string{reached, bind}, []string{"10.0.0.1:7381", "10.0.0.1:7381"})
	c.Listen.LinksBind = "10.0.0.2:9000"
	reached, bind, err = c.DetourAddrs()
	is.NoErr(err)
	is.Equal([]string{reached, bind}, []string{"10.0.0.1:9001", "10.0.0.2:9001"})
	c.Listen.LinksBind = "nowhere"
	_, _, err = c.DetourAddrs()
	is.True(err != nil)
}
