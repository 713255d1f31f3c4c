package settings

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// minKeyVariety is the number of distinct bytes below which a key counts as easy to guess. 32 random hexadecimal
	// digits have 14 on average.
	minKeyVariety = 8
	// shortRetention is the log retention below which a starting VM has little time to read the records that it needs.
	shortRetention = 2 * time.Minute
)

// commandVariables are the suffixes of variables of the operator commands. They may also be set in the environment of
// the entry role.
var commandVariables = []string{"ADMIN", "ADMIN_TIMEOUT", "AUTHOR", "BASE", "INVENTORY", "JSON", "RULES", "TENANT", "TIMEOUT"}

// Warning describes a setting that is valid but risky.
type Warning struct {
	// Flag is the name of the flag without the leading dash.
	Flag string
	// Text is a constant sentence that states the effect and, where there is one, the remedy.
	Text string
}

// Warnings returns the risky settings of an entry that passed Check, in the order of the documentation.
func Warnings(entry Entry) []Warning {
	var found []Warning
	warnIf := func(isRisky bool, name, text string) {
		if isRisky {
			found = append(found, Warning{Flag: name, Text: text})
		}
	}
	warnIf(!isLoopback(entry.ListenAdmin), "listen-admin",
		"Other machines can reach the admin address, which has no authentication. Limit access in the network.")
	warnIf(!slices.ContainsFunc(entry.Peers, func(p Peer) bool { return p.VM != entry.VM }), "peers",
		"No other entry VM is listed, so this VM cannot start while the log is unavailable.")
	warnIf(slices.ContainsFunc(entry.PeerKeys, isGuessable), "peer-keys",
		"A shared key has few distinct bytes and may be easy to guess. Use at least 32 random bytes.")
	warnIf(entry.RequestTimeout > entry.DrainTime-entry.BalancerDelay && entry.DrainTime > entry.BalancerDelay, "request-timeout",
		"A request may take longer than the drain time minus the balancer delay, so a planned stop can interrupt it.")
	warnIf(entry.DrainTime <= entry.BalancerDelay, "drain-time",
		"The balancer delay takes up the whole drain time, so a planned stop interrupts running requests.")
	warnIf(entry.BalancerDelay == 0, "balancer-delay",
		"A planned stop refuses connections before the balancer can detect it.")
	warnIf(entry.LogRetention < shortRetention, "log-retention",
		"Snapshots are frequent, and a starting VM has little time to read the log.")
	warnIf(entry.LogLevel == "debug", "log-level",
		"Debug logging is meant for developers and writes many lines.")
	return found
}

// UnknownVariables returns the names of the environment variables that have the program's prefix but set nothing.
func UnknownVariables(environment []string) []string {
	var unknown []string
	for _, setting := range environment {
		name, _, _ := strings.Cut(setting, "=")
		suffix, hasPrefix := strings.CutPrefix(name, EnvironmentPrefix+"_")
		if hasPrefix && !slices.Contains(commandVariables, suffix) && !isDefined(name) {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

func isDefined(variable string) bool {
	return slices.ContainsFunc(definitions, func(d Definition) bool { return d.Variable() == variable })
}

func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}

func isGuessable(key Secret) bool {
	distinct := map[byte]bool{}
	for _, value := range key.Reveal() {
		distinct[value] = true
	}
	return len(distinct) < minKeyVariety
}
