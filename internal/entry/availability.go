package entry

import (
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/settings"
)

// availability detects when an external service starts and stops responding. It is safe for concurrent use.
type availability struct {
	// onChange is called after the first call to the service and whenever the service starts or stops responding.
	onChange func(isUp bool)

	mu      sync.Mutex
	isKnown bool
	isUp    bool
}

// record records the result of a call; err is nil if the service responded.
func (a *availability) record(err error) {
	isUp := err == nil
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isKnown && a.isUp == isUp {
		return
	}
	a.isKnown, a.isUp = true, isUp
	a.onChange(isUp)
}

// onVMListAvailability reports in metrics and log whether the VM list responds.
func (e *entry) onVMListAvailability(isUp bool) {
	e.metrics.VMListAvailable(isUp)
	if isUp {
		e.log.Info("The VM list is available.")
		return
	}
	e.log.Warn("The VM list is unavailable. Failed VMs will be detected late.")
}

// onFirstLogRead logs an error if the log is unavailable at startup. The control loop reports outages after the first
// response.
func (e *entry) onFirstLogRead(isUp bool) {
	if !isUp {
		e.log.Error("The log is unavailable at startup. The VM will serve once it has the state from the log or from a peer.")
	}
}

// logSettingsWarnings logs risky settings, and environment variables that match no setting.
func logSettingsWarnings(log *logging.Logger, configured settings.Entry, environment []string) {
	for _, warning := range settings.Warnings(configured) {
		log.Warn(warning.Text, logging.Setting(warning.Flag))
	}
	for _, name := range settings.UnknownVariables(environment) {
		log.Warn("The environment variable matches no setting. Correct its name.", logging.Setting(name))
	}
}
