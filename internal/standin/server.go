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

// maxBody bounds the body of a request to a stand-in, in bytes.
const maxBody = 64 << 20

// server is what all stand-ins share: a loopback listener, an HTTP server whose
// connections can be reset at once, the journal and the faults.
type server struct {
	journal  Journal
	faults   faultBox
	http     *http.Server
	listener net.Listener
	served   chan struct{}

	// ctx ends when the stand-in is killed or stopped.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	connMu sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// listen opens the listener and serves mux until kill or shutdown.
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
	s.served = make(chan struct{})
	s.conns = make(map[net.Conn]struct{})
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	mux.HandleFunc("GET "+PathJournal, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.journal.Entries())
	})
	mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{Handler: mux, ConnState: s.track, Protocols: &protocols}
	go func() {
		defer close(s.served)
		// Serve ends with ErrServerClosed on kill and shutdown.
		_ = s.http.Serve(listener)
	}()
	return nil
}

// Addr is the address that the stand-in listens on.
func (s *server) Addr() string {
	return s.listener.Addr().String()
}

// advertised is the address to announce.
func (s *server) advertised(addr string) string {
	if addr == "" {
		return s.Addr()
	}
	return addr
}

// Journal is the record of the requests that were run.
func (s *server) Journal() []Entry {
	return s.journal.Entries()
}

// SetFaults replaces the faults in force.
func (s *server) SetFaults(f Faults) {
	s.faults.set(f)
}

// putFaults serves PathFaults.
func (s *server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// spawn runs a task that kill and shutdown wait for. It runs none after them.
func (s *server) spawn(task func()) {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	if !s.closed {
		s.tasks.Go(task)
	}
}

// endTasks ends every task and waits for them.
func (s *server) endTasks() {
	s.connMu.Lock()
	s.closed = true
	s.connMu.Unlock()
	s.cancel()
	<-s.served
	s.tasks.Wait()
}

// track keeps the set of open connections.
func (s *server) track(conn net.Conn, state http.ConnState) {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// kill resets every connection and ends every task.
func (s *server) kill() {
	_ = s.listener.Close()
	s.connMu.Lock()
	for conn := range s.conns {
		reset(conn)
	}
	s.connMu.Unlock()
	_ = s.http.Close()
	s.endTasks()
}

// shutdown finishes the requests in progress and ends every task.
func (s *server) shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.endTasks()
	return errors.Wrap(err, "finish requests")
}

// reset closes a connection so that the peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// cut resets the connection of a request and ends its handler.
func cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		reset(conn)
	}
	panic(http.ErrAbortHandler)
}

// writeJSON answers with one JSON value.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// refuse answers that a request was not run, in the OpenAI error shape.
func refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(engine.HeaderNotRun, engine.NotRun)
	fail(w, status, code, message)
}

// errorBody is the OpenAI error shape.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the error inside errorBody.
type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// fail answers with an error in the OpenAI error shape.
func fail(w http.ResponseWriter, status int, code, message string) {
	kind := "server_error"
	if status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	writeJSON(w, status, errorBody{errorDetail{Message: message, Type: kind, Code: code}})
}
