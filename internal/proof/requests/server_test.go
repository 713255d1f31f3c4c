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
	tryHeader   = "X-Try"
	protocol    = "/tarragon/"
	concurrency = 4
	coldStart   = 3 * time.Second
)

// server is the machine of one target: the stand-in target behind an HTTP server on pipes.
type server struct {
	w      *world
	id     model.TargetID
	zone   model.Zone
	region model.Region
	target *standin.Target
	origin time.Time
	rate   float64
	conns  chan net.Conn
	http   *http.Server

	mu           sync.Mutex
	down, killed bool
	open         map[net.Conn]bool
	// silentOneIn is how often a connection never delivers its request; faultOneIn how often an answer is damaged.
	silentOneIn, faultOneIn int
	coldSince               time.Time
	previous                *httptest.ResponseRecorder
}

// serverConn is the target's end of a connection.
type serverConn struct {
	net.Conn
	from *process
}

type connKey struct{}

func newServer(w *world, id model.TargetID, zone model.Zone, region model.Region) *server {
	s := &server{w: w, id: id, zone: zone, region: region, origin: time.Now(), conns: make(chan net.Conn), open: map[net.Conn]bool{}}
	s.rate = 0.995 + 0.01*float64(w.draw(1000))/1000
	s.target = standin.NewTarget(standin.TargetOptions{
		ID: id, Concurrency: concurrency, Queue: 2, ServiceTime: 20 * time.Millisecond,
		ColdStart: coldStart, ColdInitial: 1, Now: s.now, OnCrash: s.crashed, LoadLag: 300 * time.Millisecond,
	})
	s.http = &http.Server{Handler: s, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	go func() { _ = s.http.Serve(s) }()
	return s
}

func (s *server) now() model.Instant {
	return model.Instant(float64(time.Since(s.origin))*s.rate) + model.Instant(time.Hour)
}

func (s *server) timeOf(instant model.Instant) time.Time {
	return s.origin.Add(time.Duration(float64(instant-model.Instant(time.Hour)) / s.rate))
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

// crashed closes all connections and refuses new ones for a moment, as a process that is started again.
func (s *server) crashed() {
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

// kill ends the target's process until start.
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

func (s *server) turnCold() {
	s.mu.Lock()
	s.coldSince = time.Now()
	s.mu.Unlock()
	s.target.Control(standin.TargetControl{Cold: true})
}

func (s *server) setFaults(silentOneIn, faultOneIn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentOneIn, s.faultOneIn = silentOneIn, faultOneIn
}

func (s *server) faults() (silentOneIn, faultOneIn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentOneIn, s.faultOneIn
}

// clientConn is an entry VM's end of a connection. A paused process writes late and reads late.
type clientConn struct {
	net.Conn
	p *process
}

func (c *clientConn) Write(data []byte) (int, error) {
	c.p.mu.Lock()
	paused := !isClosed(c.p.resumed)
	c.p.mu.Unlock()
	if !c.p.gate() {
		return 0, net.ErrClosed
	}
	if paused {
		// The process was paused right before it wrote: its deadline had not ended then.
		_ = c.SetDeadline(time.Time{})
	}
	return c.Conn.Write(data)
}

func (c *clientConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !c.p.gate() {
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
	near, far := net.Pipe()
	s.mu.Lock()
	down := s.down
	if !down {
		s.open[far] = true
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
	p.conns = append(p.conns, near)
	select {
	case s.conns <- &serverConn{Conn: far, from: p}:
	case <-p.w.done:
		return nil, net.ErrClosed
	}
	return &clientConn{Conn: near, p: p}, nil
}

// ServeHTTP is the network and the machine around the target.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	from := r.Context().Value(connKey{}).(*serverConn).from
	isRequest := !strings.HasPrefix(r.URL.Path, protocol)
	silentOneIn, faultOneIn := s.faults()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.w.latency())
	if s.w.isCut(from.vm.zone, s.zone) || isRequest && silentOneIn > 0 && s.w.chance(silentOneIn) {
		s.hang(r)
	}
	if isRequest {
		s.w.arrived(s, from, r, body)
	}
	answer := httptest.NewRecorder()
	// What has reached the machine is read even if the other end has closed the connection by then.
	late := r.WithContext(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(strings.NewReader(string(body)))
	s.target.ServeHTTP(answer, late)
	time.Sleep(s.w.latency())
	if s.w.isCut(from.vm.zone, s.zone) {
		s.hang(r)
	}
	if isRequest && faultOneIn > 0 && s.w.chance(faultOneIn) {
		answer = s.damage(rw, r, answer)
	}
	s.mu.Lock()
	if isRequest {
		s.previous = answer
	}
	s.mu.Unlock()
	write(rw, answer, len(answer.Body.Bytes()))
}

// hang keeps a connection open without an answer.
func (s *server) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.w.done:
	}
	panic(http.ErrAbortHandler)
}

// damage delays, loses or truncates an answer, or returns that of another attempt.
func (s *server) damage(rw http.ResponseWriter, r *http.Request, answer *httptest.ResponseRecorder) *httptest.ResponseRecorder {
	s.mu.Lock()
	other := s.previous
	s.mu.Unlock()
	switch s.w.draw(5) {
	case 0:
		panic(http.ErrAbortHandler)
	case 1:
		write(rw, answer, len(answer.Body.Bytes())+7)
		panic(http.ErrAbortHandler)
	case 2:
		s.hang(r)
	case 3:
		if other != nil {
			return other
		}
	default:
		time.Sleep(time.Duration(s.w.draw(int(3 * time.Second))))
	}
	return answer
}

func write(rw http.ResponseWriter, answer *httptest.ResponseRecorder, length int) {
	for name, values := range answer.Header() {
		rw.Header()[name] = values
	}
	rw.Header().Set("Content-Length", strconv.Itoa(length))
	rw.WriteHeader(answer.Code)
	_, _ = rw.Write(answer.Body.Bytes())
}
