package entry

import (
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/settings"
)

// outage notices when an outside service starts and stops answering. It is safe for concurrent use.
type outage struct {
	// changed is called after the first call and whenever the service starts or stops answering.
	changed func(isUp bool)

	mu      sync.Mutex
	isKnown bool
	isUp    bool
}

// note takes the result of a call.
func (o *outage) note(err error) {
	isUp := err == nil
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isKnown && o.isUp == isUp {
		return
	}
	o.isKnown, o.isUp = true, isUp
	o.changed(isUp)
}

// onVMList reports whether the VM list answers.
func (e *entry) onVMList(isUp bool) {
	e.metrics.VMListAvailable(isUp)
	if isUp {
		e.log.Info("The VM list answers.")
		return
	}
	e.log.Warn("The VM list does not answer. Lost VMs are noticed late.")
}

// onFirstRead reports a log that does not answer at the start. The control loop reports outages after the first answer.
func (e *entry) onFirstRead(isUp bool) {
	if !isUp {
		e.log.Error("The log does not answer at the start. The VM serves once it has the state from the log or from a peer.")
	}
}

// warnOfSettings logs weak settings and variables that set nothing.
func warnOfSettings(log *logging.Logger, configured settings.Entry, environment []string) {
	for _, warning := range settings.Warnings(configured) {
		log.Warn(warning.Text, logging.Setting(warning.Flag))
	}
	for _, name := range settings.UnknownVariables(environment) {
		log.Warn("No setting has this variable. Correct its name.", logging.Setting(name))
	}
}
