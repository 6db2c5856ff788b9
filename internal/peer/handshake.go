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
	// maxHelloBytes bounds the size of a handshake message, and so the memory that an
	// unauthenticated connection can take.
	maxHelloBytes = 1024

	dialerRole   = "dialer"
	acceptorRole = "acceptor"
)

// hello is the message type of the handshake. The handshake has three messages: the
// dialer sends its name and nonce, the acceptor replies with its own name and nonce and
// its proof, and the dialer sends its name and proof.
type hello struct {
	Version int    `json:"version"`
	Node    string `json:"node"`
	Nonce   []byte `json:"nonce,omitempty"`
	Proof   []byte `json:"proof,omitempty"`
}

// handshake is one side of a mutual challenge-response authentication. A proof is the
// HMAC-SHA256, keyed with the secret, of the prover's role, both names and both nonces.
// It therefore cannot be reflected to the other side or replayed on another connection.
type handshake struct {
	secret []byte
	self   string
	conn   net.Conn
	reader *bufio.Reader
}

// runDialer runs the dialing side. It checks that the acceptor is wantNode and knows the
// secret before it sends this node's proof.
func (h handshake) runDialer(wantNode string) error {
	mine, err := h.newHello()
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
	if theirs.Node != wantNode {
		return errors.Wrapf(errHandshake, "reached node %q instead of %q", theirs.Node, wantNode)
	}
	if !hmac.Equal(theirs.Proof, h.proof(acceptorRole, mine, theirs)) {
		return errors.Wrapf(errHandshake, "node %q does not know the secret", wantNode)
	}
	return h.send(hello{Version: protocolVersion, Node: h.self, Proof: h.proof(dialerRole, mine, theirs)})
}

// runAcceptor runs the accepting side and returns the name of the dialing node, which
// has proven that it knows the secret.
func (h handshake) runAcceptor() (string, error) {
	theirs, err := h.receive()
	if err != nil {
		return "", err
	}
	mine, err := h.newHello()
	if err != nil {
		return "", err
	}
	mine.Proof = h.proof(acceptorRole, theirs, mine)
	if err := h.send(mine); err != nil {
		return "", err
	}
	confirmation, err := h.receive()
	if err != nil {
		return "", err
	}
	if !hmac.Equal(confirmation.Proof, h.proof(dialerRole, theirs, mine)) {
		return "", errors.Wrapf(errHandshake, "node %q does not know the secret", theirs.Node)
	}
	return theirs.Node, nil
}

// newHello returns a message with this node's name and a new random nonce.
func (h handshake) newHello() (hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return hello{}, errors.Wrap(err, "generate nonce")
	}
	return hello{Version: protocolVersion, Node: h.self, Nonce: nonce}, nil
}

// proof returns the proof of the side with this role. Each part is preceded by its
// length, so that different parts never give the same input.
func (h handshake) proof(role string, dialer, acceptor hello) []byte {
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

// receive reads a message and checks its protocol version.
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

// readLine reads a message up to its newline, which it drops.
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

// withDeadline calls run with a deadline on the connection, and clears the deadline if
// run succeeds.
func (h handshake) withDeadline(timeout time.Duration, run func() error) error {
	if err := h.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := run(); err != nil {
		return err
	}
	return h.conn.SetDeadline(time.Time{})
}
