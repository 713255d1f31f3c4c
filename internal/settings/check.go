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
	c.addMalformed(entry.malformed)
	c.checkName("vm-id", string(entry.VM))
	c.checkName("zone", string(entry.Zone))
	c.checkName("region", string(entry.Region))
	c.checkListenAddress("listen-callers", entry.ListenCallers)
	c.checkAddress("listen-peers", entry.ListenPeers)
	c.checkListenAddress("listen-admin", entry.ListenAdmin)
	c.checkURL("platform-log-url", entry.LogURL)
	c.checkURL("platform-vmlist-url", entry.VMListURL)
	c.checkListenAddresses(entry)
	c.checkPeers(entry)
	c.checkKeys(entry.PeerKeys)
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
	c.checkPlugins(entry.Plugins)
	if len(c.problems) == 0 {
		return nil
	}
	return ErrInvalid.New("%s", strings.Join(c.problems, "\n"))
}

func (c *checker) checkName(name, value string) {
	switch {
	case value == "":
		c.add(name, "is required")
	case !config.IsName(value):
		c.add(name, "%q is not a valid name; use letters, digits, '.', '_' or '-'", value)
	}
}

func (c *checker) checkAddress(name, value string) {
	if value == "" {
		c.add(name, "is required, in the form IP:port")
		return
	}
	if problem := config.CheckAddress(value); problem != "" {
		c.add(name, "%q %s", value, problem)
	}
}

// checkListenAddress checks an address to listen on, whose IP may be unspecified.
func (c *checker) checkListenAddress(name, value string) {
	parsed, err := netip.ParseAddrPort(value)
	if err == nil && parsed.Port() != 0 && parsed.Addr().IsUnspecified() {
		return
	}
	c.checkAddress(name, value)
}

// checkURL checks a base URL. The message omits the value, which may contain credentials.
func (c *checker) checkURL(name, value string) {
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

func (c *checker) checkPeers(entry Entry) {
	seen := map[model.VMID]bool{}
	vmByAddress := map[string]model.VMID{}
	if entry.ListenPeers != "" {
		vmByAddress[entry.ListenPeers] = entry.VM
	}
	for _, peer := range entry.Peers {
		c.checkName("peers", string(peer.VM))
		c.checkAddress("peers", peer.Address)
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

// addMalformed adds the values that could not be parsed, sorted by flag.
func (c *checker) addMalformed(messages map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(messages)) {
		c.add(name, "%s", messages[name])
	}
}

// checkListenAddresses reports listen addresses of this VM that are equal.
func (c *checker) checkListenAddresses(entry Entry) {
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

func (c *checker) checkKeys(keys Keys) {
	if len(keys) == 0 {
		c.add("peer-keys", "is required")
	}
	for i, key := range keys {
		if length := len(key.Reveal()); length < minKeyBytes {
			c.add("peer-keys", "key %d has %d bytes, at least %d are needed", i+1, length, minKeyBytes)
		}
	}
}

func (c *checker) checkPlugins(plugins Plugins) {
	c.checkPlugin("plugin-log", plugins.Log)
	c.checkPlugin("plugin-vmlist", plugins.VMList)
	c.checkPlugin("plugin-target", plugins.Target)
	c.checkPlugin("plugin-peer", plugins.Peer)
	c.checkPlugin("plugin-front", plugins.Front)
}

func (c *checker) checkPlugin(name string, id kernel.ID) {
	if !config.IsPluginID(string(id)) {
		c.add(name, `%q is not a plug-in ID such as "front.http"`, id)
	}
}

func checkRange[T cmp.Ordered](c *checker, name string, value, low, high T) {
	if value < low || value > high {
		c.add(name, "%v is not between %v and %v", value, low, high)
	}
}
