package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Role is a role that a certificate allows, or Operator.
type Role string

// The roles of certificates.
const (
	Balancer Role = "balancer"
	Agent    Role = "agent"
	Control  Role = "control"
	// Operator may use the remote admin interface.
	Operator Role = "operator"
)

// Roles lists every role that a certificate may allow.
func Roles() []Role { return []Role{Balancer, Agent, Control, Operator} }

// Names of the files of an authority's folder.
const (
	CAFile    = "ca.pem"
	caKeyFile = "ca.key"
	// RingFile holds the packet keys.
	RingFile = "packets.json"

	certSuffix = ".pem"
	keySuffix  = ".key"
)

// Lifetimes of certificates.
const (
	caValidity = 10 * 365 * 24 * time.Hour
	// DefaultValidity is the lifetime of a VM's certificate.
	DefaultValidity = 90 * 24 * time.Hour
	// clockSkew dates certificates back, for VMs whose clocks are behind.
	clockSkew = 5 * time.Minute
)

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// pair is a certificate and its key, PEM-encoded.
type pair struct {
	cert, key []byte
}

// Init makes a folder with a new authority and a packet key ring with one key.
// It refuses a folder that holds an authority.
func Init(dir string, now time.Time) error {
	if _, err := os.Lstat(filepath.Join(dir, caKeyFile)); !errors.Is(err, fs.ErrNotExist) {
		return ErrExists.New("folder %q already holds an authority", dir)
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return ErrFile.Wrap(err, "cannot make folder %q", dir)
	}
	authority, err := newAuthority(now)
	if err != nil {
		return err
	}
	keyPEM, err := encodeKey(authority.key)
	if err != nil {
		return err
	}
	ring := NewRing()
	if err := ring.rotate(now, 0); err != nil {
		return err
	}
	if err := ring.save(filepath.Join(dir, RingFile)); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(dir, CAFile), encodeCert(authority.cert.Raw), publicMode); err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, caKeyFile), keyPEM, secretMode)
}

// OpenAuthority loads the authority of a folder made by Init.
func OpenAuthority(dir string) (*Authority, error) {
	certPath, keyPath := filepath.Join(dir, CAFile), filepath.Join(dir, caKeyFile)
	cert, err := readCert(certPath)
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(keyPath)
	if err != nil {
		return nil, ErrFile.Wrap(err, "cannot read %q", keyPath)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, ErrMalformed.New("file %q holds no PEM block", keyPath)
	}
	key, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "file %q holds no ECDSA key", keyPath)
	}
	if !key.PublicKey.Equal(cert.PublicKey) {
		return nil, ErrMalformed.New("files %q and %q do not belong together", certPath, keyPath)
	}
	return &Authority{cert: cert, key: key}, nil
}

// Issue makes a certificate for the VM name, signed by the authority in dir,
// and writes name.pem and name.key there. An earlier pair is replaced.
func Issue(dir, name string, roles []Role, now time.Time, validity time.Duration) error {
	authority, err := OpenAuthority(dir)
	if err != nil {
		return err
	}
	issued, err := authority.issue(name, roles, now, validity)
	if err != nil {
		return err
	}
	if err := writeFile(filepath.Join(dir, name+keySuffix), issued.key, secretMode); err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, name+certSuffix), issued.cert, publicMode)
}

func newAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "cannot make the authority's key")
	}
	template := &x509.Certificate{
		SerialNumber:          newSerial(),
		Subject:               pkix.Name{CommonName: "fulmarmount authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(caValidity),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "cannot sign the authority's certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "cannot parse the authority's certificate")
	}
	return &Authority{cert: cert, key: key}, nil
}

func (a *Authority) issue(name string, roles []Role, now time.Time, validity time.Duration) (*pair, error) {
	if !now.Add(validity).Before(a.cert.NotAfter) {
		return nil, ErrMalformed.New("certificate of %q would outlive the authority, which ends %s",
			name, a.cert.NotAfter.Format(time.DateOnly))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "cannot make the key of %q", name)
	}
	units := make([]string, len(roles))
	for i, role := range roles {
		units[i] = string(role)
	}
	template := &x509.Certificate{
		SerialNumber: newSerial(),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: units},
		DNSNames:     []string{name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "cannot sign the certificate of %q", name)
	}
	keyPEM, err := encodeKey(key)
	if err != nil {
		return nil, err
	}
	return &pair{cert: encodeCert(der), key: keyPEM}, nil
}

// serialBits is the length of a serial number (RFC 5280, section 4.1.2.2,
// allows 20 octets).
const serialBits = 128

func newSerial() *big.Int {
	// Int fails only where the system's source of randomness does, and
	// crypto/rand ends the program then.
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return serial
}

func encodeCert(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "cannot encode a key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), nil
}

func readCert(path string) (*x509.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrFile.Wrap(err, "cannot read %q", path)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != "CERTIFICATE" {
		return nil, ErrMalformed.New("file %q holds no certificate", path)
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "file %q holds no certificate", path)
	}
	return cert, nil
}
