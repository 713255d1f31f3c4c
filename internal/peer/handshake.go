package peer

import (
	"context"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/coder/websocket"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// The handshake proves to each side that the other holds a shared key, and derives the session key of the connection:
//
//	dialer -> acceptor  hello:     version, both VM IDs, dialer's nonce
//	acceptor -> dialer  challenge: acceptor's nonce, MAC of the acceptor
//	dialer -> acceptor  proof:     MAC of the dialer
//	acceptor -> dialer  welcome:   MAC with the session key
//
// A side that rejects the other notifies it: the dialer by a proof without a MAC, the acceptor by closing the
// connection with the status "policy violation".
//
// Each MAC covers its purpose (which implies the direction), the version, both VM IDs and both nonces. It is therefore
// invalid on any other connection and cannot be reflected. A holder of a shared key can claim any VM ID: the keys
// authenticate the deployment, not a single VM.
const (
	handshakeVersion  = 1
	nonceBytes        = 32
	maxHandshakeBytes = 1024
)

// Purposes provide domain separation between the MACs of the handshake and the derivation of the session key.
const (
	purposeChallenge = "tarragon-peer challenge"
	purposeProof     = "tarragon-peer proof"
	purposeWelcome   = "tarragon-peer welcome"
	purposeSession   = "tarragon-peer session"
)

type hello struct {
	Version uint64     `cbor:"1,keyasint"`
	From    model.VMID `cbor:"2,keyasint"`
	To      model.VMID `cbor:"3,keyasint"`
	Nonce   []byte     `cbor:"4,keyasint"`
}

type challenge struct {
	Nonce []byte `cbor:"1,keyasint"`
	MAC   []byte `cbor:"2,keyasint"`
}

type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

type welcome struct {
	MAC []byte `cbor:"1,keyasint"`
}

// transcript is the data of the first two messages that all MACs cover.
type transcript struct {
	hello         hello
	acceptorNonce []byte
}

// bytes returns an unambiguous encoding, in which every part is preceded by its length.
func (t transcript) bytes(purpose string) []byte {
	var out []byte
	version := binary.BigEndian.AppendUint64(nil, t.hello.Version)
	for _, part := range [][]byte{[]byte(purpose), version, []byte(t.hello.From), []byte(t.hello.To), t.hello.Nonce, t.acceptorNonce} {
		out = binary.BigEndian.AppendUint32(out, uint32(len(part)))
		out = append(out, part...)
	}
	return out
}

func (t transcript) mac(key []byte, purpose string) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write(t.bytes(purpose))
	return hash.Sum(nil)
}

// verify returns the key with which a MAC was computed, if any. It always tries all keys, so that its duration does not
// reveal which one matched.
func (t transcript) verify(keys [][]byte, purpose string, mac []byte) (key []byte, valid bool) {
	for _, candidate := range keys {
		if hmac.Equal(t.mac(candidate, purpose), mac) {
			key, valid = candidate, true
		}
	}
	return key, valid
}

// sessionKey derives the session key from the shared keys that the two sides used for their MACs.
func (t transcript) sessionKey(dialerKey, acceptorKey []byte) ([]byte, error) {
	secret := append(append([]byte(nil), dialerKey...), acceptorKey...)
	key, err := hkdf.Key(sha256.New, secret, nil, string(t.bytes(purposeSession)), sessionKeyBytes)
	if err != nil {
		return nil, ErrUnauthenticated.Wrap(err, "cannot derive the session key")
	}
	return key, nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) // Never returns an error; crypto/rand ends the process instead.
	return nonce
}

func writeHandshake(ctx context.Context, conn *websocket.Conn, message any) error {
	data, err := encoding.Marshal(message)
	if err != nil {
		return ErrMalformed.Wrap(err, "cannot encode the handshake")
	}
	if err = conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return ErrUnavailable.Wrap(err, "the connection failed during the handshake")
	}
	return nil
}

