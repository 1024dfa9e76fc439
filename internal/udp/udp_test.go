package udp

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

func TestWildcardSocketReportsDestinationAndSetsSource(t *testing.T) {
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

func TestSprayDistributesOneFlowOverAllSockets(t *testing.T) {
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

	received := make(chan int)
	for i, c := range []*Conn{first, second} {
		go func() {
			buf := make([]byte, 16)
			for {
				if _, _, _, err := c.Read(buf); err != nil {
					return
				}
				received <- i
			}
		}()
	}
	// All 64 packets of the flow reach a single socket with probability 2^-63.
	var count [2]int
	for range 64 {
		is.NoErr(client.Write([]byte("x"), first.Addr()))
		count[<-received]++
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
