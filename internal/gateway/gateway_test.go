package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/attempt"
)

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

func cut(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "3")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestAnswersAndRefusals sends one keyed amendment and one pull against two
// backend servers with the same behaviour.
func TestAnswersAndRefusals(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		// The amendment's answer, its outcome if refused, and its runs.
		status  int
		outcome string
		runs    int
		// The pull's answer; 0 is a refusal or a connection that broke off.
		pull int
	}{
		{"answers", echo, 200, "", 1, 200},
		{"sheds", shed, 503, "not-run", 2, 503},
		{"cuts answers", cut, 502, "unknown", 1, 0},
		{"refuses on its own", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }, 409, "", 1, 409},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, b := newBackendServer(t, tt.handler), newBackendServer(t, tt.handler)
			f := newFixture(t, testPolicy(), a.addr(), b.addr())
			key := newKey()
			r := f.do(0, http.MethodPost, "/amendments", key, "blades: 40")
			is.NoErr(r.err)
			is.Equal(r.status, tt.status)
			is.Equal(r.outcome, tt.outcome)
			is.Equal(runs(key, a, b), tt.runs)
			is.Equal(r.header.Get("Retry-After") != "", tt.status == 503)
			pull := f.do(1, http.MethodGet, "/sheet", "", "")
			if tt.pull == 0 {
				is.True(pull.err != nil || pull.outcome == "unknown")
				return
			}
			is.NoErr(pull.err)
			is.Equal(pull.status, tt.pull)
		})
	}
}

func TestResendGetsFirstAnswer(t *testing.T) {
	is := is.New(t)
	a, b := newBackendServer(t, echo), newBackendServer(t, echo)
	f := newFixture(t, testPolicy(), a.addr(), b.addr())
	key := newKey()
	first := f.do(0, http.MethodPost, "/amendments", key, "blades: 40")
	is.Equal(first.body, "POST /amendments blades: 40")
	is.Equal(f.do(1, http.MethodPost, "/amendments", `"`+key+`"`, "blades: 40").body, first.body)
	other := f.do(1, http.MethodPost, "/amendments", key, "blades: 41")
	is.Equal(other.status, http.StatusUnprocessableEntity)
	is.Equal(other.outcome, "not-run")
	is.Equal(runs(key, a, b), 1)
	old := f.do(0, http.MethodPost, "/amendments", "a-1", "")
	is.Equal(old.status, http.StatusBadRequest)
	is.Equal(old.outcome, "not-run")
}

// TestConcurrentResendsRunOnce sends one key at both gateways while it runs.
func TestConcurrentResendsRunOnce(t *testing.T) {
	is := is.New(t)
	started, finish := make(chan struct{}, 4), make(chan struct{})
	slow := func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-finish
		echo(w, r)
	}
	a, b := newBackendServer(t, slow), newBackendServer(t, slow)
	f := newFixture(t, testPolicy(), a.addr(), b.addr())
	key := newKey()
	replies := make([]reply, 3)
	var sends sync.WaitGroup
	for i := range replies {
		sends.Go(func() { replies[i] = f.do(i%2, http.MethodPost, "/amendments", key, "x") })
		if i == 0 {
			<-started
		}
	}
	close(finish)
	sends.Wait()
	for _, r := range replies {
		is.Equal(r.body, "POST /amendments x")
	}
	is.Equal(runs(key, a, b), 1)
}

func TestAgentRestartMidwayIsUnknown(t *testing.T) {
	is := is.New(t)
	started, finish := make(chan int, 4), make(chan struct{})
	block := func(i int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			started <- i
			<-finish
			echo(w, r)
		}
	}
	a, b := newBackendServer(t, block(0)), newBackendServer(t, block(1))
	defer close(finish)
	f := newFixture(t, testPolicy(), a.addr(), b.addr())
	key := newKey()
	got := make(chan reply, 1)
	go func() { got <- f.do(0, http.MethodPost, "/amendments", key, "x") }()
	f.agents[<-started].restart()
	r := <-got
	is.Equal(r.outcome, "unknown")
	r = f.do(1, http.MethodPost, "/amendments", key, "x")
	is.Equal(r.outcome, "unknown") // never a second run
	is.Equal(runs(key, a, b), 1)
}

func TestDeadBackendServerIsAvoided(t *testing.T) {
	is := is.New(t)
	a, b := newBackendServer(t, echo), newBackendServer(t, echo)
	f := newFixture(t, testPolicy(), a.addr(), b.addr())
	a.Close()
	for range 8 {
		key := newKey()
		is.Equal(f.do(0, http.MethodPost, "/amendments", key, "x").status, 200)
		is.Equal(runs(key, a, b), 1)
	}
	b.Close()
	r := f.do(0, http.MethodPost, "/amendments", newKey(), "x")
	is.Equal(r.outcome, "not-run")
}

// sheet is a large body with a digest.
var sheet = func() []byte {
	b := make([]byte, 8<<20)
	for i := range b {
		b[i] = byte(i >> 8)
	}
	return b
}()

