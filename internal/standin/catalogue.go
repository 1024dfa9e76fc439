package standin

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Headers of a catalogue answer.
const (
	// DigestHeader carries the SHA-256 of the body, as in RFC 9530.
	DigestHeader = "Content-Digest"
	// ServerHeader carries the name of the stand-in that answered.
	ServerHeader = "Standin-Server"
)

// catalogueIdle closes connections without any packet.
const catalogueIdle = 30 * time.Second

// CatalogueOptions configures a Catalogue.
type CatalogueOptions struct {
	// Name is sent in ServerHeader.
	Name string
	// Listen is a loopback address; the zero value takes a free port.
	Listen netip.AddrPort
}

// Catalogue is an HTTP/3 backend server. GET /sheet?bytes=N answers N
// deterministic bytes with their digest.
type Catalogue struct {
	name   string
	conn   *net.UDPConn
	server *http3.Server
	trust  *x509.CertPool
	served atomic.Uint64
	done   chan struct{}

	mu      sync.Mutex
	digests map[int64]string
}

// StartCatalogue starts a Catalogue with a certificate of its own.
func StartCatalogue(opts CatalogueOptions) (*Catalogue, error) {
	addr, err := loopback(opts.Listen)
	if err != nil {
		return nil, err
	}
	certificate, pool, err := selfSigned(opts.Name)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, ErrListen.Wrap(err, "catalogue %q on %v", opts.Name, addr)
	}
	c := &Catalogue{
		name:    opts.Name,
		conn:    conn,
		trust:   pool,
		done:    make(chan struct{}),
		digests: map[int64]string{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /sheet", c.sheet)
	c.server = &http3.Server{
		Handler:    mux,
		TLSConfig:  http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}}),
		QUICConfig: &quic.Config{MaxIdleTimeout: catalogueIdle},
	}
	go c.serve()
	return c, nil
}

func (c *Catalogue) serve() {
	defer close(c.done)
	_ = c.server.Serve(c.conn) // Ends with an error on Close.
}

func (c *Catalogue) sheet(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 || size > maxSheet {
		http.Error(w, "bytes must be a number from 0 to "+strconv.Itoa(maxSheet), http.StatusBadRequest)
		return
	}
	w.Header().Set(DigestHeader, c.digest(size))
	w.Header().Set(ServerHeader, c.name)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	if _, err := io.Copy(w, sheetReader(size)); err == nil {
		c.served.Add(1)
	}
}

func (c *Catalogue) digest(size int64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, ok := c.digests[size]; ok {
		return d
	}
	d := sheetDigest(size)
	c.digests[size] = d
	return d
}

// Name returns the name sent in ServerHeader.
func (c *Catalogue) Name() string { return c.name }

// Addr returns the address listened on.
func (c *Catalogue) Addr() netip.AddrPort { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Trust returns the pool that trusts the server's certificate.
func (c *Catalogue) Trust() *x509.CertPool { return c.trust }

// Served returns the number of sheets sent whole.
func (c *Catalogue) Served() uint64 { return c.served.Load() }

// Close stops the server and waits for its goroutine.
func (c *Catalogue) Close() error {
	err := errors.Join(c.server.Close(), c.conn.Close())
	<-c.done
	return err
}
