package gateway

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/quarantine"
	"github.com/tarragonpoint/tarragonpoint/internal/upstream"
)

// livenessTimeout bounds the check of a target that closed a connection. It covers several round trips between regions.
const livenessTimeout = 150 * time.Millisecond

// targetLiveness is what is known of a target's process after it closed a connection without a response.
type targetLiveness uint8

const (
	// livenessUnchecked means that the target closed no connection.
	livenessUnchecked targetLiveness = iota
	// livenessUnknown means that a new connection could not be opened, and that the host did not refuse it.
	livenessUnknown
	// livenessAccepts means that the target accepts connections.
	livenessAccepts
	// livenessEnded means that the host refuses connections, because the target's process has ended.
	livenessEnded
)

func (l targetLiveness) String() string {
	return [...]string{"unchecked", "unknown", "accepts connections", "refuses connections"}[l]
}

// checkLiveness finds out whether the process of a target that closed a connection without a response has ended. err is
// the error of the attempt.
func (g *gateway) checkLiveness(address string, err error) targetLiveness {
	if err == nil || !errorx.IsOfType(err, upstream.ErrNoResponse) {
		return livenessUnchecked
	}
	ctx, cancel := context.WithTimeout(g.requestsContext, livenessTimeout)
	defer cancel()
	probeErr := g.targets.Pool().Probe(ctx, address)
	switch {
	case probeErr == nil:
		return livenessAccepts
	case errorx.IsOfType(probeErr, upstream.ErrRefused):
		return livenessEnded
	}
	return livenessUnknown
}

// requestIdentity identifies a request among those of all callers. The hashes are equal at all VMs.
type requestIdentity struct {
	content quarantine.Fingerprint
	caller  quarantine.Fingerprint
}

// identify returns the identity of a request.
func (j *job) identify() requestIdentity {
	if j.identity == nil {
		address, _, err := net.SplitHostPort(j.request.RemoteAddr)
		if err != nil {
			address = j.request.RemoteAddr
		}
		j.identity = &requestIdentity{
			content: quarantine.FingerprintOf(0, j.body, j.request.Method, j.request.Host, j.uri, strconv.Itoa(j.callerHeaders.Key)),
			caller:  quarantine.FingerprintOf(0, nil, address),
		}
	}
	return *j.identity
}

// fingerprint identifies requests with the same content, whoever sends them: copies of a request come from several addresses.
func (i requestIdentity) fingerprint() quarantine.Fingerprint { return i.content }

func (i requestIdentity) fields() []logging.Field {
	return []logging.Field{logging.Fingerprint(uint64(i.content)), logging.Caller(uint64(i.caller))}
}

// recordBroken counts and logs an attempt whose connection the target closed without a response.
func (g *gateway) recordBroken(j *job, attempt *attemptResult) {
	if attempt.liveness == livenessUnchecked {
		return
	}
	j.broken = true
	g.metrics.brokenAttempt(attempt.liveness.String())
	fields := append(j.identify().fields(),
		logging.RequestID(j.callerHeaders.AttemptID), logging.TargetID(attempt.placement.target.ID),
		logging.Service(j.service), logging.State(attempt.liveness.String()), logging.Attempt(j.sends),
		logging.Elapsed(g.clock.Now().Sub(j.arrived)))
	const text = "connection closed during a request"
	if attempt.liveness != livenessEnded {
		g.log.Part(logging.Registry).Debug(text, fields...)
		return
	}
	g.log.Part(logging.Registry).Event(text, fields...)
	g.recordStrike(j, attempt.placement.target.Incarnation())
}
