package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	protocolVersion = 1
	nonceBytes      = 32
	// maxHelloBytes bounds what an unproven stranger can make a node read.
	maxHelloBytes = 1024

	dialerRole   = "dialer"
	acceptorRole = "acceptor"
)

// hello is the only message of the handshake; each side fills what it knows.
// The dialer sends its name and nonce, the acceptor answers with its own and a
// proof, the dialer sends its proof.
type hello struct {
	Version int    `json:"version"`
	Node    string `json:"node"`
	Nonce   []byte `json:"nonce,omitempty"`
	Proof   []byte `json:"proof,omitempty"`
}

// handshake is one side of a mutual challenge and response. Proofs are
// HMAC-SHA256 over the prover's role, both names and both nonces, so that
// neither side's proof can be reflected or replayed.
type handshake struct {
	secret []byte
	self   string
	conn   net.Conn
	reader *bufio.Reader
}

// dial proves this node to the acceptor and checks that it is the one wanted.
func (h handshake) dial(want string) error {
	mine, err := h.greet()
	if err != nil {
		return err
	}
	if err := h.send(mine); err != nil {
		return err
	}
	theirs, err := h.receive()
	if err != nil {
		return err
	}
	if theirs.Node != want {
		return errors.Wrapf(errHandshake, "reached node %q instead of %q", theirs.Node, want)
	}
	if !hmac.Equal(theirs.Proof, h.prove(acceptorRole, mine, theirs)) {
		return errors.Wrapf(errHandshake, "node %q does not know the secret", want)
	}
	return h.send(hello{Version: protocolVersion, Node: h.self, Proof: h.prove(dialerRole, mine, theirs)})
}

// accept checks the dialer and returns its name.
func (h handshake) accept() (string, error) {
	theirs, err := h.receive()
	if err != nil {
		return "", err
	}
	mine, err := h.greet()
	if err != nil {
		return "", err
	}
	mine.Proof = h.prove(acceptorRole, theirs, mine)
	if err := h.send(mine); err != nil {
		return "", err
	}
	last, err := h.receive()
	if err != nil {
		return "", err
	}
	if !hmac.Equal(last.Proof, h.prove(dialerRole, theirs, mine)) {
		return "", errors.Wrapf(errHandshake, "node %q does not know the secret", theirs.Node)
	}
	return theirs.Node, nil
}

func (h handshake) greet() (hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return hello{}, errors.Wrap(err, "draw nonce")
	}
	return hello{Version: protocolVersion, Node: h.self, Nonce: nonce}, nil
}

func (h handshake) prove(role string, dialer, acceptor hello) []byte {
	mac := hmac.New(sha256.New, h.secret)
	for _, part := range [][]byte{
		[]byte(role), []byte(dialer.Node), []byte(acceptor.Node), dialer.Nonce, acceptor.Nonce,
	} {
		mac.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func (h handshake) send(m hello) error {
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_, err = h.conn.Write(append(data, '\n'))
	return err
}

func (h handshake) receive() (hello, error) {
	line, err := h.readLine()
	if err != nil {
		return hello{}, err
	}
	var m hello
	if err := json.Unmarshal(line, &m); err != nil {
		return hello{}, errors.Wrap(errHandshake, err.Error())
	}
	if m.Version != protocolVersion {
		return hello{}, errors.Wrapf(errHandshake, "protocol version %d, expected %d", m.Version, protocolVersion)
	}
	return m, nil
}

func (h handshake) readLine() ([]byte, error) {
	var line []byte
	for len(line) < maxHelloBytes {
		b, err := h.reader.ReadByte()
		if err != nil {
			return nil, err
		}
		if b == '\n' {
			return line, nil
		}
		line = append(line, b)
	}
	return nil, errors.Wrapf(errHandshake, "message exceeds %d bytes", maxHelloBytes)
}

// withDeadline runs the handshake in bounded time.
func (h handshake) withDeadline(timeout time.Duration, run func() error) error {
	if err := h.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := run(); err != nil {
		return err
	}
	return h.conn.SetDeadline(time.Time{})
}
