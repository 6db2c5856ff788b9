package fleet

import (
	"net/netip"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	// MaxSlots is the highest number of slots that an upstream is believed to have.
	MaxSlots = 1 << 20
	// maxIDBytes bounds the ID of an upstream, which is sent with each request.
	maxIDBytes = 256
	// maxSeq is the highest number of an announcement. Every larger one would be the last that
	// is ever heard; no upstream gets there by counting.
	maxSeq = 1 << 62
	// maxBorn is the latest start of an incarnation, in Unix milliseconds: in the 31st century.
	maxBorn = 1 << 45
	// maxNames bounds the models, adapters and copies that an upstream lists. An engine has
	// some hundred.
	maxNames = 1 << 13
)

// Check returns an error if a description names no upstream that requests could be sent to, or has
// numbers that no upstream reaches. Descriptions come from writers of any kind.
func (u *Upstream) Check() error {
	if err := (Incarnation{u.ID, u.Born}).Check(); err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(u.Addr)
	switch {
	case err != nil:
		return errors.Wrap(err, "parse address")
	case !isReachable(addr):
		return errors.Newf("no upstream can be reached at %s", addr)
	case u.Service == "":
		return errors.New("service is missing")
	case u.Slots < 1 || u.Slots > MaxSlots:
		return errors.Newf("number of slots %d is out of range", u.Slots)
	case u.Seq > maxSeq:
		return errors.Newf("sequence number %d is out of range", u.Seq)
	case u.countNames() > maxNames:
		return errors.Newf("more than %d models, adapters and copies", maxNames)
	}
	return nil
}

// IsUsable reports whether a description that another node lists is sound. Of an upstream that is gone only
// the identity matters: one that left before it was announced has nothing else.
func (u *Upstream) IsUsable() bool {
	if u.Gone {
		return Incarnation{u.ID, u.Born}.Check() == nil
	}
	return u.Check() == nil
}

// Check returns an error if no upstream can be identified this way.
func (i Incarnation) Check() error {
	switch {
	case i.ID == "" || len(i.ID) > maxIDBytes || !utf8.ValidString(i.ID):
		return errors.New("ID is missing, too long or no text")
	case !isVisible(i.ID):
		return errors.Newf("ID %q has white space or control characters", i.ID)
	case i.Born < 0 || i.Born > maxBorn:
		return errors.Newf("start %d is out of range", i.Born)
	}
	return nil
}

// isVisible reports whether text can be sent as the value of a header without being changed.
func isVisible(text string) bool {
	for _, r := range text {
		if r <= ' ' || r == 0x7f {
			return false
		}
	}
	return true
}

// isReachable reports whether other machines can connect to an address.
func isReachable(a netip.AddrPort) bool {
	ip := a.Addr().Unmap()
	return a.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

func (u *Upstream) countNames() int {
	names := len(u.InMemory) + len(u.OnDisk) + len(u.Residents)
	for i := range u.Residents {
		names += len(u.Residents[i].Adapters)
	}
	return names
}
