package peer

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

var (
	// ErrSettings reports settings that are missing or wrong.
	ErrSettings = errNamespace.NewType("settings")
	// ErrTooLarge reports a message above MaxMessageBytes. It was not sent.
	ErrTooLarge = errNamespace.NewType("too_large")
	// ErrMalformed reports a frame or message that cannot be decoded.
	ErrMalformed = errNamespace.NewType("malformed")
	// errQueueFull is a kind of ErrUnavailable that is counted apart.
	errQueueFull = ErrUnavailable.NewSubtype("queue_full")
	// ErrUnresponsive reports a connection on which nothing arrives any more.
	ErrUnresponsive = errNamespace.NewType("silent")
)

const (
	// MaxMessageBytes is the largest encoded message, in bytes.
	MaxMessageBytes = 8 << 20
	// MinKeyBytes is the shortest shared key, in bytes: a MAC seen on the wire must not allow guessing the key offline.
	MinKeyBytes = 32
	// maxNameBytes is the longest VM ID, in bytes.
	maxNameBytes = 255
)

// Defaults of the settings.
const (
	defaultPingInterval     = 800 * time.Millisecond
	defaultPingTimeout      = 800 * time.Millisecond
	defaultSilenceLimit     = 3 * time.Second
	defaultHandshakeTimeout = time.Second
	defaultWriteTimeout     = time.Second
	defaultBackoffMin       = 100 * time.Millisecond
	defaultBackoffMax       = time.Second
	defaultMaxDials         = 8
	defaultMaxInbound       = 1024
	defaultMaxHandshakes    = 64
)

// Settings configure the plug-in. Zero values stand for the defaults, but for Self, Listen and Keys.
type Settings struct {
	// Self is the ID of this VM.
	Self model.VMID
	// Listen is the address to listen on, host:port.
	Listen string
	// Keys are the shared keys, each at least MinKeyBytes long. The first signs, all verify. To rotate without a stop, add the
	// new key at the end on every VM, then move it to the front on every VM, then remove the old one.
	Keys [][]byte
	// PingInterval and PingTimeout bound the detection of a silent connection to their sum.
	PingInterval time.Duration
	PingTimeout  time.Duration
	// IdleTimeout is the time without a frame or ping after which the accepting side closes a connection.
	IdleTimeout time.Duration
	// HandshakeTimeout bounds dialling and authentication.
	HandshakeTimeout time.Duration
	// WriteTimeout bounds the write of one frame.
	WriteTimeout time.Duration
	// BackoffMin and BackoffMax bound the time between two dials of a peer.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// MaxDials is the number of dials at a time.
	MaxDials int
	// MaxInbound is the number of accepted connections, MaxHandshakes the number of those not yet authenticated.
	MaxInbound    int
	MaxHandshakes int
	// Log receives the lines of this part; nil discards them.
	Log *logging.Logger
	// Count is called for each event; nil ignores them. It must not block.
	Count func(event Event)
}

// Host is implemented by hosts that provision the plug-in.
type Host interface {
	PeerSettings() Settings
}

// Event is something that is worth counting.
type Event uint8

// Events.
const (
	// Connected counts connections that this VM dialled and authenticated.
	Connected Event = iota
	// Accepted counts authenticated connections from peers.
	Accepted
	// Disconnected counts ends of connections that this VM dialled.
	Disconnected
	// DialFailed counts dials that did not lead to an authenticated connection.
	DialFailed
	// Unauthenticated counts refused handshakes and frames that are foreign, replayed, reordered or altered.
	Unauthenticated
	// Malformed counts frames and messages that cannot be decoded or are of unknown kind.
	Malformed
	// Unresponsive counts connections closed because nothing arrived.
	Unresponsive
	// QueueFull counts messages refused because a queue was full.
	QueueFull
	// Expired counts forwarded requests dropped because their deadline passed in the queue.
	Expired
)

var eventNames = [...]string{"connected", "accepted", "disconnected", "dial_failed", "unauthenticated", "malformed", "silent",
	"queue_full", "expired"}

// String returns the name of the event for metrics.
func (e Event) String() string {
	if int(e) < len(eventNames) {
		return eventNames[e]
	}
	return "undefined"
}

func orDefault[T int | time.Duration](value *T, standard T) {
	if *value == 0 {
		*value = standard
	}
}

func (s *Settings) setDefaults() {
	orDefault(&s.PingInterval, defaultPingInterval)
	orDefault(&s.PingTimeout, defaultPingTimeout)
	orDefault(&s.IdleTimeout, defaultSilenceLimit)
	orDefault(&s.HandshakeTimeout, defaultHandshakeTimeout)
	orDefault(&s.WriteTimeout, defaultWriteTimeout)
	orDefault(&s.BackoffMin, defaultBackoffMin)
	orDefault(&s.BackoffMax, defaultBackoffMax)
	orDefault(&s.MaxDials, defaultMaxDials)
	orDefault(&s.MaxInbound, defaultMaxInbound)
	orDefault(&s.MaxHandshakes, defaultMaxHandshakes)
	if s.Log == nil {
		s.Log = logging.Discard().Part(logging.Peer)
	}
	if s.Count == nil {
		s.Count = func(Event) {}
	}
}

func (s *Settings) validate() error {
	if s.Self == "" || len(s.Self) > maxNameBytes {
		return ErrSettings.New("the VM ID has %d bytes, want 1 to %d", len(s.Self), maxNameBytes)
	}
	if s.Listen == "" {
		return ErrSettings.New("no address to listen on")
	}
	if len(s.Keys) == 0 {
		return ErrSettings.New("no shared key")
	}
	for index, key := range s.Keys {
		if len(key) < MinKeyBytes {
			return ErrSettings.New("shared key %d has %d bytes, want at least %d", index+1, len(key), MinKeyBytes)
		}
	}
	if s.BackoffMin > s.BackoffMax {
		return ErrSettings.New("the shortest back-off %s exceeds the longest %s", s.BackoffMin, s.BackoffMax)
	}
	for _, length := range []time.Duration{s.PingInterval, s.PingTimeout, s.IdleTimeout, s.HandshakeTimeout, s.WriteTimeout, s.BackoffMin} {
		if length < 0 {
			return ErrSettings.New("negative time %s", length)
		}
	}
	if min(s.MaxDials, s.MaxInbound, s.MaxHandshakes) < 0 {
		return ErrSettings.New("negative limit")
	}
	return nil
}

// isType reports whether an error is of a type of this package.
func isType(err error, kind *errorx.Type) bool { return errorx.IsOfType(err, kind) }
