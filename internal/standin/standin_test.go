package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

func TestSessionFindsBrokenFlow(t *testing.T) {
	one, two := startEcho(t, "one"), startEcho(t, "two")
	tests := []struct {
		name    string
		targets []netip.AddrPort
		servers int
		whole   bool
	}{
		{"one server", []netip.AddrPort{one.Addr()}, 1, true},
		{"packets spread over two servers", []netip.AddrPort{one.Addr(), two.Addr()}, 2, false},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			id := uint64(i + 1)
			s, err := StartSession(SessionOptions{ID: id, Targets: tt.targets})
			is.NoErr(err)
			defer s.Close()
			for range 10 {
				is.NoErr(s.Exchange(t.Context()))
			}
			r := s.Report()
			is.Equal(r.Whole(), tt.whole)
			is.Equal(len(r.Servers), tt.servers)
			is.Equal(r.Answered, uint64(10))
			is.Equal(one.Messages(id)+two.Messages(id), uint64(10))
		})
	}
}

func TestSessionCountsFaults(t *testing.T) {
	is := is.New(t)
	s := &Session{id: 7, answers: make([]uint64, 3)}
	for _, m := range []message{{7, 0, "a"}, {7, 0, "a"}, {8, 1, "a"}, {7, 9, "a"}, {7, 2, "b"}} {
		s.record(m.append(nil))
	}
	s.record([]byte("short"))
	is.Equal(s.Report(), SessionReport{
		Sent: 3, Answered: 2, Missing: []uint64{1}, Duplicates: 1, Foreign: 3, Servers: []string{"a", "b"},
	})
}

func TestReceiveEndsWithContext(t *testing.T) {
	is := is.New(t)
	s, err := StartSession(SessionOptions{Targets: []netip.AddrPort{startEcho(t, "silent").Addr()}})
	is.NoErr(err)
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(s.Receive(ctx), context.Canceled))
}

func TestAddressOutsideLoopbackIsRefused(t *testing.T) {
	is := is.New(t)
	outside := netip.MustParseAddrPort("192.0.2.1:9")
	_, err := StartEcho(EchoOptions{Listen: outside})
	is.True(errorx.IsOfType(err, ErrAddress))
	_, err = StartSpray(SprayOptions{Targets: []netip.AddrPort{outside}})
	is.True(errorx.IsOfType(err, ErrAddress))
	_, err = StartSpray(SprayOptions{})
	is.True(errorx.IsOfType(err, ErrAddress))
}

func TestDownloadChecksDigest(t *testing.T) {
	is := is.New(t)
	c, err := StartCatalogue(CatalogueOptions{Name: "sheets"})
	is.NoErr(err)
	defer c.Close()
	conn, err := StartSpray(SprayOptions{Targets: []netip.AddrPort{c.Addr()}})
	is.NoErr(err)
	p := NewDownloader(DownloaderOptions{Conn: conn, Trust: c.Trust()})
	defer p.Close()
	var seen int64
	sheet, err := p.Download(t.Context(), 3<<20, func(n int64) { seen = n })
	is.NoErr(err)
	is.Equal(sheet.Server, "sheets")
	is.Equal(seen, int64(3<<20))
	is.Equal(sheet.Digest, sheetDigest(3<<20))
	_, err = p.Download(t.Context(), -1, nil)
	is.True(errorx.IsOfType(err, ErrTransfer))
}

func TestSheetCheck(t *testing.T) {
	s := Sheet{Bytes: 5, Digest: "x"}
	tests := []struct {
		name   string
		bytes  int64
		digest string
		err    error
		ok     bool
	}{
		{"whole", 5, "x", nil, true},
		{"cut", 5, "x", io.ErrUnexpectedEOF, false},
		{"short", 6, "x", nil, false},
		{"altered", 5, "y", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(s.check(tt.bytes, tt.digest, tt.err) == nil, tt.ok)
		})
	}
}

func TestOrderDeskModes(t *testing.T) {
	tests := []struct {
		mode   Mode
		status int // 0: no whole answer
		runs   int
		shed   int
	}{
		{ModeServe, http.StatusOK, 1, 0},
		{ModeShed, http.StatusServiceUnavailable, 0, 1},
		{ModeCut, 0, 1, 0},
	}
	for _, tt := range tests {
		is := is.New(t)
		d := startOrderDesk(t)
		d.SetMode(tt.mode)
		status, _, err := amend(t.Context(), d, "k")
		if tt.status == 0 {
			is.True(err != nil)
		} else {
			is.NoErr(err)
			is.Equal(status, tt.status)
		}
		is.Equal(d.Runs("k"), tt.runs)
		is.Equal(d.Shed(), tt.shed)
	}
}

func TestStalledAmendmentGoesOn(t *testing.T) {
	for _, mode := range []Mode{ModeStallBefore, ModeStallAfter} {
		is := is.New(t)
		d := startOrderDesk(t)
		d.SetMode(mode)
		result := make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			_, _, err := amend(ctx, d, "left")
			result <- err
		}()
		cancel()
		is.True(errors.Is(<-result, context.Canceled))
		d.SetMode(ModeServe)
		_, a, err := amend(t.Context(), d, "k")
		is.NoErr(err)
		is.Equal(a.Run, 1)
	}
}

func TestOrderDeskRestartKeepsAddressAndCounts(t *testing.T) {
	is := is.New(t)
	d := startOrderDesk(t)
	addr := d.Addr()
	_, _, err := amend(t.Context(), d, "k")
	is.NoErr(err)
	is.NoErr(d.Restart())
	is.Equal(d.Addr(), addr)
	_, a, err := amend(t.Context(), d, "k")
	is.NoErr(err)
	is.Equal(a, OrderAnswer{Server: "desk", Key: "k", Run: 2, Body: "blades 40"})
}

func startEcho(t *testing.T, name string) *Echo {
	t.Helper()
	e, err := StartEcho(EchoOptions{Name: name})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func startOrderDesk(t *testing.T) *OrderDesk {
	t.Helper()
	d, err := StartOrderDesk(OrderDeskOptions{Name: "desk"})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = d.Close() })
	return d
}

func amend(ctx context.Context, d *OrderDesk, key string) (int, OrderAnswer, error) {
	url := "http://" + d.Addr().String() + "/amendments"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("blades 40"))
	if err != nil {
		return 0, OrderAnswer{}, err
	}
	r.Header.Set(KeyHeader, key)
	r.Close = true
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, OrderAnswer{}, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return answer.StatusCode, OrderAnswer{}, nil
	}
	var a OrderAnswer
	return answer.StatusCode, a, json.NewDecoder(answer.Body).Decode(&a)
}
