package config

import (
	"net/netip"
	"regexp"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// Limits of a configuration.
const (
	// MaxSlots is the maximum number of hash slots of a service for each placement class.
	MaxSlots = 65536
	// MaxConcurrency is the maximum of a concurrency limit, of a target or of a tenant.
	MaxConcurrency = 10_000
	// MaxColdStart is the maximum duration of the ramp-up of a target.
	MaxColdStart = time.Hour
	// MinTimeout and MaxTimeout bound the timeout of a service.
	MinTimeout = time.Millisecond
	MaxTimeout = 10 * time.Minute
	// MaxKeyBytes is the maximum length of a declared key, in bytes.
	MaxKeyBytes = 512
	// MaxKeysPerTarget is the maximum number of keys declared for one target. It is limited because a patch always
	// contains a target as a whole.
	MaxKeysPerTarget = 4096
	// MaxRate is the maximum of a rate setting, in requests per second.
	MaxRate = 1e9
	// MaxSpillBytesPerSecond is the maximum budget for requests to other regions, in bytes per second.
	MaxSpillBytesPerSecond = 1 << 40

	maxPercent          = 100
	maxImbalancePercent = 1000
	// reservedRegion is not allowed as a name, because it equals the placement class of tenants without home regions.
	reservedRegion = model.Region(model.AnyRegion)
)

var (
	// namePattern excludes "+" and "/", which separate the parts of placement classes and of slots.
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	pluginPattern = regexp.MustCompile(`^[a-z][a-z0-9]*(\.[a-z][a-z0-9]*)+$`)
)

// Validate returns ErrInvalid with all problems of a state, or nil if it is valid.
func Validate(state State) error { return check(state).asError(ErrInvalid) }

func check(state State) Problems {
	c := &collector{}
	for _, region := range state.Regions {
		c.entity = keyOf(record.KindRegion, region.Name)
		c.checkRegion(region)
	}
	for _, zone := range state.Zones {
		c.entity = keyOf(record.KindZone, zone.Name)
		c.checkZone(state, zone)
	}
	for _, service := range state.Services {
		c.entity = keyOf(record.KindService, service.Name)
		c.checkService(service)
	}
	for _, tenant := range state.Tenants {
		c.entity = keyOf(record.KindTenant, tenant.Name)
		c.checkTenant(state, tenant)
	}
	c.checkTargets(state)
	c.entity = record.EntityKey{Kind: record.KindRules, Name: rulesName}
	c.checkRules(state.Rules)
	return c.problems.sorted()
}

func (c *collector) checkName(field, name string) {
	if !IsName(name) {
		c.add(field, "use 1 to 63 letters, digits, '.', '_' or '-', and start with a letter or digit", "%q is not a valid name", name)
	}
}

func (c *collector) checkRegion(region Region) {
	c.checkName("name", string(region.Name))
	if region.Name == reservedRegion {
		c.add("name", "choose another name", "the name %q is reserved", reservedRegion)
	}
}

func (c *collector) checkZone(state State, zone Zone) {
	c.checkName("name", string(zone.Name))
	if _, found := state.Regions[zone.Region]; !found {
		c.add("region", "add the region or correct the name", "there is no region %q", zone.Region)
	}
}

func (c *collector) checkService(service Service) {
	c.checkName("name", string(service.Name))
	checkRange(c, "slots", service.Slots, 1, MaxSlots)
	checkRange(c, "concurrency", service.Concurrency, 1, MaxConcurrency)
	checkRange(c, "cold_initial", service.ColdInitial, 1, max(1, service.Concurrency))
	checkRange(c, "cold_start", service.ColdStart, 0, MaxColdStart)
	checkRange(c, "timeout", service.Timeout, MinTimeout, MaxTimeout)
	if service.Fencing != route.FencingChecked && service.Fencing != route.FencingUnchecked {
		c.add("fencing", `write "checked" if the targets check fences and terms, otherwise "unchecked"`, "%q is not a known fencing mode", service.Fencing)
	}
}

func (c *collector) checkTenant(state State, tenant Tenant) {
	c.checkName("name", string(tenant.Name))
	checkRange(c, "rate_limit", tenant.RateLimit, 0, MaxRate)
	checkRange(c, "concurrency_limit", tenant.ConcurrencyLimit, 0, MaxConcurrency)
	seen := map[model.Region]bool{}
	for _, home := range tenant.HomeRegions {
		if _, found := state.Regions[home]; !found {
			c.add("home_regions", "add the region or correct the name", "there is no region %q", home)
		}
		if seen[home] {
			c.add("home_regions", "list it once", "region %q is listed twice", home)
		}
		seen[home] = true
	}
}

func (c *collector) checkRules(rules Rules) {
	checkRange(c, "default_rate_limit", rules.DefaultRateLimit, 0, MaxRate)
	checkRange(c, "default_concurrency_limit", rules.DefaultConcurrencyLimit, 0, MaxConcurrency)
	checkRange(c, "retry_percent", rules.RetryPercent, 0, maxPercent)
	checkRange(c, "hedge_percent", rules.HedgePercent, 0, maxPercent)
	checkRange(c, "max_ejected_percent", rules.MaxEjectedPercent, 0, maxPercent)
	checkRange(c, "imbalance_percent", rules.ImbalancePercent, 0, maxImbalancePercent)
	checkRange(c, "spill_bytes_per_second", rules.SpillBytesPerSecond, 0, MaxSpillBytesPerSecond)
	checkRange(c, "hot_key_rate", rules.HotKeyRate, 0, MaxRate)
	if !IsPluginID(rules.Balance) {
		c.add("balance", `write a dotted ID such as "balance.p2c"`, "%q is not a plug-in ID", rules.Balance)
	}
}

type number interface {
	~int | ~int64 | ~uint32 | ~float64
}

// checkRange adds a problem unless low <= value <= high. NaN fails the check, because comparisons with NaN are false.
func checkRange[N number](c *collector, field string, value, low, high N) {
	if value >= low && value <= high {
		return
	}
	c.add(field, "choose a value in the range", "%v is not between %v and %v", value, low, high)
}

// CheckAddress returns what is wrong with an address, which must have the form IP:port, or "" if it is valid.
func CheckAddress(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return "is not of the form IP:port"
	case parsed.Port() == 0:
		return "has port 0"
	case parsed.Addr().IsUnspecified():
		return "has no specific IP address"
	default:
		return ""
	}
}

// IsPluginID reports whether text is a valid dotted plug-in ID such as "balance.p2c".
func IsPluginID(text string) bool { return pluginPattern.MatchString(text) }

// IsName reports whether text is a valid name of a VM, zone, region, service, target or tenant.
func IsName(text string) bool { return namePattern.MatchString(text) }
