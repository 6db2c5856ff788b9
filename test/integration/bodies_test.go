package integration

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	managed "github.com/agateslip/agateslip/platform/standin"
)

const (
	// bodyCrowdSize is the number of callers of a crowd that sends bodies.
	bodyCrowdSize = 200
	// legalBytes is the size of a body just below the limit of a listener that takes configurations.
	legalBytes = 4_000_000
	// wholeShare is the ratio of all callers of a crowd to those that send the end of their bodies.
	wholeShare = 10
	// excessBytes is how much is sent at most of a body beyond the limits.
	excessBytes = 12_000_000
)

// bodyTarget is what the callers of a crowd ask for: the start of a request's head, without its framing, and the size of a body
// within the limits.
type bodyTarget struct {
	head  string
	legal int
}

func (b bodyTarget) announced(size int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", b.head, size)
}

func (b bodyTarget) chunked() string { return b.head + "Transfer-Encoding: chunked\r\n\r\n" }

// inChunks returns a body of about size bytes in chunks, without the last one. The extension follows the size of each chunk.
func inChunks(size, chunk int, extension string) string {
	return strings.Repeat(fmt.Sprintf("%x%s\r\n%s\r\n", chunk, extension, strings.Repeat(" ", chunk)), size/chunk)
}

// mostly has most callers send text, and one of wholeShare text and end.
func mostly(text, end string) func(net.Conn) {
	var n atomic.Int64
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, text); err == nil && n.Add(1)%wholeShare == 0 {
			_, _ = io.WriteString(conn, end)
		}
	}
}

