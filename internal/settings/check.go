package settings

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	minKeyBytes    = 32
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	// maxBodyBytes leaves room for the headers in a message between entry VMs, which is limited to 8 MiB.
	maxBodyBytes      = 7 << 20
	minTimeout        = time.Millisecond
	maxTimeout        = 10 * time.Minute
	maxConnectionsCap = 1 << 20
	minRetention      = 10 * time.Second
	maxRetention      = 365 * 24 * time.Hour
)

var logLevels = []string{"debug", "info", "warn", "error"}

// checker collects the problems of settings, each with its flag and variable.
type checker struct{ problems []string }

func (c *checker) add(name, message string, args ...any) {
	definition := Definition{Flag: name}
	c.problems = append(c.problems, fmt.Sprintf("-%s (%s): %s", name, definition.Variable(), fmt.Sprintf(message, args...)))
}

// Check returns ErrInvalid with all problems of the settings, one per line, or nil if there are none. The message
// contains no secret.
func Check(entry Entry) error {
	c := &checker{}
	c.malformed(entry.malformed)
	c.name("vm-id", string(entry.VM))
	c.name("zone", string(entry.Zone))
	c.name("region", string(entry.Region))
	c.listen("listen-callers", entry.ListenCallers)
	c.address("listen-peers", entry.ListenPeers)
	c.listen("listen-admin", entry.ListenAdmin)
	c.url("platform-log-url", entry.LogURL)
	c.url("platform-vmlist-url", entry.VMListURL)
	c.addresses(entry)
	c.peers(entry)
	c.keys(entry.PeerKeys)
	checkRange(c, "max-header-bytes", entry.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	checkRange(c, "max-body-bytes", entry.MaxBodyBytes, 1, maxBodyBytes)
	checkRange(c, "read-timeout", entry.ReadTimeout, minTimeout, maxTimeout)
	checkRange(c, "max-connections", entry.MaxConnections, 1, maxConnectionsCap)
	checkRange(c, "request-timeout", entry.RequestTimeout, minTimeout, maxTimeout)
	checkRange(c, "drain-time", entry.DrainTime, 0, maxTimeout)
	checkRange(c, "balancer-delay", entry.BalancerDelay, 0, maxTimeout)
	checkRange(c, "log-retention", entry.LogRetention, minRetention, maxRetention)
	if !slices.Contains(logLevels, entry.LogLevel) {
		c.add("log-level", "%q is not one of %s", entry.LogLevel, strings.Join(logLevels, ", "))
	}
	c.plugins(entry.Plugins)
	if len(c.problems) == 0 {
		return nil
	}
	return ErrInvalid.New("%s", strings.Join(c.problems, "\n"))
}

func (c *checker) name(name, value string) {
	switch {
	case value == "":
		c.add(name, "is required")
	case !config.IsName(value):
		c.add(name, "%q is not a valid name; use letters, digits, '.', '_' or '-'", value)
	}
}

func (c *checker) address(name, value string) {
	if value == "" {
		c.add(name, "is required, in the form IP:port")
		return
	}
	if problem := config.CheckAddress(value); problem != "" {
		c.add(name, "%q %s", value, problem)
	}
}

// listen checks an address to listen on, whose IP may be unspecified.
func (c *checker) listen(name, value string) {
	parsed, err := netip.ParseAddrPort(value)
	if err == nil && parsed.Port() != 0 && parsed.Addr().IsUnspecified() {
		return
	}
	c.address(name, value)
}

// url checks a base URL. The message omits the value, which may contain credentials.
func (c *checker) url(name, value string) {
	parsed, err := url.Parse(value)
	switch {
	case value == "":
		c.add(name, "is required")
	case err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https"):
		c.add(name, `is not a URL such as "http://10.0.0.1:7000"`)
	case parsed.User != nil:
		c.add(name, "must not contain a user or password")
	}
}

func (c *checker) peers(entry Entry) {
	seen := map[model.VMID]bool{}
	vmByAddress := map[string]model.VMID{}
	if entry.ListenPeers != "" {
		vmByAddress[entry.ListenPeers] = entry.VM
	}
	for _, peer := range entry.Peers {
		c.name("peers", string(peer.VM))
		c.address("peers", peer.Address)
		if peer.VM == entry.VM && peer.Address != entry.ListenPeers {
			c.add("peers", "lists this VM with the address %s, but -listen-peers is %s", peer.Address, entry.ListenPeers)
		}
		if seen[peer.VM] {
			c.add("peers", "VM %q is listed twice", peer.VM)
		}
		seen[peer.VM] = true
		if other, taken := vmByAddress[peer.Address]; taken && other != peer.VM {
			c.add("peers", "%s is the address of VM %q and of VM %q", peer.Address, other, peer.VM)
		}
		vmByAddress[peer.Address] = peer.VM
	}
}

// malformed adds the values that could not be parsed, sorted by flag.
func (c *checker) malformed(messages map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(messages)) {
		c.add(name, "%s", messages[name])
	}
}

// addresses reports listen addresses of this VM that are equal.
func (c *checker) addresses(entry Entry) {
	taken := map[string]string{}
	for _, listener := range []struct{ name, address string }{
		{"listen-callers", entry.ListenCallers}, {"listen-peers", entry.ListenPeers}, {"listen-admin", entry.ListenAdmin},
	} {
		if other, found := taken[listener.address]; found && listener.address != "" {
			c.add(listener.name, "%s is also the address of -%s", listener.address, other)
		}
		taken[listener.address] = listener.name
	}
}

func (c *checker) keys(keys Keys) {
	if len(keys) == 0 {
		c.add("peer-keys", "is required")
	}
	for i, key := range keys {
		if length := len(key.Reveal()); length < minKeyBytes {
			c.add("peer-keys", "key %d has %d bytes, at least %d are needed", i+1, length, minKeyBytes)
		}
	}
}

func (c *checker) plugins(plugins Plugins) {
	c.plugin("plugin-log", plugins.Log)
	c.plugin("plugin-vmlist", plugins.VMList)
	c.plugin("plugin-target", plugins.Target)
	c.plugin("plugin-peer", plugins.Peer)
	c.plugin("plugin-front", plugins.Front)
}

func (c *checker) plugin(name string, id kernel.ID) {
	if !config.IsPluginID(string(id)) {
		c.add(name, `%q is not a plug-in ID such as "front.http"`, id)
	}
}

func checkRange[T cmp.Ordered](c *checker, name string, value, low, high T) {
	if value < low || value > high {
		c.add(name, "%v is not between %v and %v", value, low, high)
	}
}
