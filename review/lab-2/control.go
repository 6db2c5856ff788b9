//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"
)

// mutate changes one value of a document at random.
func mutate(r *rand.Rand, v any) any {
	odd := []any{nil, true, -1, 0, 1, 1e18, -1e18, 1e300, 0.5, "", "x", "\u0000", []any{}, map[string]any{}, []any{nil}, []any{1, "a"}, json.Number("18446744073709551615"), json.Number("9223372036854775807"), json.Number("-9223372036854775808"), json.Number("1e400"), json.Number("4294967296")}
	switch t := v.(type) {
	case map[string]any:
		if len(t) > 0 && r.IntN(6) > 0 {
			out := map[string]any{}
			keys := []string{}
			for k, x := range t {
				out[k] = x
				keys = append(keys, k)
			}
			k := keys[r.IntN(len(keys))]
			if r.IntN(8) == 0 {
				delete(out, k)
			} else {
				out[k] = mutate(r, out[k])
			}
			return out
		}
	case []any:
		if len(t) > 0 && r.IntN(4) > 0 {
			out := append([]any{}, t...)
			i := r.IntN(len(out))
			if r.IntN(6) == 0 {
				return append(out, out[i])
			}
			out[i] = mutate(r, out[i])
			return out
		}
	}
	return odd[r.IntN(len(odd))]
}

func control(record string, trouble bool) (int, error) {
	l := newLab(3, 2, record, "")
	defer l.end(os.Getenv("KEEP") != "")
	fmt.Println(l.dir)
	l.startAll()
	seed := uint64(time.Now().UnixNano())
	if s := os.Getenv("SEED"); s != "" {
		seed, _ = strconv.ParseUint(s, 10, 64)
	}
	l.note("seed %d", seed)
	mk := func() *rand.Rand { seed++; return rand.New(rand.NewPCG(seed, 2)) }
	engine := func() map[string]any {
		models := []any{}
		for i := range 6 {
			models = append(models, map[string]any{"Name": fmt.Sprint("m", i), "WeightsMb": 20000, "LoadS": 1, "Adapters": 3, "AdapterMb": 40, "WarmS": 0.5, "DiskS": 0.7})
		}
		return map[string]any{"Slots": 8, "KvCapacity": 100000, "KvTokenBytes": 131072, "LinkMbps": 550000, "Moves": true, "Backups": true, "Stride": 3, "Cap": 12, "HostMb": 57000, "DiskMb": 560000, "PinMs": 4000, "HoldMs": 2000, "handle_s": 5, "Models": models, "WeightsMb": 83000, "AdapterSlots": 8, "LoadsPerS": 7.5}
	}
	doc := func() map[string]any {
		return map[string]any{"Routes": []any{route("rep", "/rep/", "idempotent", "app", 3, 3000, false), route("sr", "/sr/", "stream", "llm", 3, 4000, true)},
			"Services": []any{map[string]any{"Name": "app", "HealthPath": "/health", "MaxConns": 400, "Protocol": "h1", "Tls": false}, map[string]any{"Name": "llm", "HealthPath": "/health", "MaxConns": 400, "Protocol": "h1", "Tls": false, "Engine": engine()}},
			"Limits":   limits()}
	}
	norm := func(v any) any { b, _ := json.Marshal(v); var out any; _ = json.Unmarshal(b, &out); return out }
	ok := func(r *runner) func(c *rconn, req *http.Request, body []byte) bool {
		return func(c *rconn, req *http.Request, _ []byte) bool {
			id := req.Header.Get("Request-Id")
			ct, out := "", "answer"
			if r.service == "llm" {
				ct, out = "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
			}
			_, err := io.WriteString(c, answer(200, "Request-Id: "+id+"\r\nServer-Stamp: s\r\n"+ct, out))
			return err == nil
		}
	}
	rr := mk()
	for i := range 5 {
		svc, models := "app", []map[string]any(nil)
		if i >= 2 {
			svc = "llm"
			models = []map[string]any{{"Name": fmt.Sprint("m", i-2), "Version": 1, "Adapters": []string{}}}
		}
		r := l.newRunner(fmt.Sprint("i-", i), svc, models, nil)
		r.serve = ok(r)
		if trouble && i == 4 {
			r.odd = func(path string, v map[string]any) string {
				b, err := json.Marshal(mutate(rr, norm(v)))
				if err != nil || rr.IntN(10) == 0 {
					return "{\"Models\":[{"
				}
				return string(b)
			}
		}
		r.startAt("127.0.0.20:0")
	}
	if !l.configure(doc()) || !l.awaitReady() {
		return 0, errUnable
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(45 * time.Second)
	r, broken, n, accepted := mk(), 0, 0, 0
	good := norm(map[string]any{"Service": "llm", "Address": "127.0.0.21:9", "Zone": "d", "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Stage": "both", "Models": []any{map[string]any{"Name": "m1", "Version": 1, "Adapters": []any{"a1"}}}, "Seq": 5, "born": time.Now().UnixMilli(), "AtHand": map[string]any{"InMemory": []any{"m1"}, "OnDisk": []any{"m2"}}, "RemainingMs": 100})
	clientsOK, clientsBad := 0, 0
	for time.Now().Before(end) {
		n++
		if trouble {
			m := good
			for range 1 + r.IntN(3) {
				m = mutate(r, m)
			}
			b, err := json.Marshal(m)
			if err == nil {
				if r.IntN(10) == 0 {
					b = b[:r.IntN(len(b)+1)]
				}
				id := []string{"x-1", "i-0", "i-3", "x%00", "..", "a%2Fb"}[r.IntN(6)]
				method := "PUT"
				if r.IntN(12) == 0 {
					method, id = "DELETE", "x-1"
				}
				status, _ := send(method, "http://"+l.controls[r.IntN(3)].addr(0)+"/instances/"+id, b)
				if status == 200 {
					accepted++
				}
			}
			if n%20 == 0 {
				l.version += 3
				d := doc()
				d["Version"] = l.version
				c := norm(d)
				for range 1 + r.IntN(2) {
					c = mutate(r, c)
				}
				b, _ := json.Marshal(c)
				status, _ := send("PUT", "http://"+l.controls[r.IntN(3)].addr(0)+"/config", b)
				l.note("odd configuration %d: %d", l.version, status)
				if status == 200 {
					l.note("accepted %.3000s", b)
					time.Sleep(300 * time.Millisecond)
				}
				if !l.configure(doc()) {
					broken++
					l.note("proper configuration not acknowledged")
				}
			}
		}
		for k, e := range l.entries {
			path, h := "/rep/x", map[string]string{"Request-Id": fmt.Sprint("c", n, "-", k), "Deadline-Ms": "2000"}
			if n%2 == 0 {
				path = "/sr/x"
				h["Model"], h["Token-Usage"] = "m0", "10,10"
			}
			rep := call(e.addr(0), "GET", path, h, nil, 3*time.Second)
			if rep.status == 200 {
				clientsOK++
			} else {
				clientsBad++
				l.note("client %s %s: %d %v", path, h["Request-Id"], rep.status, rep.err)
			}
		}
		for _, p := range l.all() {
			if !p.running() {
				broken++
				l.note("%s has ended", p.name)
				return broken, nil
			}
		}
	}
	l.note("%d odd announcements (%d accepted), clients %d ok %d not", n, accepted, clientsOK, clientsBad)
	return broken, nil
}
