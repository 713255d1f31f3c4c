// Package standin provides stand-ins for the platform's store and for targets, which tests and the demo use. It is
// never shipped.
//
// Store and Target are HTTP handlers. Faults are set with POST /control and the other paths under /control/. A Relay
// delays, blocks or closes the connections to a server.
package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
)

// maxControlBytes limits the body of a control request and of a command to a target, in bytes.
const maxControlBytes = 1 << 20

// Server serves a handler on a TCP address and can close all its connections at once.
type Server struct {
	// Address is host:port.
	Address  string
	listener net.Listener
	http     *http.Server
	mutex    sync.Mutex
	conns    map[net.Conn]struct{}
	done     chan struct{}
}

// Listen starts serving on address, host:port; port 0 selects a free port.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &Server{
		Address:  listener.Addr().String(),
		listener: listener,
		conns:    map[net.Conn]struct{}{},
		done:     make(chan struct{}),
	}
	server.http = &http.Server{Handler: handler, ConnState: server.track}
	go func() {
		defer close(server.done)
		_ = server.http.Serve(listener)
	}()
	return server, nil
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address }

// CloseConnections closes all connections and keeps listening, like a process that restarts immediately.
func (s *Server) CloseConnections() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// readJSON decodes the JSON body of a request. If the body is malformed, it responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