func serveSheet(w http.ResponseWriter, offset, n int) {
	w.Header().Set("ETag", `"v1"`)
	w.Header().Set("Content-Length", strconv.Itoa(len(sheet)-offset))
	if offset > 0 {
		w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", offset, len(sheet)-1, len(sheet)))
		w.WriteHeader(http.StatusPartialContent)
	}
	_, _ = w.Write(sheet[offset : offset+n])
	_ = http.NewResponseController(w).Flush()
}

// TestLargeBodyIsResumed breaks or stalls the first answer midway; the rest
// comes from another backend server.
func TestLargeBodyIsResumed(t *testing.T) {
	for _, stalls := range []bool{false, true} {
		t.Run(fmt.Sprint("stalls ", stalls), func(t *testing.T) {
			is := is.New(t)
			var first atomic.Bool
			var offset atomic.Int64
			handler := func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					serveSheet(w, 0, len(sheet)/2)
					if stalls {
						<-r.Context().Done() // cancellation reaches the backend server
					}
					panic(http.ErrAbortHandler)
				}
				from := 0
				_, _ = fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-", &from)
				offset.Store(int64(from))
				serveSheet(w, from, len(sheet)-from)
			}
			a, b := newBackendServer(t, handler), newBackendServer(t, handler)
			f := newFixture(t, testPolicy(), a.addr(), b.addr())
			r := f.do(0, http.MethodGet, "/sheet", "", "")
			is.NoErr(r.err)
			is.Equal(sha256.Sum256([]byte(r.body)), sha256.Sum256(sheet))
			is.True(offset.Load() > 0)
		})
	}
}

// TestFloodOfOneClassLeavesTheOther holds every slot and queue of the
// background class; an urgent request still gets the next slot.
func TestFloodOfOneClassLeavesTheOther(t *testing.T) {
	is := is.New(t)
	started, finish := make(chan struct{}, 500), make(chan struct{})
	a := newBackendServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Priority") == "u=7" {
			started <- struct{}{}
			<-finish
		}
		echo(w, r)
	})
	f := newFixture(t, testPolicy(), a.addr())
	var flood sync.WaitGroup
	var refused atomic.Int64
	for range 300 {
		flood.Go(func() {
			r := f.do(0, http.MethodPost, "/bulk", "", "x", "Priority", "u=7")
			if r.status == http.StatusServiceUnavailable && r.outcome == "not-run" && r.header.Get("Retry-After") != "" {
				refused.Add(1)
			}
		})
	}
	for range 4 {
		<-started
	}
	urgent := make(chan reply, 1)
	go func() { urgent <- f.do(0, http.MethodPost, "/amendments", newKey(), "x", "Priority", "u=0") }()
	for refused.Load() == 0 { // the flood beyond its queues is refused
		time.Sleep(time.Millisecond)
	}
	close(finish)
	is.Equal((<-urgent).status, 200)
	flood.Wait()
}

// TestRequestOfAnotherServiceIsFenced sends an agent what is meant for another
// service: it refuses with proof, and settles so.
func TestRequestOfAnotherServiceIsFenced(t *testing.T) {
	is := is.New(t)
	a := newBackendServer(t, echo)
	f := newFixture(t, testPolicy(), a.addr())
	agent, pool := f.agents[0], f.gateways[0].o.Pool
	id := attempt.ID{Gateway: "g", Run: 1, Sequence: 1}
	open := requestOpen{
		ID: id, Service: testService + 1, Incarnation: agent.target.Incarnation, Timeout: time.Minute,
		Method: http.MethodPost, URI: "/amendments", Host: "desk",
	}
	s, err := pool.Open(context.Background(), agent.server.Addr(), KindRequest)
	is.NoErr(err)
	is.NoErr(s.Send(open))
	is.NoErr(s.Close())
	var head answerHead
	is.NoErr(s.Recv(&head))
	is.True(head.Refused)
	is.Equal(head.State, attempt.StateFenced)
	in := settleRequest{ID: id, Incarnation: agent.target.Incarnation}
	reply, err := call[settleReply](context.Background(), pool, agent.server.Addr(), KindSettle, in, time.Minute)
	is.NoErr(err)
	is.Equal(reply.State, attempt.StateFenced)
	is.Equal(runs("", a), 0)
}

func TestDeadlineFreesTheSlot(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{}, 1)
	a := newBackendServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server watches the connection from here on
		<-r.Context().Done()
		gone <- struct{}{}
	})
	f := newFixture(t, testPolicy(), a.addr())
	r := f.do(0, http.MethodPost, "/amendments", newKey(), "x", "Prefer", "wait=1")
	is.Equal(r.status, http.StatusGatewayTimeout)
	is.Equal(r.outcome, "unknown")
	<-gone
	a.set(echo)
	is.Equal(f.do(0, http.MethodPost, "/amendments", newKey(), "x").status, 200)
}

func TestHeaderFields(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]uint8{"": 3, "u=0": 0, "i, u=7;x": 7, "u=9": 3, "u=x": 3} {
		is.Equal(urgency(http.Header{"Priority": {value}}), want)
	}
	for value, want := range map[string]time.Duration{"": 10 * time.Second, "a, wait=2": 2 * time.Second, "wait=99": 10 * time.Second} {
		is.Equal(wait(http.Header{"Prefer": {value}}, 10*time.Second), want)
	}
}
