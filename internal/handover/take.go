package handover

import (
	"errors"
	"io/fs"
	"net"
	"syscall"
	"time"
)

// startTimeout limits the wait for a predecessor that has not started yet, and pauses only
// after that.
const startTimeout = 30 * time.Second

// Receive requests a handover from the process that listens at path and returns
// its bundle. It returns nil if no process listens. After an error, the
// predecessor, if it is alive, resumes serving.
func Receive(path string) (Bundle, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil
	}
	if err != nil {
		return nil, Failed.Wrap(err, "connect to %q", path)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(startTimeout + handoverTimeout)); err != nil {
		return nil, Failed.Wrap(err, "set the deadline")
	}
	bundle, err := receiveBundle(conn)
	if err != nil {
		bundle.Close()
		return nil, err
	}
	return bundle, nil
}

// receiveBundle receives a bundle and confirms it. With an error, it returns the
// items received so far, for the caller to close.
func receiveBundle(conn *net.UnixConn) (Bundle, error) {
	var received joiner
	buf := make([]byte, maxMessageBytes)
	for {
		m, items, err := receiveMessage(conn, buf)
		if err != nil {
			return received.bundle, err
		}
		received.add(m.Items, items)
		if m.Last {
			break
		}
	}
	if err := sendMessage(conn, message{Confirmed: true}, nil); err != nil {
		return received.bundle, err
	}
	return received.bundle, awaitRelease(conn, buf)
}

// awaitRelease waits for the predecessor's confirmation that it has released its
// sockets. The wait is longer than that of the predecessor, which closes the connection
// if it resumes serving: if both gave up at the same time, neither would serve.
func awaitRelease(conn *net.UnixConn, buf []byte) error {
	if err := conn.SetDeadline(time.Now().Add(2 * handoverTimeout)); err != nil {
		return Failed.Wrap(err, "set the deadline")
	}
	m, extra, err := receiveMessage(conn, buf)
	extra.Close()
	if err != nil {
		return err
	}
	if !m.Confirmed {
		return Failed.New("predecessor's message is no confirmation of its release")
	}
	return nil
}
