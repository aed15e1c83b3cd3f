package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// The handshake. Each message has a Hello body:
//
//  1. dialer: its Hello with a nonce
//  2. listener: its Hello with a nonce, and its MAC over both Hellos
//  3. dialer: its MAC over both Hellos
//  4. listener: its name again, if it keeps this connection
//
// Each MAC also covers a label that says which side computed it, which prevents reflection
// attacks. Without a shared key the MACs are empty and the TLS certificates authenticate
// both sides.
// The MACs authenticate the peers when the connection is opened; only TLS protects
// the messages after that.

// handshakeTimeout bounds the whole handshake.
const handshakeTimeout = 5 * time.Second

// handshakeReadLimit bounds the size, in bytes, of a message from a peer that is not
// authenticated yet.
const handshakeReadLimit = 4 << 10

const nonceBytes = 16

// Labels that the MAC of each side covers.
const (
	labelDialer   = "ragworttrestle peer dialer"
	labelListener = "ragworttrestle peer listener"
)

// Errors of the handshake. Test for them with errors.Is.
var (
	ErrAuthentication = errors.New("peer authentication failed")
	ErrDuplicate      = errors.New("connection to this peer exists already")
	errHandshake      = errors.New("unexpected message in the handshake")
)

// handshaker runs the handshake on a new connection.
type handshaker struct {
	self Hello  // this daemon's Hello without nonce and MAC
	key  []byte // shared key; empty: mutual TLS authenticates the peers
}

// dial runs the dialer's side and returns the peer's Hello. It returns ErrDuplicate if the
// listener keeps another connection of this pair.
func (h handshaker) dial(ctx context.Context, c *websocket.Conn) (Hello, error) {
	local := h.newHello()
	if err := h.write(ctx, c, local); err != nil {
		return Hello{}, err
	}
	remote, err := readHello(ctx, c)
	if err != nil {
		return Hello{}, err
	}
	if err := h.verify(remote, local, remote, labelListener); err != nil {
		return Hello{}, err
	}
	proof := Hello{Name: local.Name, MAC: h.mac(labelDialer, local, remote)}
	if err := h.write(ctx, c, proof); err != nil {
		return Hello{}, err
	}
	if _, err := readHello(ctx, c); err != nil {
		return Hello{}, err // for example ErrDuplicate
	}
	return remote, nil
}

// listen runs the listener's side up to the last message and returns the peer's Hello. The
// caller sends the last message by accept once it has decided to keep the connection.
func (h handshaker) listen(ctx context.Context, c *websocket.Conn) (Hello, error) {
	remote, err := readHello(ctx, c)
	if err != nil {
		return Hello{}, err
	}
	local := h.newHello()
	local.MAC = h.mac(labelListener, remote, local)
	if err := h.write(ctx, c, local); err != nil {
		return Hello{}, err
	}
	proof, err := readHello(ctx, c)
	if err != nil {
		return Hello{}, err
	}
	if err := h.verify(proof, remote, local, labelDialer); err != nil {
		return Hello{}, err
	}
	return remote, nil
}

// accept sends the last message, which confirms that this connection is kept.
func (h handshaker) accept(ctx context.Context, c *websocket.Conn) error {
	return h.write(ctx, c, Hello{Name: h.self.Name})
}

// newHello returns this daemon's Hello with a new nonce.
func (h handshaker) newHello() Hello {
	hello := h.self
	hello.Nonce = make([]byte, nonceBytes)
	_, _ = rand.Read(hello.Nonce) // never fails, see crypto/rand
	return hello
}

// verify returns an error that matches ErrAuthentication unless both Hellos are complete,
// their names differ, and proof holds the MAC with the given label.
func (h handshaker) verify(proof, dialer, listener Hello, label string) error {
	if dialer.Name == listener.Name {
		return errors.Wrapf(ErrAuthentication, "both sides are named %q", dialer.Name)
	}
	if dialer.Name == "" || listener.Name == "" {
		return errors.Wrap(ErrAuthentication, "no name given")
	}
	if dialer.Incarnation == 0 || listener.Incarnation == 0 {
		return errors.Wrap(ErrAuthentication, "no incarnation given")
	}
	if len(dialer.Nonce) != nonceBytes || len(listener.Nonce) != nonceBytes {
		return errors.Wrap(ErrAuthentication, "bad nonce")
	}
	if subtle.ConstantTimeCompare(proof.MAC, h.mac(label, dialer, listener)) != 1 {
		return errors.Wrap(ErrAuthentication, "the shared keys differ")
	}
	return nil
}

// mac returns the HMAC-SHA-256, under the shared key, of the label and both Hellos without
// their MACs. It returns nil without a shared key.
func (h handshaker) mac(label string, dialer, listener Hello) []byte {
	if len(h.key) == 0 {
		return nil
	}
	m := hmac.New(sha256.New, h.key)
	m.Write([]byte(label))
	for _, hello := range []Hello{dialer, listener} {
		hello.MAC = nil
		data, err := encMode.Marshal(hello)
		if err != nil {
			return nil // a Hello of plain fields always encodes
		}
		m.Write(data)
	}
	return m.Sum(nil)
}

// write sends one message of the handshake.
func (h handshaker) write(ctx context.Context, c *websocket.Conn, hello Hello) error {
	data, err := Encode(Envelope{V: ProtocolVersion, From: h.self.Name, Hello: &hello})
	if err != nil {
		return err
	}
	return errors.Wrap(c.Write(ctx, websocket.MessageBinary, data), "handshake")
}

// readHello reads one message of the handshake. It returns ErrDuplicate if the peer
// keeps another connection of this pair.
func readHello(ctx context.Context, c *websocket.Conn) (Hello, error) {
	_, data, err := c.Read(ctx)
	if websocket.CloseStatus(err) == closeDuplicate {
		return Hello{}, ErrDuplicate
	}
	if err != nil {
		return Hello{}, errors.Wrap(err, "handshake")
	}
	e, err := Decode(data)
	if err != nil {
		return Hello{}, err
	}
	if e.Hello == nil {
		return Hello{}, errHandshake
	}
	return *e.Hello, nil
}
