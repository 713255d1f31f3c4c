package gateway

import (
	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/tenant"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// Reasons of responses with result.APIKeyUnknown.
const (
	reasonNoAPIKey       = "no API key"
	reasonSeveralAPIKeys = "several API keys"
	reasonUnknownAPIKey  = "API key is not in the configuration"
	reasonRemovedAPIKey  = "API key was removed from the configuration while the request waited"
)

// credentials are what identifies the tenant of a request.
type credentials struct {
	tenant *tenant.Tenant
	// required is true if the configuration has tenants, so that this VM evaluates the headers of API key and tenant itself.
	required bool
}

// name returns the name of the tenant; empty if there is none.
func (c credentials) name() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// authenticate finds the tenant of a request's API key in a configuration. route is nil if the configuration has none for the
// request. It returns false with the reason if the request needs an API key and has none that the configuration contains.
func authenticate(config *fleet.Config, route *fleet.Route, headers platform.CallerHeaders) (credentials, string, bool) {
	if config.Tenants.Empty() {
		return credentials{}, "", true
	}
	found, isKnown := config.Tenants.Lookup(headers.APIKey)
	if isKnown {
		return credentials{tenant: found, required: true}, "", true
	}
	if route != nil && route.Public {
		return credentials{required: true}, "", true
	}
	switch {
	case headers.SeveralAPIKeys:
		return credentials{}, reasonSeveralAPIKeys, false
	case headers.APIKey == "":
		return credentials{}, reasonNoAPIKey, false
	}
	return credentials{}, reasonUnknownAPIKey, false
}

// authenticate sets the tenant of a request. It returns the rejection of a request that needs an API key and has none that the
// configuration contains; the tenant is then left as it was, for the log.
func (j *job) authenticate(config *fleet.Config, route *fleet.Route) (callerResponse, bool) {
	found, reason, ok := authenticate(config, route, j.callerHeaders)
	if !ok {
		if j.tenant != nil && reason == reasonUnknownAPIKey {
			reason = reasonRemovedAPIKey
		}
		rejected := reject(result.APIKeyUnknown, reason, 0)
		rejected.version = config.Version
		return rejected, false
	}
	j.tenant, j.needsTenant = found.tenant, found.required
	return callerResponse{}, true
}

// priority returns the effective priority of a request; 0 is the most urgent.
func (j *job) priority() int {
	if j.tenant != nil && j.tenant.HasPriority {
		return j.tenant.Priority
	}
	return j.route.Priority
}

// allowsRegion reports whether both the route and the tenant of a request allow a region.
func (j *job) allowsRegion(region model.Region) bool {
	return j.route.AllowsRegion(region) && (j.tenant == nil || j.tenant.AllowsRegion(region))
}

// access is the authentication on which an attempt is based.
type access struct {
	credentials
	// version is the version of the configuration.
	version uint64
	headers platform.CallerHeaders
	host    string
	path    string
}

// access returns the authentication of the last call of resolve.
func (j *job) access() access {
	return access{
		credentials: credentials{tenant: j.tenant, required: j.needsTenant}, version: j.version, headers: j.callerHeaders,
		host: j.request.Host, path: j.path,
	}
}

// permits reports whether the newest configuration still lets the attempt be sent to a region with the tenant that it carries.
// The attempt may have waited for a connection since it was authenticated. Without tenants in either configuration the answer
// is true.
func (a *access) permits(newest *fleet.Config, region model.Region) bool {
	if newest.Version == a.version || !a.required && newest.Tenants.Empty() {
		return true
	}
	route := newest.Route(a.host, a.path)
	found, _, ok := authenticate(newest, route, a.headers)
	if !ok || found.required != a.required || found.name() != a.name() {
		return false
	}
	return route != nil && route.AllowsRegion(region) && (found.tenant == nil || found.tenant.AllowsRegion(region))
}

// reportTenants logs how the API keys of the tenants changed with a version of the configuration.
func (g *gateway) reportTenants(version uint64, before, after *tenant.Table) {
	log := g.log.Part(logging.Config)
	changes := tenant.Changes(before, after)
	for i, change := range changes {
		if i == maxLoggedUnknown {
			log.Event("further changed tenants are not logged", logging.ConfigVersion(version), logging.Count(len(changes)-i))
			return
		}
		log.Event("API keys of a tenant changed", logging.ConfigVersion(version), logging.Tenant(change.Name),
			logging.APIKeys(change.Added, change.Removed))
	}
}
