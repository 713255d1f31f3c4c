package logging

import (
	"math"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// Field is a structured value of a line. Only the constructors below make one; none takes caller data.
type Field struct {
	name  string
	value any
}

// VM is an entry VM or a target's VM.
func VM(id model.VMID) Field { return Field{"vm", string(id)} }

// Zone is an availability zone.
func Zone(zone model.Zone) Field { return Field{"zone", string(zone)} }

// TargetID is a server instance.
func TargetID(id model.TargetID) Field { return Field{"target", string(id)} }

// Service is a service.
func Service(service model.Service) Field { return Field{"service", string(service)} }

// Offset is a position in a stream.
func Offset(offset model.Offset) Field { return Field{"offset", uint64(offset)} }

// Term is the term of a lessor.
func Term(term model.Term) Field { return Field{"term", term.String()} }

// Code is a result code.
func Code(code result.Code) Field { return Field{"code", uint16(code)} }

// Address is the network address of a router process or of the platform, never that of a caller.
func Address(address string) Field { return Field{"address", address} }

// Duration is a length of time.
func Duration(length time.Duration) Field { return Field{"duration", length.String()} }

// Count is a number of things.
func Count(count int) Field { return Field{"count", count} }

// Setting is the name of a flag or a variable, never a value.
func Setting(name string) Field { return Field{"setting", name} }

// ErrorType is the type of an error. The message of an error is left out, as it can quote received data.
func ErrorType(err error) Field {
	if typed := errorx.Cast(err); typed != nil {
		return Field{"error", typed.Type().FullName()}
	}
	return Field{"error", "untyped"}
}

// SystemError is the whole text of an error. It serves errors of sockets and settings that quote no received data.
func SystemError(err error) Field { return Field{"error", err.Error()} }

// RequestID is the ID that a caller gave to its request. It is the one value of a caller that lines carry.
func RequestID(id string) Field { return Field{"request", clip(id)} }

// maxID bounds the length of a request's ID in a line, in bytes.
const maxID = 64

func clip(text string) string { return text[:min(len(text), maxID)] }

// Route is the name of a route of the configuration.
func Route(name string) Field { return Field{"route", name} }

// Outcome says whether a request ran.
func Outcome(outcome result.Outcome) Field { return Field{"outcome", outcome.String()} }

// Reason is a constant text that says which rule decided.
func Reason(reason string) Field { return Field{"reason", reason} }

// Status is an HTTP status.
func Status(status int) Field { return Field{"status", status} }

// Attempt numbers the attempts of a request from 1.
func Attempt(number int) Field { return Field{"attempt", number} }

// ConfigVersion is the version of the configuration that decided.
func ConfigVersion(version uint64) Field { return Field{"config", version} }

// TableOffset is the offset of the assignment of keys that decided.
func TableOffset(offset uint64) Field { return Field{"table", offset} }

// KeyRange are the first and last key of a range.
func KeyRange(from, to int) Field { return Field{"keys", [2]int{from, to}} }

// Fence is the fence of a range of keys.
func Fence(fence uint64) Field { return Field{"fence", fence} }

// DataAge is the age of the information that decided.
func DataAge(age time.Duration) Field { return Field{"age_ms", age.Milliseconds()} }

// Elapsed is the time since a request arrived.
func Elapsed(time time.Duration) Field { return Field{"elapsed_ms", time.Milliseconds()} }

// TimeLeft is the time that a request had left.
func TimeLeft(time time.Duration) Field { return Field{"left_ms", time.Milliseconds()} }

// ExpectedDuration is the time that an answer was expected to take.
func ExpectedDuration(time time.Duration) Field { return Field{"expected_ms", time.Milliseconds()} }

// Queue is the number of this VM's requests at a target and the estimated number of other VMs'.
func Queue(own int, others float64) Field {
	return Field{"queue", [2]float64{float64(own), round(others)}}
}

// ReportAge is the age of the load report on which an estimate rests; negative if there was none.
func ReportAge(age time.Duration) Field { return Field{"report_age_ms", age.Milliseconds()} }

// Factors are those of an estimate: the target's speed, the slowness of its machine, its failures and its late answers.
func Factors(speed, slowness, failures, late float64) Field {
	return Field{"factors", [4]float64{round(speed), round(slowness), round(failures), round(late)}}
}

// round keeps two digits after the point.
func round(value float64) float64 { return math.Round(value*100) / 100 }

// RetryAfter is when a refused caller was told to come back.
func RetryAfter(time time.Duration) Field { return Field{"retry_after_ms", time.Milliseconds()} }

// State is a constant text for a state.
func State(state string) Field { return Field{"state", state} }

// Name is the name of a connection, topic or zone of the deployment.
func Name(name string) Field { return Field{"name", name} }
