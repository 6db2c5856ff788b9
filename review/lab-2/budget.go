//go:build review2

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// slots is the number of requests that a runner runs at once, and queue how many more it lets wait.
	slots = 6
	queue = 4
	// work is how long a runner works on a request. It goes on when the connection closes.
	work = 8 * time.Second
)

// budget kills all processes at once while the runners of a service are full, and counts what arrives at these beyond
// the first arrival of each request.
func budget(record string, trouble bool) (int, error) {
	l := newLab(5, 9, record, "")
	defer l.end(os.Getenv("KEEP") != "")
	l.startAll()
	var mu sync.Mutex
	type event struct {
		at time.Duration
		id string
	}
	// log writes to the record what a runner did with a request.
	log := func(runner, id, what string) { l.note("%s %s %s", runner, what, id) }
	var arrivals, sent []event
	for i := range 3 {
		r := l.newRunner(fmt.Sprint("i-", i), "app", nil, nil)
		r.slots = slots
		free, running, waiting := make(chan struct{}, slots), 0, 0
		r.serve = func(c *rconn, req *http.Request, _ []byte) bool {
			id := req.Header.Get("Request-Id")
			ms, _ := strconv.Atoi(req.Header.Get("Deadline-Ms"))
			end := time.NewTimer(time.Duration(ms) * time.Millisecond)
			defer end.Stop()
			mu.Lock()
			arrivals = append(arrivals, event{at: time.Since(l.start), id: id})
			load := fmt.Sprintf("Request-Id: %s\r\nServer-Load: %d,%d,%d\r\n", id, running, waiting, slots)
			if running+waiting >= slots+queue {
				mu.Unlock()
				log(r.id, id, "is full and rejects")
				_, err := io.WriteString(c, answer(503, load+"Not-Executed: 1\r\n", ""))
				return err == nil
			}
			waiting++
			mu.Unlock()
			select {
			case free <- struct{}{}:
			case <-end.C:
				mu.Lock()
				waiting--
				mu.Unlock()
				log(r.id, id, "had no slot in time for")
				_, err := io.WriteString(c, answer(503, load+"Not-Executed: 1\r\n", ""))
				return err == nil
			}
			mu.Lock()
			waiting, running = waiting-1, running+1
			mu.Unlock()
			log(r.id, id, "runs")
			status := 200
			select {
			case <-time.After(work):
			case <-end.C:
				status = 504
			}
			<-free
			mu.Lock()
			running--
			load = fmt.Sprintf("Request-Id: %s\r\nServer-Stamp: s\r\nServer-Load: %d,%d,%d\r\n", id, running, waiting, slots)
			mu.Unlock()
			_, err := io.WriteString(c, answer(status, load, "answer"))
			return err == nil
		}
		r.startAt("127.0.0.20:0")
	}
	configuration := map[string]any{
		"Routes":   []any{route("rep", "/rep/", "idempotent", "app", 3, 15000, false)},
		"Services": []any{map[string]any{"Name": "app", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false}},
		"Limits":   limits(),
	}
	if !l.configure(configuration) || !l.awaitReady() {
		return 0, errUnable
	}
	time.Sleep(5 * time.Second)
	perSecond := 6.0
	if s := os.Getenv("RATE"); s != "" {
		perSecond, _ = strconv.ParseFloat(s, 64)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	statuses := map[string]int{}
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			e := l.entries[n%len(l.entries)]
			wg.Go(func() {
				id := fmt.Sprint("q", n)
				mu.Lock()
				sent = append(sent, event{at: time.Since(l.start), id: id})
				mu.Unlock()
				l.note("%s sent to %s", id, e.name)
				rep := call(e.addr(0), "GET", "/rep/x", map[string]string{"Request-Id": id, "Deadline-Ms": "15000"}, nil, 15*time.Second)
				l.note("%s by %s: %d %v", id, e.name, rep.status, rep.err)
				mu.Lock()
				statuses[fmt.Sprint(rep.status)]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(15 * time.Second)
	if !l.configure(configuration) {
		return 0, errUnable
	}
	if trouble {
		for _, n := range l.all() {
			l.signal(n, syscall.SIGKILL)
		}
		for _, n := range l.all() {
			<-n.exited
		}
		time.Sleep(700 * time.Millisecond)
		for _, n := range l.all() {
			l.run(n)
		}
		wg.Go(func() {
			for range 8 {
				time.Sleep(time.Second)
				l.noteEntryCounts()
			}
		})
	}
	time.Sleep(15 * time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	// Repeats are the arrivals after the first of each request.
	first := map[string]bool{}
	var repeats []time.Duration
	for _, a := range arrivals {
		if first[a.id] {
			repeats = append(repeats, a.at)
		}
		first[a.id] = true
	}
	sort.Slice(repeats, func(i, j int) bool { return repeats[i] < repeats[j] })
	requests := func(from, to time.Duration) (n int) {
		for _, s := range sent {
			if s.at >= from && s.at < to {
				n++
			}
		}
		return n
	}
	const window = 10 * time.Second
	worst, broken := -1e9, 0
	for i, from := range repeats {
		in := 0
		for _, at := range repeats[i:] {
			if at < from+window {
				in++
			}
		}
		most := max(requests(from, from+window), requests(from-window, from), requests(from-window/2, from+window/2))
		limit := 0.2*float64(most) + 58
		if over := float64(in) - limit; over > worst {
			worst = over
			l.note("window from %.3f: %d repeats, %d requests, limit %.1f", from.Seconds(), in, most, limit)
		}
		if float64(in) > limit {
			broken++
		}
	}
	l.note("statuses %v; %d arrivals, %d repeats; worst over the limit by %.1f in %d windows", statuses, len(arrivals), len(repeats), worst, broken)
	fmt.Printf("worst %.1f\n", worst)
	return broken, nil
}

var entryCount = regexp.MustCompile(`(?i)entryNodes"?[^0-9\n]*([0-9]+)`)

// noteEntryCounts writes to the record how many entry nodes each entry node takes to be there, by its metrics.
func (l *lab) noteEntryCounts() {
	text := ""
	for _, e := range l.entries {
		_, body := send("GET", "http://"+e.addr(4)+"/metrics", nil)
		found := "?"
		if m := entryCount.FindSubmatch(body); m != nil {
			found = string(m[1])
		}
		text += " " + found
	}
	l.note("entry nodes that each entry node counts:%s", text)
}
