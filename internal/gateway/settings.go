package gateway

import (
	"flag"
	"fmt"
	"math"
	"net"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
)

var (
	errNamespace = errorx.NewNamespace("gateway")
	// ErrSettings reports missing or invalid settings.
	ErrSettings = errNamespace.NewType("settings")
)

const (
	bytesPerMB = 1_000_000
	// bodyMemoryShare is the share of a VM's memory for the bodies of responses that are not delivered yet. While a body
	// grows it is held twice, and the garbage collector may leave as much again.
	bodyMemoryShare = 1.0 / 16
	// callerBodyMemoryShare is the share of a VM's memory for the bodies of callers' requests that are not finished.
	callerBodyMemoryShare = 3.0 / 8
	// defaultCallerBodyMemory is the number of bytes for them if the VM's memory is not known.
	defaultCallerBodyMemory = 256 << 20
	// headMemoryShare is the share of a VM's memory for the heads of callers' requests beyond callerconn.FreeHeadBytes each.
	headMemoryShare = 1.0 / 8
	// defaultHeadMemory is the number of bytes for them if the VM's memory is not known.
	defaultHeadMemory = 64 << 20
	// reservedDescriptors are those that are not for sockets: files, and what the runtime needs.
	reservedDescriptors = 200
	// callerSocketShare is the share of the other descriptors for callers' connections. The rest is for targets, other VMs, the
	// store and readiness checks.
	callerSocketShare = 0.6
	// connectionMemoryShare is the share of a VM's memory for callers' connections, and connectionBytes what one needs at most
	// beside what is counted as heads and bodies: buffers, stacks and FreeHeadBytes.
	connectionMemoryShare = 1.0 / 8
	connectionBytes       = 24 << 10
	// heapShare is the share of a VM's memory from which the garbage collector runs more often, to stay below the limit.
	heapShare = 0.8
	// controlBodyMemory is the memory for the incomplete bodies of responses to grants and releases, in bytes.
	controlBodyMemory = 1 << 20
)

// Settings are the settings of the gateway role. They are read from flags, environment variables and a file of lines
// "flag value"; unknown lines of the file are ignored.
type Settings struct {
	// VM, Zone and Region are the name and the location of this VM.
	VM     string
	Zone   string
	Region string
	// Zones lists all zones with their regions: zone=region,...
	Zones string
	// ListenCallers, ListenReady and ListenMetrics are IP:port addresses.
	ListenCallers string
	ListenReady   string
	ListenMetrics string
	// ListenPeers is the IP:port at which this VM receives reports of other VMs while it is the leader.
	ListenPeers string
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string
	// RetryShare, RetryWindow and RetryBurst limit the repeated attempts of each service over all VMs: the maximum ratio
	// to requests, the window in which both are counted, and the number allowed beyond the ratio in a window.
	RetryShare  float64
	RetryWindow time.Duration
	RetryBurst  float64
	// HoldMax is the maximum duration of a grant of keys.
	HoldMax time.Duration
	// Grace is the maximum time between the stop signal and the end of the process.
	Grace time.Duration
	// ColdFactor is the factor by which the rate limit of a cold target is multiplied.
	ColdFactor float64
	// ColdBurst is the number of requests per second that are added to the rate limit of a cold target, over all VMs.
	ColdBurst float64
	// LinkMbps is the bandwidth of this VM's link, in Mbit/s; 0 if it is not known.
	LinkMbps float64
	// MemoryMB is the memory limit of this VM, in MB; 0 if it is not known.
	MemoryMB float64
	// MaxDescriptors is the limit of this VM's file descriptors, which bounds the connections of callers; 0 if it is not known.
	MaxDescriptors int
	// BodyTimeout is the maximum time to receive the body of a request; the request's deadline also applies.
	BodyTimeout time.Duration
	// QuotaWindow, QuotaExcess and QuotaTolerance state by how much a tenant may exceed its limit over all VMs: in a window, by a share
	// of the limit and a number of requests beyond that. Without a window there are no quotas.
	QuotaWindow    time.Duration
	QuotaExcess    float64
	QuotaTolerance float64
	// DeliveryTimeout is the maximum time to write a response to its caller.
	DeliveryTimeout time.Duration
	// LogLevel is a level of logrus.
	LogLevel string
}

