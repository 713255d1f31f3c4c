package settings

import (
	"flag"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

var definitions = []Definition{
	{"vm-id", "name", "", "Name of this VM in the platform's VM list.", func(e *Entry) flag.Value { return text[model.VMID]{&e.VM} }},
	{"zone", "name", "", "Availability zone of this VM.", func(e *Entry) flag.Value { return text[model.Zone]{&e.Zone} }},
	{"region", "name", "", "Region of the zone.", func(e *Entry) flag.Value { return text[model.Region]{&e.Region} }},
	{"listen-callers", "IP:port", "0.0.0.0:8080", "Address for callers.", func(e *Entry) flag.Value { return text[string]{&e.ListenCallers} }},
	{"listen-peers", "IP:port", "", "Address for other entry VMs, which connect to it.", func(e *Entry) flag.Value { return text[string]{&e.ListenPeers} }},
	{"listen-admin", "IP:port", "127.0.0.1:8081", "Address for operators and metrics.", func(e *Entry) flag.Value { return text[string]{&e.ListenAdmin} }},
	{"platform-log-url", "URL", "", "Base URL of the platform's store, which holds the log.", func(e *Entry) flag.Value { return text[string]{&e.LogURL} }},
	{"platform-vmlist-url", "URL", "", "Base URL of the platform's store, which lists the VMs.", func(e *Entry) flag.Value { return text[string]{&e.VMListURL} }},
	{"peers", "vm=IP:port, separated by commas", "", "Other entry VMs that are known at the start.", func(e *Entry) flag.Value { return peerList{&e.Peers} }},
	{"peer-keys", "text of at least 32 bytes each, separated by commas", "", "Shared keys of the entry VMs; the first signs, all verify. Use the variable: other processes can read flags.", func(e *Entry) flag.Value { return keyList{&e.PeerKeys} }},
	{"max-header-bytes", "bytes", "16384", "Largest header of a caller's request.", func(e *Entry) flag.Value { return integer[int]{&e.MaxHeaderBytes} }},
	{"max-body-bytes", "bytes", "4194304", "Largest body of a caller's request.", func(e *Entry) flag.Value { return integer[int64]{&e.MaxBodyBytes} }},
	{"read-timeout", "duration", "10s", "Longest time to read a caller's request.", func(e *Entry) flag.Value { return duration{&e.ReadTimeout} }},
	{"max-connections", "connections", "4096", "Most open connections of callers.", func(e *Entry) flag.Value { return integer[int]{&e.MaxConnections} }},
	{"request-timeout", "duration", "30s", "Longest time for a request, whatever its deadline.", func(e *Entry) flag.Value { return duration{&e.RequestTimeout} }},
	{"drain-time", "duration", "35s", "Longest time to finish running requests on a planned stop.", func(e *Entry) flag.Value { return duration{&e.DrainTime} }},
	{"balancer-delay", "duration", "1s", "Time at the start of a planned stop in which the VM reports that it is not ready but still takes requests, so that the balancer notices first.", func(e *Entry) flag.Value { return duration{&e.BalancerDelay} }},
	{"log-retention", "duration", "10m", "Shortest time for which the log keeps records. Snapshots are appended twice as often.", func(e *Entry) flag.Value { return duration{&e.LogRetention} }},
	{"log-level", "debug, info, warn or error", "info", "Least level of the log lines that are written.", func(e *Entry) flag.Value { return text[string]{&e.LogLevel} }},
	{"plugin-log", "plug-in ID", "platform.log.http", "Adapter to the log service.", func(e *Entry) flag.Value { return text[kernel.ID]{&e.Plugins.Log} }},
	{"plugin-vmlist", "plug-in ID", "platform.vmlist.http", "Adapter to the VM list.", func(e *Entry) flag.Value { return text[kernel.ID]{&e.Plugins.VMList} }},
	{"plugin-target", "plug-in ID", "target.http", "Adapter to targets.", func(e *Entry) flag.Value { return text[kernel.ID]{&e.Plugins.Target} }},
	{"plugin-peer", "plug-in ID", "peer.websocket", "Adapter to other entry VMs.", func(e *Entry) flag.Value { return text[kernel.ID]{&e.Plugins.Peer} }},
	{"plugin-front", "plug-in ID", "front.http", "Adapter to callers.", func(e *Entry) flag.Value { return text[kernel.ID]{&e.Plugins.Front} }},
}
