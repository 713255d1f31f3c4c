package peer

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

var (
	// ErrSettings reports settings that are missing or invalid.
	ErrSettings = errNamespace.NewType("settings")
	// ErrTooLarge reports a message above MaxMessageBytes. It was not sent.
	ErrTooLarge = errNamespace.NewType("too_large")
	// ErrMalformed reports a frame or message that cannot be decoded.
	ErrMalformed = errNamespace.NewType("malformed")
	// errQueueFull is a subtype of ErrUnavailable that is counted separately.
	errQueueFull = ErrUnavailable.NewSubtype("queue_full")
	// ErrUnresponsive reports a connection whose peer sends nothing, does not respond to pings or does not read in
	// time.
	ErrUnresponsive = errNamespace.NewType("silent")
)

const (
	// MaxMessageBytes is the largest encoded message, in bytes.
	MaxMessageBytes = 8 << 20
	// MinKeyBytes is the minimum length of a shared key, in bytes. It prevents an offline brute-force search for the
	// key by means of a captured MAC.
	MinKeyBytes = 32
	// maxNameBytes is the maximum length of a VM ID, in bytes.
	maxNameBytes = 255
)

// Defaults of the settings.
const (
	defaultPingInterval     = 800 * time.Millisecond
	defaultPingTimeout      = 800 * time.Millisecond
	defaultIdleTimeout      = 3 * time.Second
	defaultHandshakeTimeout = time.Second
	defaultWriteTimeout     = time.Second
	defaultBackoffMin       = 100 * time.Millisecond
	defaultBackoffMax       = time.Second
	defaultMaxDials         = 8
	defaultMaxInbound       = 1024
	defaultMaxHandshakes    = 64
)

// Settings configure the plug-in. Zero values select the defaults, except for Self, Listen and Keys, which are
// required.
type Settings struct {
	// Self is the ID of this VM.
	Self model.VMID
	// Listen is the address to listen on, host:port.
	Listen string
	// Keys are the shared keys, each at least MinKeyBytes long. The first one is used to compute MACs, and all are used
	// to verify them. To rotate keys without downtime, add the new key at the end on every VM, then move it to the
	// front on every VM, then remove the old one.
	Keys [][]byte
	// PingInterval is the time between two pings, PingTimeout the time limit for the response to a ping. An
	// unresponsive connection is detected within their sum.
	PingInterval time.Duration
	PingTimeout  time.Duration
	// IdleTimeout is the time without a frame or ping after which the accepting side closes a connection.
	IdleTimeout time.Duration
	// HandshakeTimeout bounds the time for dialing and authentication.
	HandshakeTimeout time.Duration
	// WriteTimeout bounds the time for writing one frame.
	WriteTimeout time.Duration
	// BackoffMin and BackoffMax are the bounds of the exponential backoff between two dials of a peer, before jitter.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// MaxDials is the maximum number of concurrent dials.
	MaxDials int
	// MaxInbound is the maximum number of accepted connections, MaxHandshakes that of those not yet authenticated.
	MaxInbound    int
	MaxHandshakes int
	// Log receives the log lines of the plug-in; nil discards them.
	Log *logging.Logger
	// Count is called for each event; nil ignores them. It must not block.
	Count func(event Event)
}

// Host is implemented by hosts that provide the settings of the plug-in.
type Host interface {
	PeerSettings() Settings
}

// Event is a kind of event that is counted as a metric.
type Event uint8

// Events of connections and messages.
const (
	// Connected counts connections that this VM dialed and authenticated.
	Connected Event = iota
	// Accepted counts authenticated connections from peers.
	Accepted
	// Disconnected counts authenticated connections that this VM dialed and that have ended.
	Disconnected
	// DialFailed counts dials that failed before the connection was authenticated.
	DialFailed
	// Unauthenticated counts rejected handshakes, and frames that are foreign, replayed, reordered or altered.
	Unauthenticated
	// Malformed counts frames and messages that cannot be decoded or are of unknown kind.
	Malformed
	// Unresponsive counts connections that were closed with ErrUnresponsive.
	Unresponsive
	// QueueFull counts messages rejected because a queue was full.
	QueueFull
	// Expired counts forwarded requests dropped because their deadline passed in the queue.
	Expired
)

var eventNames = [...]string{"connected", "accepted", "disconnected", "dial_failed", "unauthenticated", "malformed", "silent",
	"queue_full", "expired"}

// String returns the name of the event in metrics.
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
	orDefault(&s.IdleTimeout, defaultIdleTimeout)
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
		return ErrSettings.New("the listen address is missing")
	}
	if len(s.Keys) == 0 {
		return ErrSettings.New("the shared key is missing")
	}
	for index, key := range s.Keys {
		if len(key) < MinKeyBytes {
			return ErrSettings.New("shared key %d has %d bytes, want at least %d", index+1, len(key), MinKeyBytes)
		}
	}
	if s.BackoffMin > s.BackoffMax {
		return ErrSettings.New("the minimum backoff %s exceeds the maximum backoff %s", s.BackoffMin, s.BackoffMax)
	}
	for _, length := range []time.Duration{s.PingInterval, s.PingTimeout, s.IdleTimeout, s.HandshakeTimeout, s.WriteTimeout, s.BackoffMin} {
		if length < 0 {
			return ErrSettings.New("a timeout, interval or backoff is negative: %s", length)
		}
	}
	if min(s.MaxDials, s.MaxInbound, s.MaxHandshakes) < 0 {
		return ErrSettings.New("a limit of dials, connections or handshakes is negative")
	}
	return nil
}

// isType reports whether an error is of a type of this package.
func isType(err error, kind *errorx.Type) bool { return errorx.IsOfType(err, kind) }
