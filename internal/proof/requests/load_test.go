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

// startedAt returns the time at which the world was created.
func (l *fakeLog) startedAt() time.Time { return l.w.servers[0].clockOrigin }

func describe(runs []run) string {
	var text strings.Builder
	for _, r := range runs {
		fmt.Fprintf(&text, "\n  %s after %v term %s fence %s attempt %s, received by %s after %v with ID time %v",
			r.server.id, r.startedAt.Sub(r.server.clockOrigin), r.Term, r.Fence, r.Attempt, r.submission.receivedBy.vm.id,
			r.submission.received.Sub(r.server.clockOrigin), r.submission.request.idTime().Sub(r.server.clockOrigin))
	}
	return text.String()
}

func (r *callerRequest) idTime() time.Time {
	if r.id == nil {
		return time.Time{}
	}
	return r.id.Time()
}

// newRandomRequest returns a request of a caller whose clock is wrong.
func (w *world) newRandomRequest(number int) *callerRequest {
	request := &callerRequest{
		name: fmt.Sprintf("request-%d", number), tenant: tenants[w.randomInt(len(tenants))], service: keyedService,
	}
	if w.oneIn(3) {
		request.service = unkeyedService
	}
	marker, home := "any", model.Region("")
	if regions := homeRegions(request.tenant); len(regions) > 0 {
		home = regions[0]
		marker = regionMarker(home)
	}
	request.key = keyName(home, w.randomInt(keysPerTenant))
	request.idempotent = w.oneIn(2)
	request.path = fmt.Sprintf("/%s/%d?work_ms=%d", marker, number, w.workMillis())
	request.body = fmt.Appendf(nil, "%s body of %s", marker, request.name)
	if !request.idempotent {
		id := model.RequestIDAt(time.Now().Add(w.callerClockError()), idMarker(home)<<32|uint64(number))
		if home == "" {
			id = model.RequestIDAt(time.Now().Add(w.callerClockError()), uint64(number))
		}
		request.id = &id
	}
	return request
}

func (w *world) workMillis() int {
	if w.oneIn(30) {
		return 200 + w.randomInt(2000)
	}
	return 5 + w.randomInt(40)
}

// callerClockError returns the error of a caller's clock: usually small, sometimes minutes.
func (w *world) callerClockError() time.Duration {
	switch w.randomInt(8) {
	case 0:
		return -time.Duration(w.randomInt(int(4 * time.Minute)))
	case 1:
		return time.Duration(w.randomInt(int(2 * time.Minute)))
	case 2:
		return time.Duration(w.randomInt(1500)) * time.Millisecond
	default:
		return -time.Duration(w.randomInt(400)) * time.Millisecond
	}
}

// sendRequest sends a request to an entry VM and records the response. The deadline is relative to the present time of
// the VM's clock. It returns nil if the VM accepts no requests.
func (w *world) sendRequest(ctx context.Context, request *callerRequest, v *vm, deadline time.Duration) *submission {
	p := v.current()
	if p == nil || !p.acceptsRequests() {
		return nil
	}
	// A paused process reads the request when it resumes; until then the request stays in the socket buffer.
	if !p.awaitResumed() {
		return nil
	}
	submitted := &submission{request: request, receivedBy: p, received: time.Now()}
	o := w.oracle
	o.mu.Lock()
	number := fmt.Sprint(len(o.submissions))
	o.submissions = append(o.submissions, submitted)
	o.submissionsByNumber[number] = submitted
	request.submissions = append(request.submissions, submitted)
	o.mu.Unlock()
	received := p.Wall()
	response := p.dispatcher.Handle(ctx, dispatch.Request{
		Tenant: request.tenant, Service: request.service, Key: request.key, RequestID: request.id,
		Idempotent: request.idempotent, Method: http.MethodPost, Path: request.path,
		Header: http.Header{submissionHeader: {number}, standin.RequestIDHeader: {request.name}}, Body: request.body,
		Received: received, Deadline: received.Add(deadline),
	})
	ended := time.Now()
	known := p.awaitResumed() && ctx.Err() == nil
	o.mu.Lock()
	defer o.mu.Unlock()
	submitted.response, submitted.ended, submitted.known = response, ended, known
	return submitted
}

// runCallers sends requests until stop is closed. Some callers repeat a request through other entry VMs, some
// disconnect before the response.
func (w *world) runCallers(stop <-chan struct{}, every time.Duration) {
	for number := 1; !isClosed(stop); number++ {
		request := w.newRandomRequest(number)
		for range 1 + w.randomInt(3) {
			v := w.vms[w.randomInt(len(w.vms))]
			pause := time.Duration(w.randomInt(4000)) * time.Millisecond
			if w.oneIn(2) {
				pause /= 20
			}
			w.tasks.Go(func() {
				time.Sleep(pause)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if w.oneIn(8) {
					time.AfterFunc(time.Duration(w.randomInt(300))*time.Millisecond, cancel)
				}
				w.sendRequest(ctx, request, v, time.Duration(300+w.randomInt(4000))*time.Millisecond)
			})
		}
		time.Sleep(every + time.Duration(w.randomInt(int(time.Millisecond))))
	}
}
