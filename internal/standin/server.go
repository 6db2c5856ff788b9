package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/engine"
)

// maxBody bounds the body of a generation request or service call in bytes.
const maxBody = 64 << 20

// server is the common part of all stand-ins: an HTTP server whose connections can be
// reset together, background tasks, the journal and the active faults.
type server struct {
	journal  Journal
	faults   faultState
	http     *http.Server
	listener net.Listener
	// serveDone is closed when the HTTP server has stopped serving.
	serveDone chan struct{}

	// ctx ends when the stand-in is killed or stopped.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// connMu guards conns and closed. closed is set once no more tasks may start.
	connMu sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// listen opens the listener and serves mux until kill or shutdown. It adds the handlers
// of the journal and the faults to mux. An empty addr selects a free loopback port.
func (s *server) listen(ctx context.Context, addr string, mux *http.ServeMux) error {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.listener = listener
	s.serveDone = make(chan struct{})
	s.conns = make(map[net.Conn]struct{})
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	mux.HandleFunc("GET "+PathJournal, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.journal.Entries())
	})
	mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{Handler: mux, ConnState: s.trackConn, Protocols: &protocols}
	go func() {
		defer close(s.serveDone)
		// Serve always returns an error; it is expected after kill and shutdown.
		_ = s.http.Serve(listener)
	}()
	return nil
}

// Addr returns the address of the listener.
func (s *server) Addr() string {
	return s.listener.Addr().String()
}

// advertisedAddr returns the address to announce: addr, or the listener's address if addr
// is empty.
func (s *server) advertisedAddr(addr string) string {
	if addr == "" {
		return s.Addr()
	}
	return addr
}

// Journal returns a copy of the journal.
func (s *server) Journal() []Entry {
	return s.journal.Entries()
}

// SetFaults replaces the active faults.
func (s *server) SetFaults(f Faults) {
	s.faults.set(f)
}

// putFaults handles PUT requests to PathFaults.
func (s *server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// spawn starts a task that kill and shutdown wait for. After them it starts none.
func (s *server) spawn(task func()) {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	if !s.closed {
		s.tasks.Go(task)
	}
}

// stopTasks cancels the tasks, and waits for them and the HTTP server to end.
func (s *server) stopTasks() {
	s.connMu.Lock()
	s.closed = true
	s.connMu.Unlock()
	s.cancel()
	<-s.serveDone
	s.tasks.Wait()
}

// trackConn maintains the set of open connections.
func (s *server) trackConn(conn net.Conn, state http.ConnState) {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// kill resets every connection and stops the server and its tasks.
func (s *server) kill() {
	_ = s.listener.Close()
	s.connMu.Lock()
	for conn := range s.conns {
		resetConn(conn)
	}
	s.connMu.Unlock()
	_ = s.http.Close()
	s.stopTasks()
}

// shutdown waits for the requests in progress until ctx ends, then stops the tasks.
func (s *server) shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.stopTasks()
	return errors.Wrap(err, "shut down HTTP server")
}

// resetConn closes a connection so that the peer sees a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// abortConnection resets the connection of a request and aborts its handler by a panic.
func abortConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		resetConn(conn)
	}
	panic(http.ErrAbortHandler)
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// writeNotRun writes an OpenAI error response with the headers that name the attempt r and
// state that it did not run.
func writeNotRun(w http.ResponseWriter, r *http.Request, status int, code, message string) {
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	w.Header().Set(engine.HeaderNotRun, engine.NotRun)
	writeError(w, status, code, message)
}

// errorBody is the body of an OpenAI error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the error object of an errorBody.
type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// writeError writes an OpenAI error response.
func writeError(w http.ResponseWriter, status int, code, message string) {
	kind := "server_error"
	if status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	writeJSON(w, status, errorBody{errorDetail{Message: message, Type: kind, Code: code}})
}
