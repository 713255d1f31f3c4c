package entry

import (
	"github.com/tarragonpoint/tarragonpoint/internal/front"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/peer"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/settings"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
	"github.com/tarragonpoint/tarragonpoint/internal/telemetry"
)

// host provisions the plug-ins with their settings and dependencies.
type host struct {
	settings settings.Entry
	log      *logging.Log
	metrics  *telemetry.Metrics
	front    front.Settings
}

// LogURL returns the base URL of the log service.
func (h *host) LogURL() string { return h.settings.LogURL }

// VMListURL returns the base URL of the VM list.
func (h *host) VMListURL() string { return h.settings.VMListURL }

// PeerSettings returns the settings of the peer transport.
func (h *host) PeerSettings() peer.Settings {
	keys := make([][]byte, 0, len(h.settings.PeerKeys))
	for _, key := range h.settings.PeerKeys {
		keys = append(keys, key.Reveal())
	}
	return peer.Settings{
		Self:   h.settings.VM,
		Listen: h.settings.ListenPeers,
		Keys:   keys,
		Log:    h.log.Part(logging.Peer),
		Count:  h.metrics.PeerEvent,
	}
}

// FrontSettings returns the settings of the front.
func (h *host) FrontSettings() front.Settings { return h.front }

// plugins are the adapters to the systems outside the process.
type plugins struct {
	set    kernel.Set
	log    platform.Log
	vmList platform.VMList
	target target.Client
	peer   peer.Transport
	front  frontPlugin
}

// frontPlugin is the interface of the plug-in that serves callers.
type frontPlugin interface {
	kernel.Starter
	kernel.Stopper
	// Drain makes the VM report that it is not ready, while requests are still served.
	Drain()
}

// newPlugins creates the adapters that are configured. It returns kernel.ErrUnknownPlugin for an unknown ID.
func newPlugins(ids settings.Plugins) (*plugins, error) {
	p := &plugins{}
	steps := []func() error{
		func() (err error) { p.log, err = add[platform.Log](p, ids.Log); return err },
		func() (err error) { p.vmList, err = add[platform.VMList](p, ids.VMList); return err },
		func() (err error) { p.target, err = add[target.Client](p, ids.Target); return err },
		func() (err error) { p.peer, err = add[peer.Transport](p, ids.Peer); return err },
		func() (err error) { p.front, err = add[frontPlugin](p, ids.Front); return err },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func add[T any](p *plugins, id kernel.ID) (T, error) {
	plugin, err := kernel.New[T](id)
	if err == nil {
		p.set.Add(id, plugin)
	}
	return plugin, err
}
