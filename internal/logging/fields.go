package logging

import (
	"math"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// Field is a structured value of a line. Fields are only created by the constructors below, none of which takes data of
// callers except RequestID.
type Field struct {
	name  string
	value any
}

// VM is the ID of an entry VM or of the VM of a target.
func VM(id model.VMID) Field { return Field{"vm", string(id)} }

// Zone is the name of an availability zone.
func Zone(zone model.Zone) Field { return Field{"zone", string(zone)} }

// TargetID is the ID of a target, a server instance.
func TargetID(id model.TargetID) Field { return Field{"target", string(id)} }

// Service is the name of a service.
func Service(service model.Service) Field { return Field{"service", string(service)} }

// Offset is a position in a record stream.
func Offset(offset model.Offset) Field { return Field{"offset", uint64(offset)} }

// Era returns the fields of an era of the platform's store and the one before.
func Era(former, era uint64) Field { return Field{"era", [2]uint64{former, era}} }

// Term is the term of a target's lessor.
func Term(term model.Term) Field { return Field{"term", term.String()} }

// Code is a result code.
func Code(code result.Code) Field { return Field{"code", uint16(code)} }

// Address is the network address of a router process or of the platform, never that of a caller.
func Address(address string) Field { return Field{"address", address} }

// Duration is a length of time in Go's notation, such as "1.5s".
func Duration(length time.Duration) Field { return Field{"duration", length.String()} }

// Threshold is the length of time that a measured one was compared with.
func Threshold(length time.Duration) Field { return Field{"threshold", length.String()} }

// Awaited is the number of connections whose requests the process waited for.
func Awaited(count int) Field { return Field{"awaited", count} }

// Count is the number of items that the line is about.
func Count(count int) Field { return Field{"count", count} }

// Setting is the name of a flag or an environment variable, never its value.
func Setting(name string) Field { return Field{"setting", name} }

// ErrorType is the full type name of an errorx error, or "untyped". It omits the message, as this can quote received
// data.
func ErrorType(err error) Field {
	if typed := errorx.Cast(err); typed != nil {
		return Field{"error", typed.Type().FullName()}
	}
	return Field{"error", "untyped"}
}

// SystemError is the complete message of an error. Use it only for errors that quote no received data, such as those of
// sockets and settings.
func SystemError(err error) Field { return Field{"error", err.Error()} }

// RequestID is the ID that a caller gave to its request, cut to maxID bytes. It is the only data of callers in the log.
func RequestID(id string) Field { return Field{"request", clip(id)} }

// Fingerprint is the hash of a request's content, by which the lines of equal requests can be found.
func Fingerprint(hash uint64) Field { return Field{"fingerprint", formatHash(hash)} }

// Caller is the hash of a caller's address, by which the lines of one caller can be found.
func Caller(hash uint64) Field { return Field{"caller", formatHash(hash)} }

func formatHash(hash uint64) string { return strconv.FormatUint(hash, 16) }

// maxID is the maximum length of a request ID in a line, in bytes.
const maxID = 64

func clip(text string) string { return text[:min(len(text), maxID)] }

// Route is the name of a route of the configuration.
func Route(name string) Field { return Field{"route", name} }

// Outcome reports whether a request ran.
func Outcome(outcome result.Outcome) Field { return Field{"outcome", outcome.String()} }

// Reason is a constant text that identifies the rule behind a decision.
func Reason(reason string) Field { return Field{"reason", reason} }

// Status is an HTTP status code.
func Status(status int) Field { return Field{"status", status} }

// Tenant is the name of a tenant.
func Tenant(name string) Field { return Field{"tenant", name} }

// Tenants is the number of tenants.
func Tenants(count int) Field { return Field{"tenants", count} }

// APIKeys is the number of API keys that were added, followed by the number of those that were removed.
func APIKeys(added, removed int) Field { return Field{"api_keys", [2]int{added, removed}} }

// Attempt is the number of an attempt of a request, counted from 1.
func Attempt(number int) Field { return Field{"attempt", number} }

// ConfigVersion is the version of the configuration that a decision was based on.
func ConfigVersion(version uint64) Field { return Field{"config", version} }

// ReportNumber is the number of a target's report within its incarnation.
func ReportNumber(number uint64) Field { return Field{"report", number} }

// TableOffset is the offset of the key assignment that a decision was based on.
func TableOffset(offset uint64) Field { return Field{"table", offset} }

// KeyRange is a range of keys, given by its first and last key.
func KeyRange(from, to int) Field { return Field{"keys", [2]int{from, to}} }

// Fence is the fencing token of a key range.
func Fence(fence uint64) Field { return Field{"fence", fence} }

// DataAge is the age of the data that a decision was based on, in milliseconds.
func DataAge(age time.Duration) Field { return Field{"age_ms", age.Milliseconds()} }

// SourceAge is the time since the source of a decision's data was last known to have nothing newer, in milliseconds.
func SourceAge(age time.Duration) Field { return Field{"source_age_ms", age.Milliseconds()} }

// Unready is the number of key ranges that wait for their owners to be granted them.
func Unready(count int) Field { return Field{"unready", count} }

// Units is the number of units of a common limit that a VM holds, followed by the number of all units of the limit.
func Units(held, all int) Field { return Field{"units", [2]int{held, all}} }

// LeaseLeft is the time until the end of a lease, in milliseconds.
func LeaseLeft(left time.Duration) Field { return Field{"lease_left_ms", left.Milliseconds()} }

// ColdStart is the time since a VM learned of a target's cold start, followed by the time until its end, in milliseconds.
func ColdStart(known, left time.Duration) Field {
	return Field{"cold_ms", [2]int64{known.Milliseconds(), left.Milliseconds()}}
}

// Waited is the time between the placement of a request and its sending, in milliseconds.
func Waited(time time.Duration) Field { return Field{"waited_ms", time.Milliseconds()} }

// Elapsed is the time since a request arrived, in milliseconds.
func Elapsed(time time.Duration) Field { return Field{"elapsed_ms", time.Milliseconds()} }

// TimeLeft is the time until the deadline of a request, in milliseconds.
func TimeLeft(time time.Duration) Field { return Field{"left_ms", time.Milliseconds()} }

// ExpectedDuration is the expected response time, in milliseconds.
func ExpectedDuration(time time.Duration) Field { return Field{"expected_ms", time.Milliseconds()} }

// Queue is the number of requests of this VM at a target, followed by the estimated number of those of other VMs.
func Queue(own int, others float64) Field {
	return Field{"queue", [2]float64{float64(own), round(others)}}
}

// ReportAge is the age of the load report behind an estimate, in milliseconds. It is negative if there was no report.
func ReportAge(age time.Duration) Field { return Field{"report_age_ms", age.Milliseconds()} }

// Factors are the factors of a latency estimate: the slowness of the target, the slowness of its machine, the failures
// of the target and its overdue responses.
func Factors(target, machine, failures, overdue float64) Field {
	return Field{"factors", [4]float64{round(target), round(machine), round(failures), round(overdue)}}
}

// round rounds to two decimal places.
func round(value float64) float64 { return math.Round(value*100) / 100 }

// RetryAfter is the delay after which a rejected caller was asked to retry, in milliseconds.
func RetryAfter(time time.Duration) Field { return Field{"retry_after_ms", time.Milliseconds()} }

// CallerLeft is the phase of a request when the VM noticed that its caller had disconnected, what noticed it, and the time
// from the request's arrival to then, in milliseconds.
func CallerLeft(phase, detectedBy string, after time.Duration) Field {
	return Field{"caller_left", [3]any{phase, detectedBy, after.Milliseconds()}}
}

// State is a constant text that names a state.
func State(state string) Field { return Field{"state", state} }

// Name is the name of a connection, topic or zone of the deployment.
func Name(name string) Field { return Field{"name", name} }
