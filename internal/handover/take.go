package handover

import (
	"errors"
	"io/fs"
	"net"
	"syscall"
	"time"
)

// Receive asks the process that listens at path to hand over. It returns nil where
// there is no such process. An error means that the predecessor, if it lives,
// goes on.
func Receive(path string) (Bundle, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil
	}
	if err != nil {
		return nil, Failed.Wrap(err, "connect to %q", path)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(exchangeLimit)); err != nil {
		return nil, Failed.Wrap(err, "set the deadline")
	}
	bundle, err := take(conn)
	if err != nil {
		bundle.Close()
		return nil, err
	}
	return bundle, nil
}

// take receives a bundle and confirms it. It returns what it holds in any case.
func take(conn *net.UnixConn) (Bundle, error) {
	var bundle Bundle
	buf := make([]byte, maxDatagram)
	for {
		m, items, err := receive(conn, buf)
		if err != nil {
			return bundle, err
		}
		bundle = append(bundle, items...)
		if m.Last {
			break
		}
	}
	if err := send(conn, message{Confirmed: true}, nil); err != nil {
		return bundle, err
	}
	m, extra, err := receive(conn, buf)
	extra.Close()
	if err != nil {
		return bundle, err
	}
	if !m.Confirmed {
		return bundle, Failed.New("predecessor did not leave")
	}
	return bundle, nil
}
