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

// maxAnswer bounds the answer that a query asks for, in bytes.
const maxAnswer = 256 << 20

// ServiceConfig sets up a plain service.
type ServiceConfig struct {
	// ID, Domain and Entries are the upstream's name, its failure domain and
	// the addresses of the entry nodes.
	ID, Domain string
	Entries    []string
	// Service is the name of the service.
	Service string
	// Listen is the address to listen on; a free loopback port if empty.
	Listen string
	// Advertise is the address to announce; the one listened on if empty.
	Advertise string
	// Incarnation is unique for each start; the time of day if zero.
	Incarnation uint64
	// AnnounceEvery is the interval of announcements.
	AnnounceEvery time.Duration
	// Slots is the number of calls run at once.
	Slots int
	// Work is the time of a call, before scaling.
	Work time.Duration
	// LeaveGrace is how long a leaving service still takes new calls.
	LeaveGrace time.Duration
	// Scale shortens the simulated times.
	Scale Scale
}

// Service is a stand-in for a plain service. It takes any method and path below
// its root. A call's effect is its entry in the journal. The query parameters
// work (a duration) and bytes (the length of the answer) shape one call.
type Service struct {
	server
	config    ServiceConfig
	announcer *announcer
	slots     *slots

	mu      sync.Mutex
	leaving bool
}

// ServiceAnswer is the answer to a call that asks for no length.
type ServiceAnswer struct {
	// Run is the number of the journal entry.
	Run int `json:"run"`
	// Method, Path and Key repeat the call.
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	// Received is the length of the call's body in bytes.
	Received int `json:"received"`
}

// NewService makes a service that is not started.
func NewService(config ServiceConfig) *Service {
	setDefault(&config.Incarnation, uint64(time.Now().UnixNano()))
	setDefault(&config.Slots, 64)
	setDefault(&config.LeaveGrace, 2*time.Second)
	s := &Service{config: config, slots: newSlots(config.Slots, config.Slots)}
	s.announcer = newAnnouncer(config.Entries, config.AnnounceEvery, s.announcement, nil)
	return s
}

// Start listens, serves and announces.
func (s *Service) Start(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.call)
	if err := s.listen(ctx, s.config.Listen, mux); err != nil {
		return err
	}
	s.spawn(func() { s.announcer.run(s.ctx) })
	return nil
}

// Leave announces that the service takes no new calls.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.journal.leave()
	s.announcer.change()
}

// Stop leaves, serves what still comes for the grace, and finishes the calls in
// progress.
func (s *Service) Stop(ctx context.Context) error {
	s.Leave()
	if err := sleep(ctx, s.config.LeaveGrace); err != nil {
		return err
	}
	return s.shutdown(ctx)
}

// Kill ends the service at once and resets its connections.
func (s *Service) Kill() {
	s.kill()
}

// announcement is the state to announce, without a sequence number.
func (s *Service) announcement() directory.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	running, queued := s.slots.count()
	return directory.Announcement{
		ID:          s.config.ID,
		Incarnation: s.config.Incarnation,
		Addr:        s.advertised(s.config.Advertise),
		Domain:      s.config.Domain,
		Kind:        directory.Service,
		Service:     s.config.Service,
		Slots:       s.config.Slots,
		Leaving:     s.leaving,
		Load:        directory.Load{Running: running, Queued: queued},
	}
}

// call runs one call.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.get()
	if faults.NoAnswer {
		// The context ends with the connection only once the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if faults.Refuse {
		refuse(w, http.StatusServiceUnavailable, "refused", "refused by script")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, "unreadable_body", err.Error())
		return
	}
	if err := s.slots.acquire(r.Context(), 0); err != nil {
		refuse(w, http.StatusTooManyRequests, "slots_full", err.Error())
		return
	}
	defer s.slots.release()
	number := s.journal.begin(r, body, 0)
	end := Broken
	defer func() { s.journal.end(number, 0, end) }()
	if s.work(r, faults) != nil {
		end = Canceled
		return
	}
	if faults.CutAfter > 0 {
		cut(w)
	}
	s.answer(w, r, faults, number, len(body))
	end = Finished
}

// work takes the time of a call.
func (s *Service) work(r *http.Request, faults Faults) error {
	work := s.config.Work
	if asked, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		work = asked
	}
	return sleep(r.Context(), s.config.Scale.of(work)+time.Duration(faults.AnswerDelay))
}

// answer writes the answer of a call.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, faults Faults, number, received int) {
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	length, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if faults.CutAnswer {
		cutMiddle(w)
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

// cutMiddle sends half of an answer and resets the connection.
func cutMiddle(w http.ResponseWriter) {
	const half = 512
	w.Header().Set("Content-Length", strconv.Itoa(2*half))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(make([]byte, half))
	_ = http.NewResponseController(w).Flush()
	cut(w)
}