// inPieces is mostly with pauses within the text.
func inPieces(text, end string) func(net.Conn) {
	const pieces = 8
	last := mostly(text[(pieces-1)*len(text)/pieces:], end)
	return func(conn net.Conn) {
		for i := range pieces - 1 {
			if _, err := io.WriteString(conn, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		last(conn)
	}
}

// inTurn has callers behave in turn like those of several crowds.
func inTurn(sends ...func(net.Conn)) func(net.Conn) {
	var n atomic.Int64
	return func(conn net.Conn) { sends[int(n.Add(1))%len(sends)](conn) }
}

// bodyCrowds returns crowds that send bodies, most of which stop short of their end.
func bodyCrowds(b bodyTarget) []crowd {
	const last = "0\r\n\r\n"
	short := mostly(b.announced(b.legal)+strings.Repeat(" ", b.legal-1), " ")
	large := mostly(b.chunked()+inChunks(b.legal-60_000, 60_000, ""), last)
	small := mostly(b.chunked()+inChunks(min(b.legal, 600_000), 1, ""), last)
	crowds := []crowd{
		{name: "one byte short", send: short},
		{name: "one byte short in pieces", send: inPieces(b.announced(b.legal)+strings.Repeat(" ", b.legal-1), " ")},
		{name: "whole", send: writeAll(b.announced(b.legal) + strings.Repeat(" ", b.legal))},
		{name: "large chunks", send: large},
		{name: "chunks of one byte", send: small},
		{name: "chunks with extensions", send: mostly(b.chunked()+inChunks(b.legal-60_000, 30_000, ";a="+strings.Repeat("x", 2000)), last)},
		{name: "trailers without end", send: writeAll(b.chunked() + inChunks(b.legal/2, b.legal/4, "") + "0\r\n" + shortLines(endlessBytes))},
		{name: "far over the limit announced", send: writeAll(b.announced(100*excessBytes) + strings.Repeat(" ", excessBytes))},
		{name: "far over the limit sent", send: writeAll(b.chunked() + inChunks(excessBytes, 60_000, ""))},
		{name: "short and large chunks", send: inTurn(short, large)},
		{name: "short and small chunks", send: inTurn(short, small)},
	}
	for i := range crowds {
		crowds[i].size = bodyCrowdSize
	}
	return crowds
}

// valuesCrowds returns crowds that send whole documents whose values take much more memory than their text.
func valuesCrowds(b bodyTarget) []crowd {
	document := func(name, start, value, end string) crowd {
		text := start + strings.Repeat(value, (b.legal-len(start)-len(end))/len(value)) + end
		return crowd{name: name, size: bodyCrowdSize, send: writeAll(b.announced(len(text)) + text)}
	}
	return []crowd{
		document("array of numbers", `{"Version":1,"Other":[0`, ",0", "]}"),
		document("empty routes", `{"Version":1,"Routes":[{}`, ",{}", "]}"),
		document("nested arrays", `{"Version":1,"Other":[[]`, ",[]", "]}"),
		document("deep arrays", `{"Version":1,"Other":`, "[", ""),
	}
}

// all returns a request that does several, one after the other.
func all(requests ...func() error) func() error {
	return func() error {
		for _, r := range requests {
			if err := r(); err != nil {
				return err
			}
		}
		return nil
	}
}

// managedDocument is the configuration that startManaged sends.
const managedDocument = `{"Version":1,"Routes":[
	{"Name":"plain","Host":"h.example","PathPrefix":"/plain/","Kind":"idempotent","TimeoutMs":30000,"LatencyTargetMs":300,"Service":"app","MaxAttempts":2},
	{"Name":"hold","Host":"h.example","PathPrefix":"/hold/","Kind":"idempotent","TimeoutMs":30000,"LatencyTargetMs":300,"Service":"app","MaxAttempts":1}],
	"Services":[{"Name":"app","MaxConns":1000}],
	"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// operatorRequests are the ordinary requests to a control node.
func operatorRequests(m *managedNodes) func() error {
	return all(get(m.operators, "/config"), request(http.MethodPut, m.operators, "/config", managedDocument))
}

// TestConfigurationBodiesStayInMemory guards against bodies of configurations that take all memory of a control node.
func TestConfigurationBodiesStayInMemory(t *testing.T) {
	m := startManaged(t)
	meetAll(t, bodyCrowds(bodyTarget{"PUT /config HTTP/1.1\r\nHost: h.example\r\n", legalBytes}), m.control, m.operators, operatorRequests(m))
}

// TestConfigurationValuesStayInMemory guards against small texts of large values that take all memory of a control node.
func TestConfigurationValuesStayInMemory(t *testing.T) {
	m := startManaged(t)
	for _, legal := range []int{legalBytes, 30_000} { // decoded alone, the smaller ones fit
		t.Run(fmt.Sprint(legal), func(t *testing.T) {
			meetAll(t, valuesCrowds(bodyTarget{"PUT /config HTTP/1.1\r\nHost: h.example\r\n", legal}), m.control, m.operators, operatorRequests(m))
		})
	}
}

// TestConflictingConfigurationsStayInMemory guards against sound configurations with the version in force and other content, which the
// control nodes decide on together.
func TestConflictingConfigurationsStayInMemory(t *testing.T) {
	const size = 1_000_000
	m := startManaged(t)
	var next atomic.Int64
	conflicting := crowd{name: "conflicting", size: bodyCrowdSize, send: func(conn net.Conn) {
		random := make([]byte, size/2)
		_, _ = rand.NewChaCha8([32]byte{byte(next.Add(1))}).Read(random)
		document := strings.Replace(managedDocument, `"Version":1`, fmt.Sprintf(`"Version":1,"Note":"%x"`, random), 1)
		awaitAnswer(bodyTarget{head: "PUT /config HTTP/1.1\r\nHost: h.example\r\n"}.announced(len(document)) + document)(conn)
	}}
	conflicting.meet(t, m.control, m.operators, operatorRequests(m))
}

// TestAnnouncementBodiesStayInMemory guards against bodies of announcements that take all memory of a control node.
func TestAnnouncementBodiesStayInMemory(t *testing.T) {
	m := startManaged(t)
	meetAll(t, bodyCrowds(bodyTarget{"PUT /instances/i1 HTTP/1.1\r\nHost: h.example\r\n", 250_000}), m.control, m.operators, operatorRequests(m))
}

// TestCallerBodiesStayInMemory guards against bodies of callers that take all memory of an entry node.
func TestCallerBodiesStayInMemory(t *testing.T) {
	m := startManaged(t)
	ordinary := request(http.MethodPost, m.callers, "/plain/1", strings.Repeat("x", legalBytes))
	meetAll(t, bodyCrowds(bodyTarget{"POST /plain/1 HTTP/1.1\r\nHost: h.example\r\n", legalBytes}), m.entry, m.callers, ordinary)
}

// TestMetricsBodiesStayInMemory guards against bodies at addresses that read none.
func TestMetricsBodiesStayInMemory(t *testing.T) {
	m := startManaged(t)
	meetAll(t, bodyCrowds(bodyTarget{"POST /metrics HTTP/1.1\r\nHost: h.example\r\n", legalBytes}), m.control, m.cMetrics, get(m.cMetrics, "/metrics"))
}

// startSmallCluster starts a fixed group whose nodes have little memory.
func startSmallCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, clusterVoters, func(_, _ int, addr string) string { return addr })
	for _, n := range c.nodes {
		file, err := os.OpenFile(n.configFile, os.O_APPEND|os.O_WRONLY, 0)
		is.New(t).NoErr(err)
		_, err = fmt.Fprintf(file, "memoryMB: %d\ndescriptors: %d\n", crowdMemoryMB, crowdDescriptors)
		is.New(t).NoErr(errors.Join(err, file.Close()))
		n.start(t, "--init")
	}
	for _, n := range c.nodes {
		c.waitReady(t, n)
	}
	return c
}

// awaitAnswer returns a caller that writes text and waits for the first byte of an answer.
func awaitAnswer(text string) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, text); err == nil {
			_, _ = conn.Read(make([]byte, 1)) // the node may close the connection
		}
	}
}

// contractHead is a contract without models.
var contractHead = contractText("5s")[:strings.Index(contractText("5s"), "models:")]

const nodeOperatorHead = " HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/json\r\nAuthorization: Bearer " + operatorToken + "\r\n"

// TestContractBodiesStayInMemory guards against bodies of contracts that take all memory of a node of a fixed group.
func TestContractBodiesStayInMemory(t *testing.T) {
	n := startSmallCluster(t).nodes[0]
	target := bodyTarget{"PUT /v1/contracts/studio?change=c1&base=7" + nodeOperatorHead, legalBytes}
	meetAll(t, bodyCrowds(target), n.process, n.operatorAddr, get(n.operatorAddr, "/healthz"))
}

// TestContractValuesStayInMemory guards against small texts of contracts that take all memory of a node of a fixed group.
func TestContractValuesStayInMemory(t *testing.T) {
	n := startSmallCluster(t).nodes[0]
	target := bodyTarget{"PUT /v1/contracts/studio?change=c1&base=7" + nodeOperatorHead, 0}
	var crowds []crowd
	for name, text := range map[string]string{
		"open lists":     strings.Repeat("[", 30_000),
		"empty mappings": contractHead + "models: [" + strings.Repeat("{},", 10_000) + "{}]\n",
		"other types":    "models: [" + strings.Repeat("[],", 10_000) + "[]]\n",
	} {
		crowds = append(crowds, crowd{name: name, size: bodyCrowdSize, send: awaitAnswer(target.announced(len(text)) + text)})
	}
	meetAll(t, crowds, n.process, n.operatorAddr, get(n.operatorAddr, "/healthz"))
}

// TestCommandBodiesStayInMemory guards against bodies of operators' commands that take all memory of a node of a fixed group.
func TestCommandBodiesStayInMemory(t *testing.T) {
	n := startSmallCluster(t).nodes[0]
	target := bodyTarget{"POST /v1/members" + nodeOperatorHead, legalBytes}
	meetAll(t, bodyCrowds(target), n.process, n.operatorAddr, get(n.operatorAddr, "/healthz"))
}

// TestGatewayBodiesStayInMemory guards against bodies of callers that take all memory of a node of a fixed group.
func TestGatewayBodiesStayInMemory(t *testing.T) {
	c := startSmallCluster(t)
	n := c.nodes[0]
	c.applyContract(t, n, contractText("5s"), 0)
	target := bodyTarget{"POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/json\r\nAuthorization: Bearer " + callerKey + "\r\n", 2 * legalBytes}
	meetAll(t, bodyCrowds(target), n.process, n.callerAddr, get(n.callerAddr, "/readyz"))
}

// TestNodeAnnouncementBodiesStayInMemory guards against bodies of announcements that take all memory of a node of a fixed group.
func TestNodeAnnouncementBodiesStayInMemory(t *testing.T) {
	n := startSmallCluster(t).nodes[0]
	target := bodyTarget{"POST /v1/announce HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/json\r\n", 1_000_000}
	meetAll(t, bodyCrowds(target), n.process, n.upstreamAddr, get(n.callerAddr, "/readyz"))
}

// machineMemoryMB is the memory of a machine of a control node, in MiB.
const machineMemoryMB = 280

// largeDocument returns a valid configuration just below the limit.
func largeDocument(version int) string {
	var routes strings.Builder
	for i := 0; routes.Len() < 3_900_000; i++ {
		fmt.Fprintf(&routes, `{"Name":"r%d","Host":"h.example","PathPrefix":"/large/%d/","Kind":"idempotent","TimeoutMs":30000,"LatencyTargetMs":300,"Priority":1,`+
			`"Service":"app","MaxAttempts":2,"Sticky":true,"Resumable":false,"GapTargetMs":300},`, i, i)
	}
	document := strings.Replace(managedDocument, `"Routes":[`, `"Routes":[`+routes.String(), 1)
	return strings.Replace(document, `"Version":1`, fmt.Sprintf(`"Version":%d`, version), 1)
}

// checkMachineMemory fails the test if a process has taken more memory than its machine has.
func checkMachineMemory(t *testing.T, processes ...*process) {
	t.Helper()
	for _, p := range processes {
		memory := peakMemoryMB(t, p)
		t.Logf("%d MiB at most", memory)
		if memory > machineMemoryMB {
			t.Errorf("%d MiB were resident, at most %d may be", memory, machineMemoryMB)
		}
	}
}

// TestLargeConfigurationIsAccepted sends a configuration just below the limit to a control node of the size of a real one.
func TestLargeConfigurationIsAccepted(t *testing.T) {
	is := is.New(t)
	m := startManagedOf(t, machineMemoryMB)
	document := largeDocument(2)
	is.NoErr(request(http.MethodPut, m.operators, "/config", document)())
	is.NoErr(get(m.operators, "/config")())
	is.Equal(managed.Send("PUT", "http://"+m.operators+"/config", document), 200) // sent again
	checkMachineMemory(t, m.control)
}

// TestLargeConfigurationsInParallel sends as many configurations at once as operators do.
func TestLargeConfigurationsInParallel(t *testing.T) {
	const orders = 8
	m := startManagedOf(t, machineMemoryMB)
	var sending sync.WaitGroup
	for i := range orders {
		sending.Go(func() {
			document := largeDocument(2 + i)
			eventually(t, "acknowledgement", func() bool { return request(http.MethodPut, m.operators, "/config", document)() == nil })
		})
	}
	sending.Wait()
	is.New(t).NoErr(get(m.callers, "/plain/1")())
	checkMachineMemory(t, m.control, m.entry)
}

// TestLargeConfigurationBesideCrowd sends a configuration, again where it is refused, while a crowd keeps incomplete ones open.
func TestLargeConfigurationBesideCrowd(t *testing.T) {
	m := startManagedOf(t, machineMemoryMB)
	target := bodyTarget{"PUT /config HTTP/1.1\r\nHost: h.example\r\n", legalBytes}
	document := largeDocument(2)
	for _, c := range bodyCrowds(target) {
		c.memoryMB = machineMemoryMB
		t.Run(c.name, func(t *testing.T) {
			c.meet(t, m.control, m.operators, func() error {
				eventually(t, "acknowledgement", func() bool { return request(http.MethodPut, m.operators, "/config", document)() == nil })
				return nil
			})
		})
	}
}

// unreadBytes returns what the system has received on the connections to the port of an address and no process has read.
func unreadBytes(t *testing.T, addr string) (bytes int64) {
	_, port, err := net.SplitHostPort(addr)
	is.New(t).NoErr(err)
	number, err := strconv.Atoi(port)
	is.New(t).NoErr(err)
	table, err := os.ReadFile("/proc/net/tcp")
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", number)) {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		is.New(t).NoErr(err)
		bytes += n
	}
	return bytes
}

// TestUnreadBodiesStayInMemory guards against bodies that a process does not read, and that the system keeps for it. They count toward the
// memory of its machine.
func TestUnreadBodiesStayInMemory(t *testing.T) {
	const interval = 5 * time.Millisecond
	m := startManagedOf(t, machineMemoryMB)
	for _, target := range []struct {
		name, addr, head string
		process          *process
		ordinary         func() error
	}{
		{"callers", m.callers, "POST /plain/1 HTTP/1.1\r\nHost: h.example\r\n", m.entry, get(m.callers, "/plain/1")},
		{"operators", m.operators, "PUT /config HTTP/1.1\r\nHost: h.example\r\n", m.control, operatorRequests(m)},
	} {
		for _, c := range bodyCrowds(bodyTarget{target.head, legalBytes}) {
			t.Run(target.name+"/"+c.name, func(t *testing.T) {
				c.memoryMB = machineMemoryMB
				done := make(chan struct{})
				var most int64
				var counting sync.WaitGroup
				counting.Go(func() {
					for {
						most = max(most, unreadBytes(t, target.addr))
						select {
						case <-done:
							return
						case <-time.After(interval):
						}
					}
				})
				c.meet(t, target.process, target.addr, target.ordinary)
				close(done)
				counting.Wait()
				unread, resident := int(most>>20), peakMemoryMB(t, target.process)
				t.Logf("%d MiB unread", unread)
				if unread+resident > machineMemoryMB {
					t.Errorf("%d MiB were resident and %d unread, at most %d may be", resident, unread, machineMemoryMB)
				}
			})
		}
	}
}
