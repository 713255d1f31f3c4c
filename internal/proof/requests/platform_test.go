package requests

import (
	"bytes"
	"context"
	"encoding/binary"
	"time"

	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// fakeLog simulates the log service.
type fakeLog struct {
	w       *world
	mu      sync.Mutex
	streams map[record.Stream][]record.Entry
	down    bool
	// loseResponseOneIn is n if one in n responses to appends is lost; 0 means none.
	loseResponseOneIn int
}

func (l *fakeLog) store(stream record.Stream, r record.Record) model.Offset {
	encoded, err := record.Encode(r)
	if err != nil {
		l.w.fail("cannot encode a record: %v", err)
	}
	if stream == record.AssignStream {
		l.w.checkResidency("a log record", encoded, "")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := model.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], record.Entry{Offset: offset, Record: r})
	return offset
}

func (l *fakeLog) reachable(p *process) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.down && !l.w.isCut(p.vm.zone, "log")
}

func (l *fakeLog) append(ctx context.Context, p *process, stream record.Stream, r record.Record) bool {
	time.Sleep(l.w.latency())
	if !l.reachable(p) {
		<-ctx.Done()
		return false
	}
	l.store(stream, r)
	l.mu.Lock()
	n := l.loseResponseOneIn
	l.mu.Unlock()
	if n > 0 && l.w.oneIn(n) {
		<-ctx.Done()
		return false
	}
	time.Sleep(l.w.latency())
	return ctx.Err() == nil
}

func (l *fakeLog) read(p *process, stream record.Stream, from model.Offset) ([]record.Entry, model.Offset, bool) {
	time.Sleep(l.w.latency())
	if !l.reachable(p) {
		return nil, 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.streams[stream]
	start := min(len(all), int(from)-1)
	return append([]record.Entry(nil), all[start:]...), model.Offset(len(all) + 1), true
}

func (w *world) vmList() platform.VMListReply {
	list := platform.VMListReply{Version: 1}
	for _, v := range w.vms {
		list.VMs = append(list.VMs, platform.VM{ID: v.id, Zone: v.zone, State: platform.VMLive, PeerAddress: string(v.id) + ":1"})
	}
	for _, s := range w.servers {
		list.VMs = append(list.VMs, platform.VM{ID: model.VMID(s.id), Zone: s.zone, State: platform.VMLive})
	}
	return list
}

const (
	minLatency = time.Millisecond
	maxLatency = 8 * time.Millisecond
	// lateOneIn is n if one in n messages is delayed by up to maxLate in addition while delayMessages is set, which
	// reorders it.
	lateOneIn = 40
	maxLate   = 900 * time.Millisecond
)

func (w *world) latency() time.Duration {
	return minLatency + time.Duration(w.randomInt(int(maxLatency-minLatency)))
}

func (w *world) isCut(a, b model.Zone) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.cut[a] || w.cut[b])
}

// transmit encodes and sends a message between entry VMs. Depending on the faults it drops, delays or duplicates the
// message.
func (w *world) transmit(p *process, to model.VMID, m message.Message) {
	receiver := w.vmByID(to)
	encoded, err := record.Encode(m)
	if err != nil || receiver == nil {
		w.fail("cannot send a message to %q: %v", to, err)
		return
	}
	w.checkResidency("a message to "+string(to), encoded, receiver.region)
	w.oracle.recordSent(p.vm, m)
	if m.Strike != nil && p.vm.region != receiver.region {
		w.fail("a strike was sent to another region")
	}
	copies := 1
	if w.drawMessageFault() {
		copies = w.randomInt(3)
	}
	for range copies {
		delay := w.latency()
		if w.oneIn(lateOneIn) && w.delaysMessages() {
			delay += time.Duration(w.randomInt(int(maxLate)))
		}
		time.AfterFunc(delay, func() { w.arrive(p.vm, receiver, encoded) })
	}
}

func (w *world) arrive(from, to *vm, encoded []byte) {
	if w.isCut(from.zone, to.zone) {
		return
	}
	var m message.Message
	if err := decode(encoded, &m); err != nil {
		w.fail("cannot decode a message: %v", err)
		return
	}
	if p := to.current(); p != nil {
		p.receive(from.id, m)
	}
}

func (w *world) drawMessageFault() bool {
	w.mu.Lock()
	n := w.messageFaultOneIn
	w.mu.Unlock()
	return n > 0 && w.oneIn(n)
}

func (w *world) delaysMessages() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delayMessages
}

// secret is a byte string of a tenant with home regions that must not leave them.
type secret struct {
	home model.Region
	text []byte
}

// idMarker returns the marker in the random part of the request IDs of a tenant with the home region.
func idMarker(home model.Region) uint64 {
	if home == regionCentral {
		return 0xC0FFEE
	}
	return 0xBADCAB
}

// secretsOf returns the secrets of the tenants with the home region: the text in keys, paths and bodies, the three
// bytes of the marker in request IDs, and the hashes of the keys.
func secretsOf(home model.Region) []secret {
	marker := binary.BigEndian.AppendUint64(nil, idMarker(home)<<32)
	secrets := []secret{{home, []byte(regionMarker(home))}, {home, marker[1:4]}}
	for _, service := range []model.Service{keyedService, unkeyedService} {
		for key := range keysPerTenant {
			hash := model.KeyHash(service, model.ClassOf([]model.Region{home}), keyName(home, key))
			secrets = append(secrets, secret{home, binary.BigEndian.AppendUint64(nil, hash)})
		}
	}
	return secrets
}

// checkResidency fails if data that reaches a region contains the key, body or ID of a tenant that may not be served
// there. The empty region stands for the log, which may contain none of them.
func (w *world) checkResidency(what string, encoded []byte, region model.Region) {
	for _, s := range w.secrets {
		if s.home != region && bytes.Contains(encoded, s.text) {
			w.fail("%s outside %s contains %q of a tenant with this home region", what, s.home, s.text)
		}
	}
}
