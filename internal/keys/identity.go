package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Info describes a certificate.
type Info struct {
	Name     string    `json:"name"`
	Roles    []Role    `json:"roles"`
	NotAfter time.Time `json:"not_after"`
}

// Allows reports whether the certificate allows any of roles.
func (i Info) Allows(roles ...Role) bool {
	return slices.ContainsFunc(roles, func(r Role) bool { return slices.Contains(i.Roles, r) })
}

func describe(cert *x509.Certificate) Info {
	info := Info{Name: cert.Subject.CommonName, NotAfter: cert.NotAfter}
	for _, unit := range cert.Subject.OrganizationalUnit {
		info.Roles = append(info.Roles, Role(unit))
	}
	return info
}

// Describe reads the certificate at path.
func Describe(path string) (Info, error) {
	cert, err := readCert(path)
	if err != nil {
		return Info{}, err
	}
	return describe(cert), nil
}

// material is one loaded state of an identity; it never changes.
type material struct {
	cert  tls.Certificate
	roots *x509.CertPool
	info  Info
}

// Identity is what a process proves itself with. Where it was loaded from
// files, new handshakes use the files' current content.
type Identity struct {
	current atomic.Pointer[material]

	files [3]string // of the authority, the certificate and the key
	mu    sync.Mutex
	times [3]time.Time // of the files when last loaded, under mu
}

// Load reads an identity from PEM files.
func Load(ca, cert, key string) (*Identity, error) {
	id := &Identity{files: [3]string{ca, cert, key}}
	if err := id.Reload(); err != nil {
		return nil, err
	}
	return id, nil
}

// Reload reads the files again. On an error the identity stays as it was.
func (id *Identity) Reload() error {
	id.mu.Lock()
	defer id.mu.Unlock()
	return id.reload(id.modified())
}

// refresh reloads files that changed since they were last loaded. Files that
// do not load, as halfway through a replacement, leave the identity as it was.
func (id *Identity) refresh() *material {
	if id.files[0] != "" {
		id.mu.Lock()
		if times := id.modified(); times != id.times {
			_ = id.reload(times)
		}
		id.mu.Unlock()
	}
	return id.current.Load()
}

func (id *Identity) modified() (times [3]time.Time) {
	for i, path := range id.files {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

func (id *Identity) reload(times [3]time.Time) error {
	var data [3][]byte
	for i, path := range id.files {
		var err error
		if data[i], err = os.ReadFile(path); err != nil {
			return ErrFile.Wrap(err, "cannot read %q", path)
		}
	}
	loaded, err := newMaterial(data[0], pair{cert: data[1], key: data[2]})
	if err != nil {
		return ErrMalformed.Wrap(err, "cannot load %q, %q and %q", id.files[0], id.files[1], id.files[2])
	}
	id.current.Store(loaded)
	id.times = times
	return nil
}

func newMaterial(ca []byte, p pair) (*material, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, ErrMalformed.New("authority file holds no certificate")
	}
	cert, err := tls.X509KeyPair(p.cert, p.key)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "certificate and key do not belong together")
	}
	return &material{cert: cert, roots: roots, info: describe(cert.Leaf)}, nil
}

// Info describes the identity's certificate, its expiry included.
func (id *Identity) Info() Info { return id.current.Load().info }

// ServerTLS returns a configuration for listeners that accept only peers with a
// certificate of the same authority.
func (id *Identity) ServerTLS(protos ...string) *tls.Config {
	return id.ServerTLSFor(nil, protos...)
}

// ServerTLSFor is like ServerTLS, and refuses peers whose certificate allows
// none of roles. Without roles it accepts every role.
func (id *Identity) ServerTLSFor(roles []Role, protos ...string) *tls.Config {
	template := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protos}
	template.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := id.refresh()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   protos,
			Certificates: []tls.Certificate{m.cert},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    m.roots,
			// A resumed session would skip the check against the authority
			// in force now.
			SessionTicketsDisabled: true,
			VerifyConnection:       requireRoles(roles),
		}, nil
	}
	return template
}

// ClientTLS returns a configuration for one connection to the VM serverName.
func (id *Identity) ClientTLS(serverName string, protos ...string) *tls.Config {
	return id.ClientTLSFor(serverName, nil, protos...)
}

// ClientTLSFor is like ClientTLS, and refuses a peer whose certificate allows
// none of roles. An empty serverName accepts any VM of those roles, for peers
// known by address alone.
func (id *Identity) ClientTLSFor(serverName string, roles []Role, protos ...string) *tls.Config {
	m := id.refresh()
	config := &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       protos,
		Certificates:     []tls.Certificate{m.cert},
		RootCAs:          m.roots,
		ServerName:       serverName,
		VerifyConnection: requireRoles(roles),
	}
	if serverName == "" {
		// The library's check insists on a name, so the chain is checked here.
		config.InsecureSkipVerify = true
		config.VerifyConnection = verifyChain(m.roots, roles)
	}
	return config
}

func requireRoles(roles []Role) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		peer, err := Peer(state)
		if err != nil {
			return err
		}
		if len(roles) > 0 && !peer.Allows(roles...) {
			return ErrPeer.New("peer %q has roles %q, none of %q", peer.Name, peer.Roles, roles)
		}
		return nil
	}
}

func verifyChain(roots *x509.CertPool, roles []Role) func(tls.ConnectionState) error {
	check := requireRoles(roles)
	return func(state tls.ConnectionState) error {
		if err := check(state); err != nil {
			return err
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:     roots,
			KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		})
		if err != nil {
			return ErrPeer.Wrap(err, "peer is not of this authority")
		}
		return nil
	}
}

// Peer describes the other end of a connection.
func Peer(state tls.ConnectionState) (Info, error) {
	if len(state.PeerCertificates) == 0 {
		return Info{}, ErrPeer.New("peer has no certificate")
	}
	return describe(state.PeerCertificates[0]), nil
}
