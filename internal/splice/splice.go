// Package splice joins a TCP connection and a peer stream, byte for byte.
package splice

import (
	"io"
	"net"
	"sync"

	"fulmarmount.org/fulmarmount/internal/peer"
)

// Both copies in both directions until both have ended, and keeps half-closed
// directions apart. An error in one direction resets both, so that neither end
// takes a cut stream for a whole one.
func Both(conn *net.TCPConn, stream *peer.Stream) {
	var directions sync.WaitGroup
	directions.Go(func() {
		if _, err := io.Copy(stream, conn); err != nil {
			fail(conn, stream)
			return
		}
		_ = stream.Close()
	})
	directions.Go(func() {
		if _, err := io.Copy(conn, stream); err != nil {
			fail(conn, stream)
			return
		}
		_ = conn.CloseWrite()
	})
	directions.Wait()
	_ = conn.Close()
}

// Reset closes a connection so that its peer sees an error, not an end.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func fail(conn *net.TCPConn, stream *peer.Stream) {
	stream.Abort()
	Reset(conn)
}
