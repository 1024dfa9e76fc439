package udp

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

func TestWildcardSocketReportsAndChoosesAddresses(t *testing.T) {
	is := is.New(t)
	server, err := Listen(Options{Addr: netip.MustParseAddrPort("0.0.0.0:0")})
	is.NoErr(err)
	defer server.Close()
	client, err := Listen(Options{Addr: netip.MustParseAddrPort("127.0.0.1:0")})
	is.NoErr(err)
	defer client.Close()

	service := netip.AddrPortFrom(netip.MustParseAddr("127.0.3.7"), server.Addr().Port())
	is.NoErr(client.Write([]byte("ping"), service))
	buf := make([]byte, 16)
	n, from, to, err := server.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "ping")
	is.Equal(from, client.Addr())
	is.Equal(to, service)

	is.NoErr(server.WriteFrom([]byte("pong"), to.Addr(), from))
	n, from, _, err = client.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "pong")
	is.Equal(from, service)
}

func TestSprayHandsPacketsOfOneFlowToBothSockets(t *testing.T) {
	is := is.New(t)
	options := Options{Addr: netip.MustParseAddrPort("127.0.3.8:0"), Spray: 2}
	first, err := Listen(options)
	is.NoErr(err)
	defer first.Close()
	options.Addr = first.Addr()
	second, err := Listen(options)
	is.NoErr(err)
	defer second.Close()
	client, err := Listen(Options{Addr: netip.MustParseAddrPort("127.0.0.1:0")})
	is.NoErr(err)
	defer client.Close()

	seen := make(chan int)
	for i, c := range []*Conn{first, second} {
		go func() {
			buf := make([]byte, 16)
			for {
				if _, _, _, err := c.Read(buf); err != nil {
					return
				}
				seen <- i
			}
		}()
	}
	// One flow of 64 packets lands on one socket alone once in 2^63 runs.
	var count [2]int
	for range 64 {
		is.NoErr(client.Write([]byte("x"), first.Addr()))
		count[<-seen]++
	}
	is.True(count[0] > 0)
	is.True(count[1] > 0)
}

func BenchmarkReadWrite(b *testing.B) {
	server, err := Listen(Options{Addr: netip.MustParseAddrPort("127.0.0.1:0")})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	buf := make([]byte, 1300)
	b.ReportAllocs()
	for b.Loop() {
		if err := server.Write(buf, server.Addr()); err != nil {
			b.Fatal(err)
		}
		if _, _, _, err := server.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
}
