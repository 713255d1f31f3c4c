package requests

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

func (l *fakeLog) began() time.Time { return l.w.servers[0].origin }

func describe(runs []run) string {
	var text strings.Builder
	for _, r := range runs {
		fmt.Fprintf(&text, "\n  %s after %v term %s fence %s attempt %s, received by %s after %v with ID time %v",
			r.where.id, r.at.Sub(r.where.origin), r.Term, r.Fence, r.Attempt, r.by.at.vm.id,
			r.by.received.Sub(r.where.origin), r.by.request.idTime().Sub(r.where.origin))
	}
	return text.String()
}

func (l *logical) idTime() time.Time {
	if l.id == nil {
		return time.Time{}
	}
	return l.id.Time()
}

// newRequest makes up a request of a caller whose clock is wrong.
func (w *world) newRequest(number int) *logical {
	l := &logical{name: fmt.Sprintf("request-%d", number), tenant: tenants[w.draw(len(tenants))], service: review}
	if w.chance(3) {
		l.service = desk
	}
	mark, home := "any", model.Region("")
	if regions := homeOf(l.tenant); len(regions) > 0 {
		home = regions[0]
		mark = markOf(home)
	}
	l.key = keyOf(home, w.draw(keysPerTenant))
	l.idempotent = w.chance(2)
	l.path = fmt.Sprintf("/%s/%d?work_ms=%d", mark, number, w.workMillis())
	l.body = fmt.Appendf(nil, "%s body of %s", mark, l.name)
	if !l.idempotent {
		id := model.RequestIDAt(time.Now().Add(w.callerClock()), idMark(home)<<32|uint64(number))
		if home == "" {
			id = model.RequestIDAt(time.Now().Add(w.callerClock()), uint64(number))
		}
		l.id = &id
	}
	return l
}

func (w *world) workMillis() int {
	if w.chance(30) {
		return 200 + w.draw(2000)
	}
	return 5 + w.draw(40)
}

// callerClock returns the error of a caller's clock: mostly small, sometimes minutes.
func (w *world) callerClock() time.Duration {
	switch w.draw(8) {
	case 0:
		return -time.Duration(w.draw(int(4 * time.Minute)))
	case 1:
		return time.Duration(w.draw(int(2 * time.Minute)))
	case 2:
		return time.Duration(w.draw(1500)) * time.Millisecond
	default:
		return -time.Duration(w.draw(400)) * time.Millisecond
	}
}

// call sends a request to an entry VM and records the answer. deadline counts from now on the VM's clock.
func (w *world) call(ctx context.Context, l *logical, v *vm, deadline time.Duration) *try {
	p := v.current()
	if p == nil || !p.takesRequests() {
		return nil
	}
	// A paused process reads the request when it resumes; until then it waits in the socket.
	if !p.gate() {
		return nil
	}
	t := &try{request: l, at: p, received: time.Now()}
	o := w.oracle
	o.mu.Lock()
	header := fmt.Sprint(len(o.tries))
	o.tries = append(o.tries, t)
	o.byHeader[header] = t
	l.tries = append(l.tries, t)
	o.mu.Unlock()
	received := p.Wall()
	answer := p.dispatcher.Handle(ctx, dispatch.Request{
		Tenant: l.tenant, Service: l.service, Key: l.key, RequestID: l.id, Idempotent: l.idempotent, Method: http.MethodPost,
		Path: l.path, Header: http.Header{tryHeader: {header}, standin.RequestIDHeader: {l.name}}, Body: l.body,
		Received: received, Deadline: received.Add(deadline),
	})
	ended := time.Now()
	known := p.gate() && ctx.Err() == nil
	o.mu.Lock()
	defer o.mu.Unlock()
	t.answer, t.ended, t.known = answer, ended, known
	return t
}

// callers send requests until stop closes. Some send them again through other entry VMs, some go away.
func (w *world) callers(stop <-chan struct{}, every time.Duration) {
	for number := 1; !isClosed(stop); number++ {
		l := w.newRequest(number)
		for range 1 + w.draw(3) {
			v := w.vms[w.draw(len(w.vms))]
			pause := time.Duration(w.draw(4000)) * time.Millisecond
			if w.chance(2) {
				pause /= 20
			}
			w.load.Go(func() {
				time.Sleep(pause)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if w.chance(8) {
					time.AfterFunc(time.Duration(w.draw(300))*time.Millisecond, cancel)
				}
				w.call(ctx, l, v, time.Duration(300+w.draw(4000))*time.Millisecond)
			})
		}
		time.Sleep(every + time.Duration(w.draw(int(time.Millisecond))))
	}
}
