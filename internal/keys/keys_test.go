package keys

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// handshake connects client to server over loopback and returns both errors.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			if err == nil {
				_, err = conn.Write([]byte{1})
			}
			conn.Close()
		}
		accepted <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	secured := tls.Client(conn, client)
	_, clientErr = secured.Read(make([]byte, 1))
	conn.Close()
	return <-accepted, clientErr
}

func TestMutualAuthentication(t *testing.T) {
	now := time.Now()
	ours, err := Ephemeral(now)
	if err != nil {
		t.Fatal(err)
	}
	theirs, _ := Ephemeral(now)
	identity := func(s *Set, name string, at time.Time, roles ...Role) *Identity {
		id, err := s.Identity(name, at, roles...)
		if err != nil {
			t.Fatal(err)
		}
		return id
	}
	server := identity(ours, "control-1", now, Control)
	agent := identity(ours, "agent-1", now, Agent)
	stranger := identity(theirs, "agent-1", now, Agent)
	impostor := identity(theirs, "control-1", now, Control)
	expired := identity(ours, "agent-1", now.Add(-2*DefaultValidity), Agent)
	anonymous := agent.ClientTLS("control-1")
	anonymous.Certificates = nil
	old := agent.ClientTLS("control-1")
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12

	tests := []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"same authority", server.ServerTLS(), agent.ClientTLS("control-1"), true},
		{"by address", server.ServerTLS(), agent.ClientTLSFor("", []Role{Control}), true},
		{"role allowed", server.ServerTLSFor([]Role{Agent, Balancer}), agent.ClientTLS("control-1"), true},
		{"role refused by server", server.ServerTLSFor([]Role{Operator}), agent.ClientTLS("control-1"), false},
		{"role refused by client", agent.ServerTLS(), agent.ClientTLSFor("", []Role{Control}), false},
		{"wrong name", server.ServerTLS(), agent.ClientTLS("control-2"), false},
		{"client of another authority", server.ServerTLS(), stranger.ClientTLSFor("", nil), false},
		{"server of another authority", impostor.ServerTLS(), agent.ClientTLS("control-1"), false},
		{"server of another authority by address", impostor.ServerTLS(), agent.ClientTLSFor("", []Role{Control}), false},
		{"expired client", server.ServerTLS(), expired.ClientTLS("control-1"), false},
		{"expired server by address", expired.ServerTLS(), agent.ClientTLSFor("", nil), false},
		{"no client certificate", server.ServerTLS(), anonymous, false},
		{"old protocol", server.ServerTLS(), old, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			serverErr, clientErr := handshake(t, tt.server, tt.client)
			is.Equal(serverErr == nil && clientErr == nil, tt.ok)
		})
	}
}

func TestFilesAreMadeIssuedAndReloaded(t *testing.T) {
	is := is.New(t)
	dir, now := filepath.Join(t.TempDir(), "keys"), time.Now()
	is.NoErr(Init(dir, now))
	is.True(errorx.IsOfType(Init(dir, now), ErrExists))
	is.NoErr(Issue(dir, "vm-1", []Role{Agent}, now, time.Hour))
	path := func(name string) string { return filepath.Join(dir, name) }
	for _, secret := range []string{"ca.key", "vm-1.key", RingFile} {
		info, err := os.Stat(path(secret))
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), secretMode)
	}
	id, err := Load(path(CAFile), path("vm-1.pem"), path("vm-1.key"))
	is.NoErr(err)
	is.Equal(id.Info().Roles, []Role{Agent})

	is.NoErr(Issue(dir, "vm-1", []Role{Agent, Balancer}, now, 2*time.Hour))
	later := now.Add(time.Minute)
	is.NoErr(os.Chtimes(path("vm-1.pem"), later, later))
	id.ServerTLS().GetConfigForClient(nil)
	is.Equal(id.Info().Roles, []Role{Agent, Balancer}) // a handshake reads changed files

	is.NoErr(os.WriteFile(path("vm-1.pem"), []byte("torn"), 0o600))
	is.True(id.Reload() != nil)
	is.Equal(id.Info().Roles, []Role{Agent, Balancer}) // a damaged file changes nothing

	is.True(Issue(dir, "vm-2", nil, now, 20*365*24*time.Hour) != nil) // longer than the authority
}

func TestRingRotation(t *testing.T) {
	is := is.New(t)
	dir, now := t.TempDir(), time.Unix(1_800_000_000, 0)
	is.NoErr(Init(dir, now))
	path := filepath.Join(dir, RingFile)
	ring, err := LoadRing(path)
	is.NoErr(err)
	first, ok := ring.Active(now)
	is.True(ok)
	_, ok = ring.Active(now.Add(-time.Second))
	is.True(!ok)

	next, err := Rotate(path, now, time.Hour)
	is.NoErr(err)
	_, err = Rotate(path, now, time.Hour) // the next key is still to come
	is.True(errorx.IsOfType(err, ErrExists))
	is.NoErr(ring.Reload())
	active, _ := ring.Active(now)
	is.Equal(active.ID, first.ID)
	active, _ = ring.Active(now.Add(time.Hour))
	is.True(active == next)
	_, ok = ring.Get(next.ID)
	is.True(ok) // receivers accept it at once

	for i := range ringSize {
		_, err = Rotate(path, now.Add(time.Duration(i+2)*time.Hour), time.Minute)
		is.NoErr(err)
	}
	is.NoErr(ring.Reload())
	_, ok = ring.Get(first.ID)
	is.True(!ok)
	is.Equal(len(ring.Keys()), ringSize)
	for _, verb := range []string{"%v", "%+v", "%#v", "%x", "%d"} {
		is.True(strings.Contains(fmt.Sprintf(verb, next), hiddenSecret))
	}
}

func TestDamagedRingsAreRefused(t *testing.T) {
	secret := strings.Repeat("A", 43) + "="
	for name, text := range map[string]string{
		"empty":        ``,
		"no keys":      `{"keys":[]}`,
		"short secret": `{"keys":[{"id":1,"secret":"AAAA"}]}`,
		"order":        `{"keys":[{"id":2,"secret":"` + secret + `"},{"id":2,"secret":"` + secret + `"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := decodeRing([]byte(text))
			is.True(errorx.IsOfType(err, ErrMalformed))
		})
	}
}
