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
	{"listen-callers", "IP:port", "0.0.0.0:8080", "Listen address for callers.", func(e *Entry) flag.Value { return text[string]{&e.ListenCallers} }},
	{"listen-peers", "IP:port", "", "Listen address for other entry VMs. They connect to it, so the IP address must be specific.", func(e *Entry) flag.Value { return text[string]{&e.ListenPeers} }},
	{"listen-admin", "IP:port", "127.0.0.1:8081", "Listen address for operators and metrics. It has no authentication.", func(e *Entry) flag.Value { return text[string]{&e.ListenAdmin} }},
	{"platform-log-url", "URL", "", "Base URL of the platform's store that holds the log.", func(e *Entry) flag.Value { return text[string]{&e.LogURL} }},
	{"platform-vmlist-url", "URL", "", "Base URL of the platform's store that holds the VM list.", func(e *Entry) flag.Value { return text[string]{&e.VMListURL} }},
	{"peers", "vm=IP:port, separated by commas", "", "Entry VMs known at startup, from which this VM gets its state while the log is unavailable. The list may include this VM.", func(e *Entry) flag.Value { return peerList{&e.Peers} }},
	{"peer-keys", "text of at least 32 bytes each, separated by commas", "", "Shared keys with which entry VMs authenticate each other. The first key signs, all keys verify. Set the variable instead of the flag, because other processes can read flags.", func(e *Entry) flag.Value { return keyList{&e.PeerKeys} }},
	{"max-header-bytes", "bytes", "16384", "Maximum size of the header of a caller's request. A request with a larger header is rejected.", func(e *Entry) flag.Value { return integer[int]{&e.MaxHeaderBytes} }},
	{"max-body-bytes", "bytes", "4194304", "Maximum size of the body of a caller's request. A request with a larger body is rejected.", func(e *Entry) flag.Value { return integer[int64]{&e.MaxBodyBytes} }},
	{"read-timeout", "duration", "10s", "Maximum time to read the header of a caller's request, and separately its body.", func(e *Entry) flag.Value { return duration{&e.ReadTimeout} }},
	{"max-connections", "connections", "4096", "Maximum number of open connections of callers. Further connections wait in the accept queue of the operating system.", func(e *Entry) flag.Value { return integer[int]{&e.MaxConnections} }},
	{"request-timeout", "duration", "30s", "Maximum duration of a request, even if its deadline or the timeout of its service is later.", func(e *Entry) flag.Value { return duration{&e.RequestTimeout} }},
	{"drain-time", "duration", "35s", "Maximum time for running requests to finish during a planned stop, including the balancer delay. Remaining requests are interrupted.", func(e *Entry) flag.Value { return duration{&e.DrainTime} }},
	{"balancer-delay", "duration", "1s", "Time at the start of a planned stop in which the VM reports that it is not ready but still accepts requests, so that the balancer stops sending before connections are refused.", func(e *Entry) flag.Value { return duration{&e.BalancerDelay} }},
	{"log-retention", "duration", "10m", "Minimum time for which the log keeps records. The VMs append snapshots at intervals of half this time.", func(e *Entry) flag.Value { return duration{&e.LogRetention} }},
	{"log-level", "debug, info, warn or error", "info", "Minimum level of the log lines that are written.", func(e *Entry) flag.Value { return text[string]{&e.LogLevel} }},
	{"plugin-log", "plug-in ID", "platform.log.http", "Plug-in that connects to the log service.", func(e *Entry) flag.Value { return text[kernel.ID]{&e.Plugins.Log} }},
	{"plugin-vmlist", "plug-in ID", "platform.vmlist.http", "Plug-in that reads the VM list.", func(e *Entry) flag.Value { return text[kernel.ID]{&e.Plugins.VMList} }},
	{"plugin-target", "plug-in ID", "target.http", "Plug-in that sends requests to targets.", func(e *Entry) flag.Value { return text[kernel.ID]{&e.Plugins.Target} }},
	{"plugin-peer", "plug-in ID", "peer.websocket", "Plug-in that exchanges messages with other entry VMs.", func(e *Entry) flag.Value { return text[kernel.ID]{&e.Plugins.Peer} }},
	{"plugin-front", "plug-in ID", "front.http", "Plug-in that serves callers.", func(e *Entry) flag.Value { return text[kernel.ID]{&e.Plugins.Front} }},
}
