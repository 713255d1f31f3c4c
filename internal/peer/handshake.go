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

// The handshake proves to both sides that the other holds a shared key, and yields the key of the connection:
//
//	dialler -> acceptor  hello:     version, both VM IDs, dialler's nonce
//	acceptor -> dialler  challenge: acceptor's nonce, MAC of the acceptor
//	dialler -> acceptor  proof:     MAC of the dialler
//	acceptor -> dialler  welcome:   MAC under the key of the connection
//
// A side that refuses the other tells it: the dialler with a proof without a MAC, the acceptor by closing the connection with
// the status "policy violation".
//
// Each MAC covers its direction, the version, both VM IDs and both nonces, so that it is void on any other connection and
// cannot be reflected. A holder of a shared key can claim any VM ID: keys authenticate the deployment, not one VM.
const (
	handshakeVersion  = 1
	nonceBytes        = 32
	maxHandshakeBytes = 1024
)

// Purposes separate the MACs of the handshake from each other.
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

// transcript is what both sides know after the first two messages.
type transcript struct {
	hello         hello
	acceptorNonce []byte
}

// bytes returns an unambiguous encoding: every part is preceded by its length.
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

// verify returns the key under which a MAC is valid. All keys are tried, so that the time does not tell which one matched.
func (t transcript) verify(keys [][]byte, purpose string, mac []byte) (key []byte, valid bool) {
	for _, candidate := range keys {
		if hmac.Equal(t.mac(candidate, purpose), mac) {
			key, valid = candidate, true
		}
	}
	return key, valid
}

// sessionKey derives the key of the connection from the keys with which the two sides signed.
func (t transcript) sessionKey(diallerKey, acceptorKey []byte) ([]byte, error) {
	secret := append(append([]byte(nil), diallerKey...), acceptorKey...)
	key, err := hkdf.Key(sha256.New, secret, nil, string(t.bytes(purposeSession)), sessionKeyBytes)
	if err != nil {
		return nil, ErrUnauthenticated.Wrap(err, "cannot derive the key of the connection")
	}
	return key, nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) // Never fails; crypto/rand ends the process instead.
	return nonce
}

func sendPart(ctx context.Context, conn *websocket.Conn, part any) error {
	data, err := encoding.Marshal(part)
	if err != nil {
		return ErrMalformed.Wrap(err, "cannot encode the handshake")
	}
	if err = conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return ErrUnavailable.Wrap(err, "the connection ended during the handshake")
	}
	return nil
}

func receivePart(ctx context.Context, conn *websocket.Conn, part any) error {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		if websocket.CloseStatus(err) == websocket.StatusPolicyViolation {
			return ErrUnauthenticated.New("the peer refused the handshake")
		}
		return ErrUnavailable.Wrap(err, "the connection ended during the handshake")
	}
	if kind != websocket.MessageBinary {
		return ErrMalformed.New("text in the handshake")
	}
	if err = decoding.Unmarshal(data, part); err != nil {
		return ErrMalformed.Wrap(err, "cannot decode the handshake")
	}
	return nil
}

// dialHandshake authenticates a dialled connection and returns the key of the connection. It returns ErrUnauthenticated,
// ErrMalformed or ErrUnavailable.
func dialHandshake(ctx context.Context, conn *websocket.Conn, keys [][]byte, self, to model.VMID) ([]byte, error) {
	conn.SetReadLimit(maxHandshakeBytes)
	state := transcript{hello: hello{Version: handshakeVersion, From: self, To: to, Nonce: newNonce()}}
	if err := sendPart(ctx, conn, state.hello); err != nil {
		return nil, err
	}
	var answer challenge
	if err := receivePart(ctx, conn, &answer); err != nil {
		return nil, err
	}
	state.acceptorNonce = answer.Nonce
	acceptorKey, valid := state.verify(keys, purposeChallenge, answer.MAC)
	if !valid || len(answer.Nonce) != nonceBytes {
		// The proof without a MAC is void and lets the accepting side report the failure too.
		_ = sendPart(ctx, conn, proof{})
		return nil, ErrUnauthenticated.New("the accepting side holds no current key")
	}
	if err := sendPart(ctx, conn, proof{MAC: state.mac(keys[0], purposeProof)}); err != nil {
		return nil, err
	}
	session, err := state.sessionKey(keys[0], acceptorKey)
	if err != nil {
		return nil, err
	}
	var last welcome
	if err = receivePart(ctx, conn, &last); err != nil {
		return nil, err
	}
	if !hmac.Equal(state.mac(session, purposeWelcome), last.MAC) {
		return nil, ErrUnauthenticated.New("the accepting side derived another key")
	}
	return session, nil
}

// acceptHandshake authenticates an accepted connection and returns the dialler's VM ID and the key of the connection. It
// returns ErrUnauthenticated, ErrMalformed or ErrUnavailable.
func acceptHandshake(ctx context.Context, conn *websocket.Conn, keys [][]byte, self model.VMID) (model.VMID, []byte, error) {
	conn.SetReadLimit(maxHandshakeBytes)
	var state transcript
	if err := receivePart(ctx, conn, &state.hello); err != nil {
		return "", nil, err
	}
	if err := state.hello.check(self); err != nil {
		return "", nil, err
	}
	state.acceptorNonce = newNonce()
	answer := challenge{Nonce: state.acceptorNonce, MAC: state.mac(keys[0], purposeChallenge)}
	if err := sendPart(ctx, conn, answer); err != nil {
		return "", nil, err
	}
	var last proof
	if err := receivePart(ctx, conn, &last); err != nil {
		return "", nil, err
	}
	if len(last.MAC) == 0 {
		return "", nil, ErrUnauthenticated.New("the dialling side refused the handshake")
	}
	diallerKey, valid := state.verify(keys, purposeProof, last.MAC)
	if !valid {
		return "", nil, ErrUnauthenticated.New("the dialling side holds no current key")
	}
	session, err := state.sessionKey(diallerKey, keys[0])
	if err != nil {
		return "", nil, err
	}
	err = sendPart(ctx, conn, welcome{MAC: state.mac(session, purposeWelcome)})
	return state.hello.From, session, err
}

// check refuses a hello that is not meant for this VM. ErrUnauthenticated or ErrMalformed.
func (h hello) check(self model.VMID) error {
	if h.Version != handshakeVersion {
		return ErrMalformed.New("the peer speaks version %d, want %d", h.Version, handshakeVersion)
	}
	if h.From == "" || len(h.From) > maxNameBytes || len(h.Nonce) != nonceBytes {
		return ErrMalformed.New("the hello is incomplete")
	}
	if h.To != self || h.From == self {
		return ErrUnauthenticated.New("the connection is meant for another VM")
	}
	return nil
}