func readHandshake(ctx context.Context, conn *websocket.Conn, message any) error {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		if websocket.CloseStatus(err) == websocket.StatusPolicyViolation {
			return ErrUnauthenticated.New("the peer rejected the handshake")
		}
		return ErrUnavailable.Wrap(err, "the connection failed during the handshake")
	}
	if kind != websocket.MessageBinary {
		return ErrMalformed.New("received a text frame in the handshake")
	}
	if err = decoding.Unmarshal(data, message); err != nil {
		return ErrMalformed.Wrap(err, "cannot decode the handshake")
	}
	return nil
}

// dialHandshake authenticates a dialed connection and returns its session key. It returns ErrUnauthenticated,
// ErrMalformed or ErrUnavailable.
func dialHandshake(ctx context.Context, conn *websocket.Conn, keys [][]byte, self, to model.VMID) ([]byte, error) {
	conn.SetReadLimit(maxHandshakeBytes)
	state := transcript{hello: hello{Version: handshakeVersion, From: self, To: to, Nonce: newNonce()}}
	if err := writeHandshake(ctx, conn, state.hello); err != nil {
		return nil, err
	}
	var received challenge
	if err := readHandshake(ctx, conn, &received); err != nil {
		return nil, err
	}
	state.acceptorNonce = received.Nonce
	acceptorKey, valid := state.verify(keys, purposeChallenge, received.MAC)
	if !valid || len(received.Nonce) != nonceBytes {
		// A proof without a MAC is invalid and lets the accepting side report the failure as well.
		_ = writeHandshake(ctx, conn, proof{})
		return nil, ErrUnauthenticated.New("the accepting side holds no current key")
	}
	if err := writeHandshake(ctx, conn, proof{MAC: state.mac(keys[0], purposeProof)}); err != nil {
		return nil, err
	}
	session, err := state.sessionKey(keys[0], acceptorKey)
	if err != nil {
		return nil, err
	}
	var final welcome
	if err = readHandshake(ctx, conn, &final); err != nil {
		return nil, err
	}
	if !hmac.Equal(state.mac(session, purposeWelcome), final.MAC) {
		return nil, ErrUnauthenticated.New("the accepting side derived another session key")
	}
	return session, nil
}

// acceptHandshake authenticates an accepted connection and returns the VM ID of the dialer and the session key. It
// returns ErrUnauthenticated, ErrMalformed or ErrUnavailable.
func acceptHandshake(ctx context.Context, conn *websocket.Conn, keys [][]byte, self model.VMID) (model.VMID, []byte, error) {
	conn.SetReadLimit(maxHandshakeBytes)
	var state transcript
	if err := readHandshake(ctx, conn, &state.hello); err != nil {
		return "", nil, err
	}
	if err := state.hello.validate(self); err != nil {
		return "", nil, err
	}
	state.acceptorNonce = newNonce()
	sent := challenge{Nonce: state.acceptorNonce, MAC: state.mac(keys[0], purposeChallenge)}
	if err := writeHandshake(ctx, conn, sent); err != nil {
		return "", nil, err
	}
	var final proof
	if err := readHandshake(ctx, conn, &final); err != nil {
		return "", nil, err
	}
	if len(final.MAC) == 0 {
		return "", nil, ErrUnauthenticated.New("the dialing side rejected the handshake")
	}
	dialerKey, valid := state.verify(keys, purposeProof, final.MAC)
	if !valid {
		return "", nil, ErrUnauthenticated.New("the dialing side holds no current key")
	}
	session, err := state.sessionKey(dialerKey, keys[0])
	if err != nil {
		return "", nil, err
	}
	err = writeHandshake(ctx, conn, welcome{MAC: state.mac(session, purposeWelcome)})
	return state.hello.From, session, err
}

// validate returns ErrMalformed for an invalid hello, and ErrUnauthenticated for one that is addressed to another VM or
// claims to come from this one.
func (h hello) validate(self model.VMID) error {
	if h.Version != handshakeVersion {
		return ErrMalformed.New("the peer uses handshake version %d, want %d", h.Version, handshakeVersion)
	}
	if h.From == "" || len(h.From) > maxNameBytes || len(h.Nonce) != nonceBytes {
		return ErrMalformed.New("the hello has an invalid VM ID or nonce")
	}
	if h.To != self || h.From == self {
		return ErrUnauthenticated.New("the hello is addressed to another VM or names this VM as its sender")
	}
	return nil
}
