package peer

import (
	"io"
	"log"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// reportFault counts and logs why a connection ended or did not come about. The VM ID is empty before authentication, because
// until then it is only a claim.
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
		settings.Log.Warn("A silent connection was closed.", append(fields, logging.Code(result.PeerUnavailable))...)
	default:
		settings.Log.Info("A connection ended.", append(fields, logging.Code(result.PeerUnavailable))...)
	}
}

func faultFields(vm model.VMID, err error) []logging.Field {
	return []logging.Field{logging.VM(vm), logging.ErrorType(err)}
}

// discardHTTPLog drops the lines of net/http, which quote received data. Faults of connections are counted here instead.
func discardHTTPLog() *log.Logger { return log.New(io.Discard, "", 0) }
