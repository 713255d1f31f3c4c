package platform

import (
	"context"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	wire "github.com/tarragonpoint/tarragonpoint/platform"
)

const (
	// VMListHTTPID is the plug-in ID of StoreVMList.
	VMListHTTPID kernel.ID = "platform.vmlist.http"
	// EntryService is the service under which entry VMs are registered. Their address accepts links from other entry VMs.
	EntryService model.Service = "tarragonpoint"
)

// VMListURLHost is a host that provides the base URL of the VM list. It takes precedence over URLHost.
type VMListURLHost interface{ VMListURL() string }

// StoreVMList is the plug-in platform.vmlist.http. It lists the registrations in the platform's store, each of which
// has the ID of its VM as key. Set URL, or provision it with a VMListURLHost or URLHost, before use.
type StoreVMList struct {
	// URL is the base URL of the store.
	URL string

	store *wire.Store
}

var _ VMList = (*StoreVMList)(nil)

// Provision takes the URL from the host if none is set. It returns ErrSettings if there is no valid URL.
func (v *StoreVMList) Provision(host any) error {
	if known, ok := host.(VMListURLHost); ok && v.URL == "" {
		v.URL = known.VMListURL()
	}
	if known, ok := host.(URLHost); ok && v.URL == "" {
		v.URL = known.PlatformURL()
	}
	var err error
	v.store, err = newStore(v.URL)
	return err
}

// List returns the registered VMs. The key of a registration that cannot be decoded is listed in Damaged; the others
// remain valid. It returns ErrUnavailable if the store did not respond.
func (v *StoreVMList) List(ctx context.Context) (VMListReply, error) {
	page, err := v.store.Newest(ctx, wire.TopicTargets)
	if err != nil {
		return VMListReply{}, storeError(err)
	}
	reply := VMListReply{Version: page.End}
	for _, listed := range page.Records {
		registration, err := wire.DecodeTarget(listed)
		if err != nil {
			reply.Damaged = append(reply.Damaged, listed.Key)
			continue
		}
		reply.VMs = append(reply.VMs, listedVM(registration))
	}
	return reply, nil
}

func listedVM(registration wire.Registration) VM {
	vm := VM{ID: model.VMID(registration.Target.ID), Zone: registration.Target.Zone, State: VMLive}
	if registration.Target.Draining {
		vm.State = VMLeaving
	}
	if registration.Target.Service == EntryService {
		vm.PeerAddress = registration.Target.Address
	}
	return vm
}
