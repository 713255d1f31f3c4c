package peer

import (
	"io"
	"log"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// reportFault counts and logs why a connection ended or was not established. The VM ID of an accepted connection is
// empty until the connection is authenticated, because the ID is not verified before.
func reportFault(settings *Settings, vm model.VMID, err error) {
	fields := faultFields(vm, err)
	switch {
	case isType(err, ErrUnauthenticated):
		settings.Count(Unauthenticated)
		settings.Log.Warn("The authentication of a connection failed.", append(fields, logging.Code(result.PeerUnauthenticated))...)
	case isType(err, ErrMalformed):
		settings.Count(Malformed)
		settings.Log.Warn("A connection was closed after a malformed message.", append(fields, logging.Code(result.PeerMalformed))...)
	case isType(err, ErrUnresponsive):
		settings.Count(Unresponsive)
		settings.Log.Warn("An unresponsive connection was closed.", append(fields, logging.Code(result.PeerUnavailable))...)
	default:
		settings.Log.Info("A connection failed or could not be established.", append(fields, logging.Code(result.PeerUnavailable))...)
	}
}

func faultFields(vm model.VMID, err error) []logging.Field {
	return []logging.Field{logging.VM(vm), logging.ErrorType(err)}
}

// discardHTTPLog returns a logger that drops the lines of net/http, because they quote received data. reportFault
// counts and logs faults of connections instead.
func discardHTTPLog() *log.Logger { return log.New(io.Discard, "", 0) }