// Bind defines the flags of the settings.
func (s *Settings) Bind(flags *flag.FlagSet) {
	flags.StringVar(&s.VM, "vm-id", "", "Name of this VM.")
	flags.StringVar(&s.Zone, "zone", "", "Availability zone of this VM.")
	flags.StringVar(&s.Region, "region", "", "Region of this VM.")
	flags.StringVar(&s.Zones, "zones", "", "All zones with their regions: zone=region,...")
	flags.StringVar(&s.ListenCallers, "listen-callers", "", "Listen address for callers, IP:port.")
	flags.StringVar(&s.ListenReady, "listen-ready", "", "Listen address for the readiness check, IP:port.")
	flags.StringVar(&s.ListenPeers, "listen-peers", "",
		"Listen address at which other VMs reach this VM while it is the leader, IP:port.")
	flags.StringVar(&s.ListenMetrics, "listen-metrics", "",
		"Listen address for metrics, IP:port; empty disables metrics.")
	flags.StringVar(&s.StoreAddress, "store-address", "", "Address of the platform's store, IP:port.")
	flags.Float64Var(&s.RetryShare, "retry-share", 0.2,
		"Maximum ratio of repeated attempts (retries and hedges) to requests of a service, over all VMs.")
	flags.DurationVar(&s.RetryWindow, "retry-window", 10*time.Second,
		"Window in which the requests and repeated attempts of a service are counted.")
	flags.Float64Var(&s.RetryBurst, "retry-burst", 60,
		"Repeated attempts of a service allowed beyond the ratio in a window, over all VMs.")
	flags.DurationVar(&s.HoldMax, "hold-max", 10*time.Second, "Maximum duration of a grant of keys to a target.")
	flags.DurationVar(&s.Grace, "grace", 6*time.Second,
		"Maximum time between the stop signal and the end of the process.")
	flags.Float64Var(&s.ColdFactor, "cold-factor", 1, "Factor by which the rate limit of a cold target is multiplied.")
	flags.Float64Var(&s.ColdBurst, "cold-burst", 5,
		"Requests per second that are added to the rate limit of a cold target, over all VMs.")
	flags.Float64Var(&s.LinkMbps, "link-mbps", 0,
		"Bandwidth of this VM's link in Mbit/s; VMs with a fast link are preferred as leader. 0 if it is not known.")
	flags.Float64Var(&s.MemoryMB, "memory-mb", 0,
		"Memory limit of this VM in MB; it bounds the memory for bodies of requests and responses. 0 if it is not known.")
	flags.IntVar(&s.MaxDescriptors, "max-fds", 0,
		"Limit of this VM's file descriptors; it bounds the connections of callers. 0 if it is not known.")
	flags.DurationVar(&s.BodyTimeout, "body-timeout", 30*time.Second,
		"Maximum time to receive the body of a request; a caller that takes longer gets 408.")
	flags.DurationVar(&s.QuotaWindow, "quota-window", 0,
		"Window in which the requests of a tenant are counted over all VMs; 0 disables the quotas of tenants.")
	flags.Float64Var(&s.QuotaExcess, "quota-excess", 0,
		"Share of a tenant's limit by which its requests in a window may exceed the limit.")
	flags.Float64Var(&s.QuotaTolerance, "quota-tolerance", 0,
		"Requests of a tenant in a window that are tolerated beyond its limit and the excess.")
	flags.DurationVar(&s.DeliveryTimeout, "delivery-timeout", 30*time.Second,
		"Maximum time to write a response to its caller; a caller that reads more slowly is disconnected.")
	flags.StringVar(&s.LogLevel, "log-level", "info",
		"Minimum level of the log lines that are written: debug, info, warning or error.")
	flags.String("config", "",
		"File with settings, one \"flag value\" per line; flags and environment variables take precedence.")
}

// Options returns the options with which ff reads the settings. A missing file is an error.
func Options(prefix string) []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(prefix), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.PlainParser),
		ff.WithIgnoreUndefined(true),
	}
}

// Check returns an ErrSettings error that lists all invalid settings, one per line.
func (s *Settings) Check() error {
	var problems []string
	addProblem := func(name, value, hint string) {
		problems = append(problems, fmt.Sprintf("-%s: %q: %s", name, value, hint))
	}
	for name, value := range map[string]string{"vm-id": s.VM, "zone": s.Zone, "region": s.Region} {
		if value == "" {
			addProblem(name, value, "set a name")
		}
	}
	for name, value := range map[string]string{
		"listen-callers": s.ListenCallers, "listen-ready": s.ListenReady, "store-address": s.StoreAddress, "listen-peers": s.ListenPeers,
	} {
		if _, _, err := net.SplitHostPort(value); err != nil {
			addProblem(name, value, "set an address IP:port")
		}
	}
	if _, err := s.regions(); err != nil {
		addProblem("zones", s.Zones, err.Error())
	}
	for name, value := range map[string]time.Duration{
		"retry-window": s.RetryWindow, "hold-max": s.HoldMax, "grace": s.Grace, "delivery-timeout": s.DeliveryTimeout,
		"body-timeout": s.BodyTimeout,
	} {
		if value <= 0 {
			addProblem(name, value.String(), "set a duration above 0, for instance 5s")
		}
	}
	s.checkLimits(addProblem)
	s.checkQuotas(addProblem)
	if len(problems) == 0 {
		return nil
	}
	return ErrSettings.New("%s", strings.Join(problems, "\n"))
}

