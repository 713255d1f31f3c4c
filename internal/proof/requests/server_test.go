package requests

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

const (
	// submissionHeader carries the number of a submission, the key of oracle.submissionsByNumber.
	submissionHeader = "X-Try"
	// protocolPrefix is the path prefix of the router's commands to targets, such as renewals. All other paths are
	// requests of callers.
	protocolPrefix = "/tarragon/"
	concurrency    = 4
	coldStart      = 3 * time.Second
)

// server simulates the machine of one target: a stand-in target behind an HTTP server on in-memory pipes.
type server struct {
	w           *world
	id          model.TargetID
	zone        model.Zone
	region      model.Region
	target      *standin.Target
	clockOrigin time.Time
	// rate is the rate of the target's clock relative to virtual time.
	rate  float64
	conns chan net.Conn
	http  *http.Server

	mu           sync.Mutex
	down, killed bool
	open         map[net.Conn]bool
	// hangOneIn is n if one in n requests is never delivered, responseFaultOneIn is n if one in n responses is faulty; 0
	// means none.
	hangOneIn, responseFaultOneIn int
	coldSince                     time.Time
	previousResponse              *httptest.ResponseRecorder
}

// serverConn is the target's end of a connection. client is the process that opened it.
type serverConn struct {
	net.Conn
	client *process
}

type connKey struct{}

func newServer(w *world, id model.TargetID, zone model.Zone, region model.Region) *server {
	s := &server{
		w: w, id: id, zone: zone, region: region, clockOrigin: time.Now(), conns: make(chan net.Conn),
		open: map[net.Conn]bool{},
	}
	s.rate = 0.995 + 0.01*float64(w.randomInt(1000))/1000
	s.target = standin.NewTarget(standin.TargetOptions{
		ID: id, Concurrency: concurrency, Queue: 2, ServiceTime: 20 * time.Millisecond,
		ColdStart: coldStart, ColdInitial: 1, Now: s.now, OnCrash: s.onCrash, LoadLag: 300 * time.Millisecond,
	})
	s.http = &http.Server{Handler: s, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	go func() { _ = s.http.Serve(s) }()
	return s
}

// now returns the time of the target's clock, which starts at one hour and runs at rate times the speed of virtual
// time.
func (s *server) now() model.Instant {
	return model.Instant(float64(time.Since(s.clockOrigin))*s.rate) + model.Instant(time.Hour)
}

// wallTime converts a time of the target's clock to virtual time.
func (s *server) wallTime(instant model.Instant) time.Time {
	return s.clockOrigin.Add(time.Duration(float64(instant-model.Instant(time.Hour)) / s.rate))
}

// Accept, Close and Addr implement net.Listener.
func (s *server) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.w.done:
		return nil, net.ErrClosed
	}
}

func (s *server) Close() error   { return nil }
func (s *server) Addr() net.Addr { return &net.TCPAddr{} }

// onCrash closes all connections and refuses new ones for 300 ms, like a process that is restarted.
func (s *server) onCrash() {
	s.setDown(true)
	time.AfterFunc(300*time.Millisecond, func() {
		if !s.isKilled() {
			s.setDown(false)
		}
	})
}

func (s *server) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.coldSince = time.Now()
	if !down {
		return
	}
	for conn := range s.open {
		_ = conn.Close()
	}
	clear(s.open)
}

// kill ends the target's process until start is called.
func (s *server) kill() {
	s.setKilled(true)
	s.target.Crash()
}

// start starts the process of a killed target.
func (s *server) start() {
	if s.isKilled() {
		s.setKilled(false)
		s.setDown(false)
	}
}

func (s *server) isKilled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

func (s *server) setKilled(killed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = killed
}

func (s *server) freeze(on bool) { s.target.Control(standin.TargetControl{Freeze: &on}) }

func (s *server) becomeCold() {
	s.mu.Lock()
	s.coldSince = time.Now()
	s.mu.Unlock()
	s.target.Control(standin.TargetControl{Cold: true})
}

func (s *server) setFaults(hangOneIn, responseFaultOneIn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangOneIn, s.responseFaultOneIn = hangOneIn, responseFaultOneIn
}

func (s *server) faults() (hangOneIn, responseFaultOneIn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hangOneIn, s.responseFaultOneIn
}

