package logging

import (
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
