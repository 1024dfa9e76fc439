package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// KeyHeader names an amendment; a resend carries the same value.
const KeyHeader = "Idempotency-Key"

// Limits and hints of an OrderDesk.
const (
	maxAmendment      = 1 << 20 // bytes
	headerTimeout     = 5 * time.Second
	retryAfterSeconds = "1"
)

// Mode is how an OrderDesk answers amendments.
type Mode uint8

// The modes of an OrderDesk.
const (
	ModeServe       Mode = iota // run and answer
	ModeShed                    // answer 503 without running
	ModeStallBefore             // hold the request, then run; never run if the caller leaves first
	ModeStallAfter              // run, then hold the answer
	ModeCut                     // run, then break the connection within the answer
)

// OrderDeskOptions configures an OrderDesk.
type OrderDeskOptions struct {
	// Name is sent in every answer.
	Name string
	// Listen is a loopback address; the zero value takes a free port.
	Listen netip.AddrPort
}

// OrderAnswer is the JSON body of an answer.
type OrderAnswer struct {
	// Server is the name of the stand-in.
	Server string `json:"server"`
	// Key is the amendment's idempotency key.
	Key string `json:"key,omitempty"`
	// Run is how often an amendment with this key has run here.
	Run int `json:"run,omitempty"`
	// Body is what the caller sent.
	Body string `json:"body,omitempty"`
}

// OrderDesk is an HTTP/1.1 backend server. GET answers its name. POST
// /amendments runs an amendment every time it is asked: it counts the runs per
// key and never drops a duplicate, so that a test can find one.
type OrderDesk struct {
	name string

	mu     sync.Mutex
	mode   Mode
	resume chan struct{} // closed when stalled requests may go on
	runs   map[string]int
	shed   int
	addr   netip.AddrPort
	server *http.Server
	done   chan struct{}
}

// StartOrderDesk starts an OrderDesk in ModeServe.
func StartOrderDesk(opts OrderDeskOptions) (*OrderDesk, error) {
	addr, err := loopback(opts.Listen)
	if err != nil {
		return nil, err
	}
	d := &OrderDesk{name: opts.Name, addr: addr, runs: map[string]int{}, resume: make(chan struct{})}
	if err := d.listen(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *OrderDesk) listen() error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(d.addr))
	if err != nil {
		return ErrListen.Wrap(err, "order desk %q on %v", d.name, d.addr)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", d.get)
	mux.HandleFunc("POST /amendments", d.amend)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	done := make(chan struct{})
	d.addr = listener.Addr().(*net.TCPAddr).AddrPort()
	d.server, d.done = server, done
	go func() {
		defer close(done)
		_ = server.Serve(listener) // Ends with an error on Close.
	}()
	return nil
}

// SetMode changes how amendments are answered; stalled ones go on.
func (d *OrderDesk) SetMode(m Mode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
	close(d.resume)
	d.resume = make(chan struct{})
}

// Restart drops every connection and listens again on the same address in
// ModeServe. The counts stay.
func (d *OrderDesk) Restart() error {
	if err := d.Close(); err != nil {
		return err
	}
	d.SetMode(ModeServe)
	return d.listen()
}

func (d *OrderDesk) get(w http.ResponseWriter, _ *http.Request) {
	d.answer(w, OrderAnswer{Server: d.name})
}

func (d *OrderDesk) amend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAmendment))
	if err != nil {
		http.Error(w, "amendment not read: "+err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get(KeyHeader)
	mode, resume := d.state()
	switch mode {
	case ModeShed:
		d.countShed()
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "order desk is busy", http.StatusServiceUnavailable)
		return
	case ModeStallBefore:
		if !wait(r, resume) {
			return
		}
	}
	a := OrderAnswer{Server: d.name, Key: key, Run: d.run(key), Body: string(body)}
	switch mode {
	case ModeStallAfter:
		wait(r, resume)
	case ModeCut:
		d.cut(w)
		return
	}
	d.answer(w, a)
}

// wait returns true when stalled requests may go on and false when the caller
// has left first.
func wait(r *http.Request, resume <-chan struct{}) bool {
	select {
	case <-resume:
		return true
	case <-r.Context().Done():
		return false
	}
}

// cut promises more than it sends, then breaks the connection.
func (d *OrderDesk) cut(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, `{"server":`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (d *OrderDesk) answer(w http.ResponseWriter, a OrderAnswer) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(ServerHeader, d.name)
	_ = json.NewEncoder(w).Encode(a) // A lost answer shows at the caller.
}

func (d *OrderDesk) state() (Mode, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode, d.resume
}

func (d *OrderDesk) run(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[key]++
	return d.runs[key]
}

func (d *OrderDesk) countShed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shed++
}

// Runs returns how often the amendment with a key ran.
func (d *OrderDesk) Runs(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[key]
}

// Shed returns the number of amendments refused in ModeShed.
func (d *OrderDesk) Shed() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shed
}

// Name returns the name sent in answers.
func (d *OrderDesk) Name() string { return d.name }

// Addr returns the address listened on.
func (d *OrderDesk) Addr() netip.AddrPort { return d.addr }

// Close drops every connection and waits for the accept loop.
func (d *OrderDesk) Close() error {
	err := d.server.Close()
	<-d.done
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
