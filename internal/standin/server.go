// Package standin holds small stand-ins of the platform and of targets for tests and the demo. It is never shipped.
//
// Each stand-in is an http.Handler. Faults are switched over POST /control and the other paths under /control/.
package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
)

// maxControlBytes bounds the body of a control call.
const maxControlBytes = 1 << 20

// Server serves a handler on a TCP address and can close all its connections at once.
type Server struct {
	// Address is host:port.
	Address  string
	listener net.Listener
	http     *http.Server
	mutex    sync.Mutex
	open     map[net.Conn]struct{}
	done     chan struct{}
}

// Listen starts serving on an address; port 0 chooses a free port.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &Server{
		Address:  listener.Addr().String(),
		listener: listener,
		open:     map[net.Conn]struct{}{},
		done:     make(chan struct{}),
	}
	server.http = &http.Server{Handler: handler, ConnState: server.track}
	go func() {
		defer close(server.done)
		_ = server.http.Serve(listener)
	}()
	return server, nil
}

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Address }

// CloseConnections closes all connections and keeps listening, as a process that restarts at once.
func (s *Server) CloseConnections() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.open {
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
		s.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, conn)
	}
}

// readJSON decodes the body of a control call and answers 400 if it is malformed.
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
