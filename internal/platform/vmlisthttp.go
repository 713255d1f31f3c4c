package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
)

// VMListHTTPID is the plug-in ID of HTTPVMList.
const VMListHTTPID kernel.ID = "platform.vmlist.http"

// VMListURLHost is a host that knows the base URL of the VM list. It takes precedence over URLHost.
type VMListURLHost interface{ VMListURL() string }

// HTTPVMList is the plug-in platform.vmlist.http. Set URL, or provision it with a VMListURLHost or URLHost, before use.
type HTTPVMList struct {
	// URL is the base URL of the VM list.
	URL string
	// Timeout bounds one call; 0 means 5 s.
	Timeout time.Duration
	// MaxAnswer bounds an answer, in bytes; 0 means 16 MiB.
	MaxAnswer int64

	caller *caller
}

var _ VMList = (*HTTPVMList)(nil)

// Provision takes the URL from the host if none is set. It returns ErrSettings if there is no usable URL.
func (v *HTTPVMList) Provision(host any) error {
	if known, ok := host.(VMListURLHost); ok && v.URL == "" {
		v.URL = known.VMListURL()
	}
	if known, ok := host.(URLHost); ok && v.URL == "" {
		v.URL = known.PlatformURL()
	}
	if v.Timeout <= 0 {
		v.Timeout = defaultTimeout
	}
	var err error
	v.caller, err = newCaller(v.URL, v.MaxAnswer)
	return err
}

// Stop closes idle connections.
func (v *HTTPVMList) Stop(context.Context) error {
	v.caller.close()
	return nil
}

// List returns the current list. It returns ErrUnavailable for anything but a whole, well-formed list, because a VM
// missing from the list counts as gone.
func (v *HTTPVMList) List(ctx context.Context) (VMListReply, error) {
	status, answer, err := v.caller.call(ctx, v.Timeout, http.MethodGet, "/v1/vms", nil, nil)
	if err != nil {
		return VMListReply{}, err
	}
	if status != http.StatusOK {
		return VMListReply{}, ErrUnavailable.New("VM list answered with status %d", status)
	}
	var reply VMListReply
	if err := decodeJSON(answer, &reply); err != nil {
		return VMListReply{}, err
	}
	if reply.VMs == nil {
		return VMListReply{}, ErrUnavailable.New("VM list answered without a list")
	}
	return reply, nil
}
