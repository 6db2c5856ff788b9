package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/engine"
)

// maxAnswer bounds the answer length that the bytes query parameter may request.
const maxAnswer = 256 << 20

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// ID and Domain identify the upstream and its failure domain. Entries are the
	// addresses of the entry nodes to announce to.
	ID, Domain string
	Entries    []string
	// Service is the service name that callers use.
	Service string
	// Listen is the address to listen on; empty selects a free loopback port.
	Listen string
	// Advertise is the address to announce; empty announces the listener's address.
	Advertise string
	// Incarnation identifies one start of the service; zero selects the current time
	// in nanoseconds.
	Incarnation uint64
	// AnnounceEvery is the interval between announcements; zero selects 500 ms.
	AnnounceEvery time.Duration
	// Slots is the number of calls that run concurrently. As many more may wait.
	Slots int
	// Work is the duration of a call that sets none, before scaling.
	Work time.Duration
	// CrashOn, if set, selects the calls that end the service as soon as it runs them.
	CrashOn func(*http.Request) bool
	// LeaveGrace is how long Stop still accepts new calls after Leave.
	LeaveGrace time.Duration
	// Scale converts the simulated durations to real ones.
	Scale Scale
}

// Service simulates a plain service. It accepts every method, and every path but those
// for test control. The effect of a call is its entry in the journal. The query
// parameters work (duration of the call) and bytes (length of the answer) configure a
// single call.
type Service struct {
	server
	config    ServiceConfig
	announcer *announcer
	slots     *slots

	mu      sync.Mutex
	leaving bool
}

// ServiceAnswer is the JSON answer to a call without a valid bytes parameter.
type ServiceAnswer struct {
	// Run is the Number of the journal entry.
	Run int `json:"run"`
	// Method, Path and Key are the method, path and idempotency key of the call.
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	// Received is the length of the call's body in bytes.
	Received int `json:"received"`
}

// NewService returns a service with defaults applied. Start starts it.
func NewService(config ServiceConfig) *Service {
	setDefault(&config.Incarnation, uint64(time.Now().UnixNano()))
	setDefault(&config.Slots, 64)
	setDefault(&config.LeaveGrace, 2*time.Second)
	s := &Service{config: config, slots: newSlots(config.Slots, config.Slots)}
	s.announcer = newAnnouncer(config.Entries, config.AnnounceEvery, s.announcement, nil)
	return s
}

// Start opens the listener, serves calls and announces the service to its entry nodes.
func (s *Service) Start(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serveCall)
	if err := s.listen(ctx, s.config.Listen, mux); err != nil {
		return err
	}
	s.spawn(func() { s.announcer.run(s.ctx) })
	return nil
}

// Leave announces that the service is leaving.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.journal.markLeaving()
	s.announcer.announceNow()
}

// Stop calls Leave, accepts calls for LeaveGrace and then shuts down after the calls in
// progress have finished.
func (s *Service) Stop(ctx context.Context) error {
	s.Leave()
	if err := sleep(ctx, s.config.LeaveGrace); err != nil {
		return err
	}
	return s.shutdown(ctx)
}

// Kill stops the service immediately and resets its connections.
func (s *Service) Kill() {
	s.kill()
}

// announcement returns the current state for the announcer, which sets Seq.
func (s *Service) announcement() directory.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	running, queued := s.slots.counts()
	return directory.Announcement{
		ID:          s.config.ID,
		Incarnation: s.config.Incarnation,
		Addr:        s.advertisedAddr(s.config.Advertise),
		Domain:      s.config.Domain,
		Kind:        directory.Service,
		Service:     s.config.Service,
		Slots:       s.config.Slots,
		Leaving:     s.leaving,
		Load:        directory.Load{Running: running, Queued: queued},
	}
}

// serveCall handles one call: it waits for a slot, records the call, simulates the work
// and writes the answer.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.get()
	if faults.NoAnswer {
		// net/http cancels the context on a disconnect only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if faults.Refuse {
		writeNotRun(w, r, http.StatusServiceUnavailable, "refused", "refused by script")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeNotRun(w, r, http.StatusBadRequest, "unreadable_body", err.Error())
		return
	}
	if err := s.slots.acquire(r.Context(), 0); err != nil {
		writeNotRun(w, r, http.StatusTooManyRequests, "slots_full", err.Error())
		return
	}
	defer s.slots.release()
	if s.config.CrashOn != nil && s.config.CrashOn(r) {
		go s.Kill()
		<-r.Context().Done()
		return
	}
	number := s.journal.begin(r, body, 0)
	end := Broken
	defer func() { s.journal.end(number, 0, end) }()
	if s.simulateWork(r, faults) != nil {
		end = Canceled
		return
	}
	if faults.CutAfter > 0 {
		abortConnection(w)
	}
	s.writeAnswer(w, r, faults, number, len(body))
	end = Finished
}

// simulateWork waits for the duration of a call and the AnswerDelay fault.
func (s *Service) simulateWork(r *http.Request, faults Faults) error {
	duration := s.config.Work
	if requested, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		duration = requested
	}
	return sleep(r.Context(), s.config.Scale.apply(duration)+time.Duration(faults.AnswerDelay))
}

// writeAnswer writes the answer to a call: the requested number of bytes, or a
// ServiceAnswer. The CutAnswer fault cuts it short.
func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, faults Faults, number, received int) {
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	length, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if faults.CutAnswer {
		abortMidAnswer(w)
	}
	if err != nil || length < 0 || length > maxAnswer {
		writeJSON(w, http.StatusOK, ServiceAnswer{
			Run:      number,
			Method:   r.Method,
			Path:     r.URL.Path,
			Key:      r.Header.Get(engine.HeaderIdempotencyKey),
			Received: received,
		})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	w.WriteHeader(http.StatusOK)
	block := bytes.Repeat([]byte("0123456789abcdef"), 2<<10)
	for length > 0 {
		n, err := w.Write(block[:min(length, len(block))])
		if err != nil {
			return
		}
		length -= n
	}
}

// abortMidAnswer sends half of the announced answer and resets the connection.
func abortMidAnswer(w http.ResponseWriter) {
	const half = 512
	w.Header().Set("Content-Length", strconv.Itoa(2*half))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(make([]byte, half))
	_ = http.NewResponseController(w).Flush()
	abortConnection(w)
}
