// Package splice relays bytes between a TCP connection and a peer stream.
package splice

import (
	"io"
	"net"
	"sync"

	"fulmarmount.org/fulmarmount/internal/peer"
)

// CopyBidirectional copies in both directions until both have ended. It closes
// each direction separately, so that half-closed connections work. An error in one
// direction resets both, so that neither end mistakes a truncated stream for a
// complete one.
func CopyBidirectional(conn *net.TCPConn, stream *peer.Stream) {
	var directions sync.WaitGroup
	directions.Go(func() {
		if _, err := io.Copy(stream, conn); err != nil {
			abort(conn, stream)
			return
		}
		_ = stream.Close()
	})
	directions.Go(func() {
		if _, err := io.Copy(conn, stream); err != nil {
			abort(conn, stream)
			return
		}
		_ = conn.CloseWrite()
	})
	directions.Wait()
	_ = conn.Close()
}

// Reset closes a TCP connection with RST, so that the remote end reads an error
// instead of EOF.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func abort(conn *net.TCPConn, stream *peer.Stream) {
	stream.Abort()
	Reset(conn)
}