// checkLimits reports the limits of this VM and of its requests that are out of range.
func (s *Settings) checkLimits(addProblem func(name, value, hint string)) {
	if s.RetryShare < 0 || s.RetryBurst < 0 || s.ColdBurst < 0 {
		addProblem("retry-share, -retry-burst, -cold-burst", "", "set numbers of at least 0")
	}
	if s.LinkMbps < 0 {
		addProblem("link-mbps", fmt.Sprint(s.LinkMbps), "set a bandwidth in Mbit/s, or 0")
	}
	if s.MemoryMB < 0 {
		addProblem("memory-mb", fmt.Sprint(s.MemoryMB), "set a memory limit in MB, or 0")
	}
	if s.MaxDescriptors < 0 || s.MaxDescriptors > 0 && s.MaxDescriptors <= 2*reservedDescriptors {
		addProblem("max-fds", fmt.Sprint(s.MaxDescriptors), fmt.Sprintf("set a limit above %d, or 0", 2*reservedDescriptors))
	}
}

// bodyMemory returns the number of bytes that the bodies of responses may hold until they are delivered; 0 if the memory limit is not known.
func (s *Settings) bodyMemory() int64 { return int64(s.MemoryMB * bytesPerMB * bodyMemoryShare) }

// callerBodyMemory returns the number of bytes that the bodies of unfinished requests of callers may hold.
func (s *Settings) callerBodyMemory() int64 {
	if s.MemoryMB == 0 {
		return defaultCallerBodyMemory
	}
	return int64(s.MemoryMB * bytesPerMB * callerBodyMemoryShare)
}

// headMemory returns the number of bytes that the heads of callers' requests may hold beyond callerconn.FreeHeadBytes each.
func (s *Settings) headMemory() int64 {
	if s.MemoryMB == 0 {
		return defaultHeadMemory
	}
	return int64(s.MemoryMB * bytesPerMB * headMemoryShare)
}

// maxConnections returns the largest number of callers' connections; 0 if neither descriptors nor memory are known.
func (s *Settings) maxConnections() int {
	limit := 0
	if s.MaxDescriptors > 0 {
		limit = int(float64(s.MaxDescriptors-reservedDescriptors) * callerSocketShare)
	}
	if s.MemoryMB > 0 {
		byMemory := int(s.MemoryMB * bytesPerMB * connectionMemoryShare / connectionBytes)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// heapLimit returns the size of the heap from which the garbage collector runs more often, in bytes; 0 if the memory limit
// is not known.
func (s *Settings) heapLimit() int64 { return int64(s.MemoryMB * bytesPerMB * heapShare) }

// checkQuotas adds the problems of the settings of quotas.
func (s *Settings) checkQuotas(addProblem func(name, value, hint string)) {
	for name, value := range map[string]float64{
		"quota-window": s.QuotaWindow.Seconds(), "quota-excess": s.QuotaExcess, "quota-tolerance": s.QuotaTolerance,
	} {
		// A value that is not a number fails the comparison.
		if !(value >= 0) || math.IsInf(value, 1) {
			addProblem(name, fmt.Sprint(value), "set a finite value of 0 or more")
		}
	}
}

// quotaBounds returns by how much a tenant may exceed its limit.
func (s *Settings) quotaBounds() shares.QuotaBounds {
	return shares.QuotaBounds{
		Window: s.QuotaWindow, Excess: s.QuotaExcess, Tolerance: s.QuotaTolerance,
		CentralRate: shares.DefaultCentralRate,
	}
}

// regions returns the region of each zone.
func (s *Settings) regions() (map[model.Zone]model.Region, error) {
	regions := map[model.Zone]model.Region{}
	for _, item := range strings.Split(s.Zones, ",") {
		zone, region, found := strings.Cut(strings.TrimSpace(item), "=")
		if !found || zone == "" || region == "" {
			return nil, ErrSettings.New("list zones as zone=region,...")
		}
		regions[model.Zone(zone)] = model.Region(region)
	}
	if regions[model.Zone(s.Zone)] != model.Region(s.Region) {
		return nil, ErrSettings.New("zone %q must be listed with region %q", s.Zone, s.Region)
	}
	return regions, nil
}
