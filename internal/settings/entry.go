// Package settings reads the settings of a process from flags and environment variables.
//
// The flag -name and the variable TARRAGONPOINT_NAME set the same setting; the flag wins. docs/SETTINGS.md lists all
// settings; a test keeps it equal to Definitions.
package settings

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Entry holds the settings of the entry role.
type Entry struct {
	// VM names this VM as the platform's VM list does.
	VM     model.VMID
	Zone   model.Zone
	Region model.Region
	// ListenCallers is the address for callers, IP:port. The IP may be unspecified.
	ListenCallers string
	// ListenPeers is the address for other entry VMs, IP:port. They connect to it, so the IP is specific.
	ListenPeers string
	// ListenAdmin is the address for operators, IP:port. The IP may be unspecified.
	ListenAdmin string
	// LogURL and VMListURL are the base URLs of the platform's services.
	LogURL    string
	VMListURL string
	// Peers are the entry VMs that are known at the start. This VM may be among them, so that all VMs can share the list.
	Peers []Peer
	// PeerKeys authenticate entry VMs. The first signs, all verify.
	PeerKeys Keys
	// MaxHeaderBytes limits the header of a caller's request, in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes limits the body of a caller's request, in bytes.
	MaxBodyBytes int64
	// ReadTimeout limits the time to read a caller's request.
	ReadTimeout time.Duration
	// MaxConnections limits the open connections of callers.
	MaxConnections int
	// RequestTimeout limits a request whatever deadline the caller or the service sets.
	RequestTimeout time.Duration
	// DrainTime limits the time to finish running requests on a planned stop.
	DrainTime time.Duration
	// BalancerDelay is the part of the drain time in which this VM reports that it is not ready but still takes requests.
	BalancerDelay time.Duration
	// LogRetention is the shortest time for which the log keeps records.
	LogRetention time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// Plugins are the adapters at the edges.
	Plugins Plugins

	// malformed holds what is wrong with values that could not be parsed, by flag. Check reports them with all other faults.
	malformed map[string]string
}

// Peer is an entry VM and its peer address, IP:port.
type Peer struct {
	VM      model.VMID
	Address string
}

// Plugins names the plug-in of each edge.
type Plugins struct {
	Log    kernel.ID
	VMList kernel.ID
	Target kernel.ID
	Peer   kernel.ID
	Front  kernel.ID
}