// clientConn is an entry VM's end of a connection. It delays reads and writes while the process is paused.
type clientConn struct {
	net.Conn
	p *process
}

func (c *clientConn) Write(data []byte) (int, error) {
	c.p.mu.Lock()
	paused := !isClosed(c.p.resumed)
	c.p.mu.Unlock()
	if !c.p.awaitResumed() {
		return 0, net.ErrClosed
	}
	if paused {
		// The deadline may have passed during the pause. The data is written all the same, as if the pause had begun
		// after the process checked the deadline and before it wrote.
		_ = c.SetDeadline(time.Time{})
	}
	return c.Conn.Write(data)
}

func (c *clientConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !c.p.awaitResumed() {
		return 0, net.ErrClosed
	}
	return n, err
}

// dial connects a process to a target.
func (p *process) dial(ctx context.Context, _, address string) (net.Conn, error) {
	s := p.w.serverAt(target.Address(address))
	time.Sleep(p.w.latency())
	if p.w.isCut(p.vm.zone, s.zone) {
		p.sleep(time.Second)
		return nil, errors.New("no route")
	}
	clientEnd, serverEnd := net.Pipe()
	s.mu.Lock()
	down := s.down
	if !down {
		s.open[serverEnd] = true
	}
	s.mu.Unlock()
	if down || ctx.Err() != nil {
		return nil, errors.New("connection refused")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, net.ErrClosed
	}
	p.conns = append(p.conns, clientEnd)
	select {
	case s.conns <- &serverConn{Conn: serverEnd, client: p}:
	case <-p.w.done:
		return nil, net.ErrClosed
	}
	return &clientConn{Conn: clientEnd, p: p}, nil
}

// ServeHTTP passes a request to the target and simulates the faults of the network and of the machine.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	from := r.Context().Value(connKey{}).(*serverConn).client
	isRequest := !strings.HasPrefix(r.URL.Path, protocolPrefix)
	hangOneIn, responseFaultOneIn := s.faults()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.w.latency())
	if s.w.isCut(from.vm.zone, s.zone) || isRequest && hangOneIn > 0 && s.w.oneIn(hangOneIn) {
		s.hang(r)
	}
	if isRequest {
		s.w.recordArrival(s, from, r, body)
	}
	response := httptest.NewRecorder()
	// The target reads a request that has reached the machine even if the client has closed the connection by then.
	detached := r.WithContext(context.WithoutCancel(r.Context()))
	detached.Body = io.NopCloser(strings.NewReader(string(body)))
	s.target.ServeHTTP(response, detached)
	time.Sleep(s.w.latency())
	if s.w.isCut(from.vm.zone, s.zone) {
		s.hang(r)
	}
	if isRequest && responseFaultOneIn > 0 && s.w.oneIn(responseFaultOneIn) {
		response = s.injectResponseFault(rw, r, response)
	}
	s.mu.Lock()
	if isRequest {
		s.previousResponse = response
	}
	s.mu.Unlock()
	writeResponse(rw, response, len(response.Body.Bytes()))
}

// hang keeps a connection open without a response until the client closes it or the world ends.
func (s *server) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.w.done:
	}
	panic(http.ErrAbortHandler)
}

// injectResponseFault delays, drops or truncates a response, or returns the response to another attempt.
func (s *server) injectResponseFault(
	rw http.ResponseWriter, r *http.Request, response *httptest.ResponseRecorder,
) *httptest.ResponseRecorder {
	s.mu.Lock()
	other := s.previousResponse
	s.mu.Unlock()
	switch s.w.randomInt(5) {
	case 0:
		panic(http.ErrAbortHandler)
	case 1:
		writeResponse(rw, response, len(response.Body.Bytes())+7)
		panic(http.ErrAbortHandler)
	case 2:
		s.hang(r)
	case 3:
		if other != nil {
			return other
		}
	default:
		time.Sleep(time.Duration(s.w.randomInt(int(3 * time.Second))))
	}
	return response
}

func writeResponse(rw http.ResponseWriter, response *httptest.ResponseRecorder, length int) {
	for name, values := range response.Header() {
		rw.Header()[name] = values
	}
	rw.Header().Set("Content-Length", strconv.Itoa(length))
	rw.WriteHeader(response.Code)
	_, _ = rw.Write(response.Body.Bytes())
}
