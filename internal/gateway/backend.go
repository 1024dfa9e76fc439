package gateway

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	dialLimit  = time.Second
	probeLimit = time.Second
)

// backend speaks HTTP/1.1 to the backend server. Each request has a connection of its
// own: nothing in an answer tells which request it belongs to, so on a connection that
// is used again a late second copy of an answer would pass for the next one. A
// connection that the server closes just as a request goes out leaves it open whether
// the request ran.
type backend struct {
	addr      netip.AddrPort
	transport *http.Transport
}

func newBackend(addr netip.AddrPort) *backend {
	return &backend{addr: addr, transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialLimit}).DialContext,
		DisableCompression: true,
		DisableKeepAlives:  true,
	}}
}

func (b *backend) close() { b.transport.CloseIdleConnections() }

// reachable reports whether the backend server takes connections.
func (b *backend) reachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", b.addr.String())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// onceBody hides its content from the HTTP client, which then can't replay it.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// do sends one request. Sent is false if no byte of it can have reached the
// backend server.
func (b *backend) do(ctx context.Context, open requestOpen, body []byte) (resp *http.Response, sent bool, err error) {
	u, err := url.ParseRequestURI(open.URI)
	if err != nil {
		return nil, false, BadRequest.Wrap(err, "request target %q", open.URI)
	}
	u.Scheme, u.Host = "http", b.addr.String()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, open.Method, u.String(), nil)
	if err != nil {
		return nil, false, BadRequest.Wrap(err, "method %q", open.Method)
	}
	req.Host = open.Host
	req.Header = open.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	setDeadline(ctx, req.Header)
	if len(body) > 0 || !open.Repeatable {
		req.Body = onceBody{bytes.NewReader(body)}
		req.ContentLength = int64(len(body))
	}
	if open.Offset > 0 {
		req.Header.Set("Range", "bytes="+strconv.FormatInt(open.Offset, 10)+"-")
		req.Header.Set("If-Range", open.Validator)
	}
	resp, err = b.transport.RoundTrip(req)
	if err != nil {
		return nil, connected.Load(), Backend.Wrap(err, "%s %s", open.Method, open.URI)
	}
	return resp, true, nil
}

// setDeadline tells the backend server how long the caller waits, in whole
// seconds (RFC 7240, section 4.3).
func setDeadline(ctx context.Context, h http.Header) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	seconds := int64(math.Ceil(time.Until(deadline).Seconds()))
	h.Set("Prefer", "wait="+strconv.FormatInt(max(1, seconds), 10))
}

// hopByHop are the header fields that end at each hop (RFC 9110, section
// 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without the fields that end at each hop.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
