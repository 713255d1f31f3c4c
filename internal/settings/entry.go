// Package settings reads the settings of the entry role from flags and environment variables, checks them and warns of
// risky ones.
//
// The flag -name and the variable TARRAGONPOINT_NAME set the same setting; the flag has precedence. docs/SETTINGS.md
// lists all settings; a test checks that it matches Definitions.
package settings

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Entry holds the settings of the entry role.
type Entry struct {
	// VM is the ID of this VM in the platform's VM list.
	VM     model.VMID
	Zone   model.Zone
	Region model.Region
	// ListenCallers is the listen address for callers, IP:port. The IP may be unspecified.
	ListenCallers string
	// ListenPeers is the listen address for other entry VMs, IP:port. They connect to it, so the IP must be specific.
	ListenPeers string
	// ListenAdmin is the listen address for operators, IP:port. The IP may be unspecified.
	ListenAdmin string
	// LogURL and VMListURL are the base URLs of the platform's services.
	LogURL    string
	VMListURL string
	// Peers are the entry VMs known at startup. The list may include this VM, so that all VMs can have the same list.
	Peers []Peer
	// PeerKeys authenticate entry VMs to each other. The first key signs; all keys verify.
	PeerKeys Keys
	// MaxHeaderBytes limits the header of a caller's request, in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes limits the body of a caller's request, in bytes.
	MaxBodyBytes int64
	// ReadTimeout limits the time to read the header of a caller's request, and separately its body.
	ReadTimeout time.Duration
	// MaxConnections limits the open connections of callers.
	MaxConnections int
	// RequestTimeout limits the duration of a request, even if the caller or the service sets a later deadline.
	RequestTimeout time.Duration
	// DrainTime limits the time in which running requests may finish during a planned stop.
	DrainTime time.Duration
	// BalancerDelay is the first part of the drain time, in which this VM reports that it is not ready but still accepts
	// requests.
	BalancerDelay time.Duration
	// LogRetention is the minimum time for which the log keeps records.
	LogRetention time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// Plugins are the plug-ins that connect this VM to the platform, targets, other entry VMs and callers.
	Plugins Plugins

	// malformed holds the parse errors of values by flag. Check reports them with all other problems.
	malformed map[string]string
}

// Peer is an entry VM and its peer address, IP:port.
type Peer struct {
	VM      model.VMID
	Address string
}

// Plugins holds the ID of the plug-in for each external interface.
type Plugins struct {
	Log    kernel.ID
	VMList kernel.ID
	Target kernel.ID
	Peer   kernel.ID
	Front  kernel.ID
}
