package standin

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// DownloaderOptions configures a Downloader.
type DownloaderOptions struct {
	// Conn is the caller's socket, which the Downloader closes.
	Conn *Spray
	// Trust holds the certificates of the backend servers.
	Trust *x509.CertPool
	// Idle ends a connection without any packet; zero leaves quic-go's value.
	Idle time.Duration
}

// Sheet is one finished download.
type Sheet struct {
	// Server is the name of the backend server that answered.
	Server string
	// Bytes is the length of the body.
	Bytes int64
	// Digest is the Content-Digest of the body received.
	Digest string
}

// Downloader is an HTTP/3 caller: the client of quic-go, unmodified, on a sprayed
// socket. Its downloads share one connection.
type Downloader struct {
	conn      *Spray
	transport *quic.Transport
	client    *http3.Transport
}

// NewDownloader makes a Downloader. It connects with the first download.
func NewDownloader(opts DownloaderOptions) *Downloader {
	p := &Downloader{conn: opts.Conn, transport: &quic.Transport{Conn: opts.Conn}}
	p.client = &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: opts.Trust, ServerName: "localhost"},
		QUICConfig:      &quic.Config{MaxIdleTimeout: opts.Idle},
		Dial: func(ctx context.Context, _ string, t *tls.Config, c *quic.Config) (*quic.Conn, error) {
			return p.transport.DialEarly(ctx, opts.Conn.Service(), t, c)
		},
	}
	return p
}

// Download pulls a sheet of a given size and checks its length and digest.
// Where progress is not nil, it is called with the number of bytes received
// so far.
func (p *Downloader) Download(ctx context.Context, bytes int64, progress func(int64)) (Sheet, error) {
	url := fmt.Sprintf("https://%v/sheet?bytes=%d", p.conn.Service(), bytes)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Sheet{}, ErrTransfer.Wrap(err, "request %s", url)
	}
	answer, err := p.client.RoundTrip(request)
	if err != nil {
		return Sheet{}, ErrTransfer.Wrap(err, "request %s", url)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return Sheet{}, ErrTransfer.New("request %s: status %d", url, answer.StatusCode)
	}
	sum := sha256.New()
	n, err := io.Copy(sum, &meter{reader: answer.Body, report: progress})
	sheet := Sheet{Server: answer.Header.Get(ServerHeader), Bytes: n, Digest: formatDigest(sum.Sum(nil))}
	return sheet, sheet.check(bytes, answer.Header.Get(DigestHeader), err)
}

func (s Sheet) check(bytes int64, digest string, err error) error {
	switch {
	case err != nil:
		return ErrTransfer.Wrap(err, "sheet cut after %d of %d bytes", s.Bytes, bytes)
	case s.Bytes != bytes:
		return ErrTransfer.New("sheet has %d bytes, asked for %d", s.Bytes, bytes)
	case s.Digest != digest:
		return ErrTransfer.New("sheet digest is %s, header says %s", s.Digest, digest)
	}
	return nil
}

// Close ends the connection and closes the socket.
func (p *Downloader) Close() error {
	_ = p.client.Close()
	_ = p.transport.Close()
	return p.conn.Close()
}

// meter reports how many bytes were read through it.
type meter struct {
	reader io.Reader
	report func(int64)
	total  int64
}

func (m *meter) Read(b []byte) (int, error) {
	n, err := m.reader.Read(b)
	m.total += int64(n)
	if m.report != nil && n > 0 {
		m.report(m.total)
	}
	return n, err
}
